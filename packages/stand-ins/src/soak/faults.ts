/** Injects the faults of a schedule. */

import { assertNever, type VmRecord } from '@tarragonspool/protocol';
import { CRASH_DECODE_TEXT, CRASH_PREFILL_TEXT } from '../engine/kv-content.js';
import { callJson, type EntryVm, type StandIn } from '../harness/deployment.js';
import { waitFor } from '../harness/processes.js';
import { makeSiteRules } from '../load/workload.js';
import { sendAndCancel, sendDeadly, sendTwice } from './clients.js';
import type { Fault } from './schedule.js';
import { recordWork, setFaults, type Soak } from './soak-state.js';

const SLOWNESS = 10;
const PLATFORM_DELAY_MS = 700;
const LINK_DELAY_MS = 300;
const LOST_ANSWERS = 5;
const LEDGER_DELAY_MS = 900;
const STOP_TIMEOUT_MS = 15_000;

function choose<T>(items: readonly T[], target: number): T {
  return items[target % items.length] as T;
}

async function runHard(soak: Soak, vm: EntryVm, hurt: () => Promise<void>): Promise<void> {
  const from = Date.now();
  await hurt();
  const { callerUrl } = vm;
  soak.hardStretches.push({ callerUrl, from, until: Date.now() + STOP_TIMEOUT_MS });
}

async function freeze(holder: EntryVm | StandIn, durationMs: number): Promise<void> {
  const { child } = holder.process;
  child.kill('SIGSTOP');
  await waitFor(durationMs);
  child.kill('SIGCONT');
}

async function stopAsPlanned(soak: Soak, vm: EntryVm): Promise<void> {
  const running = vm.process;
  const from = Date.now();
  soak.expectedExits.add(running.child);
  running.child.kill('SIGTERM');
  const code = await Promise.race([running.ended, waitFor(STOP_TIMEOUT_MS).then(() => 'late')]);
  soak.plannedStops.push({ callerUrl: vm.callerUrl, from, until: Date.now() });
  const isHurt = soak.hardStretches.some(
    ({ callerUrl, until }) => callerUrl === vm.callerUrl && until > from,
  );
  if (code !== 0 && !isHurt) soak.violations.push(`planned stop of ${vm.vmId} ended with ${code}`);
}

async function killEngine(soak: Soak, engine: StandIn): Promise<void> {
  await recordWork(soak, engine);
  soak.expectedExits.add(engine.process.child);
  engine.process.child.kill('SIGKILL');
}

async function setLeaving(soak: Soak, engine: StandIn): Promise<void> {
  if (soak.leavingSince.has(engine.upstreamId)) return;
  soak.leavingSince.set(engine.upstreamId, Date.now());
  const { deployment, leavingSince } = soak;
  const records: VmRecord[] = deployment.records.map((record) =>
    record.kind === 'engine' && leavingSince.has(record.upstreamId)
      ? { ...record, state: 'leaving' }
      : record,
  );
  await callJson(`${deployment.platformUrl}/control/vms`, records);
}

async function applyRules(soak: Soak, vm: EntryVm, label: string): Promise<void> {
  const text = `${makeSiteRules(soak.site)}# ${label}\n`;
  const { output } = await soak.deployment.applyRules(text, vm);
  const accepted = /accepted as revision (\d+)/.exec(output);
  if (accepted === null) {
    if (!/not run|refused|changed since/i.test(output)) soak.unsettledRules.add(text);
    return;
  }
  const revision = Number(accepted[1]);
  const other = soak.acceptedRules.get(revision);
  if (other !== undefined) soak.violations.push(`revision ${revision} was accepted twice`);
  soak.acceptedRules.set(revision, text);
  soak.acceptedAt.set(revision, Date.now());
}

async function applyRulesTwice(soak: Soak, { target, at }: Fault): Promise<void> {
  const { entryVms } = soak.deployment;
  const [one, two] = [choose(entryVms, target), choose(entryVms, target + 1)];
  await Promise.all([applyRules(soak, one, `one ${at}`), applyRules(soak, two, `two ${at}`)]);
}

async function setPlatformFaultsFor(soak: Soak, faults: object, durationMs: number): Promise<void> {
  const { platformUrl } = soak.deployment;
  await setFaults(platformUrl, faults);
  await waitFor(durationMs);
  await setFaults(platformUrl, { isDown: false, delayMs: 0, loseAnswers: 0, delayEffects: 0 });
}

async function setFaultsFor(
  url: string,
  on: object,
  off: object,
  durationMs: number,
): Promise<void> {
  await setFaults(url, on);
  await waitFor(durationMs);
  await setFaults(url, off);
}

/** Injects one fault; resolves once it is over. */
export async function startFault(soak: Soak, fault: Fault): Promise<void> {
  const { kind, target, durationMs } = fault;
  const { entryVms, engines, ledgers, relays } = soak.deployment;
  const vm = choose(entryVms, target);
  const engine = choose(engines, target);
  const ledger = choose(ledgers, target);
  const relay = choose(relays, target);
  switch (kind) {
    case 'kill-vm':
      soak.expectedExits.add(vm.process.child);
      await runHard(soak, vm, async () => {
        vm.process.child.kill('SIGKILL');
      });
      return;
    case 'freeze-vm':
      await runHard(soak, vm, () => freeze(vm, durationMs));
      return;
    case 'planned-stop':
      await stopAsPlanned(soak, vm);
      return;
    case 'cut-link':
      relay.setCut(true);
      await waitFor(durationMs);
      relay.setCut(false);
      return;
    case 'slow-link':
      relay.setDelayMs(LINK_DELAY_MS);
      await waitFor(durationMs);
      relay.setDelayMs(0);
      return;
    case 'platform-outage':
      await setPlatformFaultsFor(soak, { isDown: true }, durationMs);
      return;
    case 'platform-slow':
      await setPlatformFaultsFor(soak, { delayMs: PLATFORM_DELAY_MS }, durationMs);
      return;
    case 'lost-answers':
      await setPlatformFaultsFor(soak, { loseAnswers: LOST_ANSWERS }, durationMs);
      return;
    case 'delayed-effects':
      await setPlatformFaultsFor(soak, { delayEffects: LOST_ANSWERS }, durationMs);
      return;
    case 'slow-engine':
      await setFaultsFor(engine.url, { slowness: SLOWNESS }, { slowness: 1 }, durationMs);
      return;
    case 'kill-engine':
      await killEngine(soak, engine);
      return;
    case 'freeze-engine':
      await freeze(engine, durationMs);
      return;
    case 'stalled-export':
      await setFaultsFor(
        engine.url,
        { isExportStalled: true },
        { isExportStalled: false },
        durationMs,
      );
      return;
    case 'leaving-engine':
      await setLeaving(soak, engine);
      return;
    case 'dying-ledger':
      await setFaults(ledger.url, { isDyingInCall: true });
      return;
    case 'slow-ledger':
      await setFaultsFor(ledger.url, { delayMs: LEDGER_DELAY_MS }, { delayMs: 0 }, durationMs);
      return;
    case 'crashing-request':
      await sendDeadly(soak, target % 2 === 0 ? CRASH_PREFILL_TEXT : CRASH_DECODE_TEXT, fault.at);
      return;
    case 'duplicate-request':
      await sendTwice(soak, fault);
      return;
    case 'racing-operators':
      await applyRulesTwice(soak, fault);
      return;
    case 'hang-ups':
      await sendAndCancel(soak, fault);
      return;
    default:
      assertNever(kind);
  }
}
