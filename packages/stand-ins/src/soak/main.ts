/** Runs a deployment under random faults and checks the promises. See docs/bench-and-soak.md. */

import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { readOperator, startDeployment, type EntryVm } from '../harness/deployment.js';
import { waitFor } from '../harness/processes.js';
import { runLoad } from '../load/load-client.js';
import { makeRandom } from '../load/random.js';
import { makeArrivals, makeSiteRules, SITES, type Site } from '../load/workload.js';
import { runChecks, type CheckCounts } from './checks.js';
import { runLedgerLoad } from './clients.js';
import { startFault } from './faults.js';
import { makeSchedule, type Fault } from './schedule.js';
import { listenForExit, type Soak } from './soak-state.js';

const BASE_PORT = 24_000;
const RATE_PER_S = 25;
const CANCEL_SHARE = 0.05;
const READY_POLL_MS = 150;
const READY_TIMEOUT_MS = 400;
const STATUS_POLL_MS = 500;
const SETTLE_MS = 4_000;
const ENTRY_VMS = 8;
const MS_PER_SECOND = 1_000;

async function startSoak(site: Site, ledgerFolder: string): Promise<Soak> {
  const deployment = await startDeployment({
    basePort: BASE_PORT,
    entryVms: ENTRY_VMS,
    prefillEngines: 4,
    decodeEngines: 4,
    enginesPerServer: 2,
    ledgers: 3,
    modelService: site.modelService,
    ledgerService: site.ledgerService,
    dataCentres: site.dataCentres,
    ledgerFolder,
    isRelayed: true,
    daemonEnv: {
      TARRAGONSPOOL_OBJECTIVE: site.objective,
      TARRAGONSPOOL_ABORT_ON_VIOLATION: '1',
      TARRAGONSPOOL_LOG_LEVEL: 'error',
    },
    isLoud: true,
  });
  return {
    site,
    deployment,
    startedAt: Date.now(),
    callerUrls: deployment.entryVms.map(({ callerUrl }) => callerUrl),
    violations: [],
    work: [],
    outcomes: [],
    duplicates: [],
    ledgerCalls: [],
    plannedStops: [],
    hardStretches: [],
    acceptedRules: new Map(),
    unsettledRules: new Set(),
    acceptedAt: new Map(),
    revisionSamples: [],
    leavingSince: new Map(),
    expectedExits: new Set(),
    deadlyPrompts: 0,
    deadlyCrashes: 0,
    isOver: false,
  };
}

async function isReady({ callerUrl }: EntryVm): Promise<boolean> {
  const signal = AbortSignal.timeout(READY_TIMEOUT_MS);
  return (await fetch(`${callerUrl}/readyz`, { signal }).catch(() => undefined))?.ok ?? false;
}

/** Keeps the balancer's list: VMs that were ready at the last look. */
async function pollReadiness(soak: Soak): Promise<void> {
  const { entryVms } = soak.deployment;
  while (!soak.isOver) {
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    const areReady = await Promise.all(entryVms.map(isReady));
    const live = entryVms.filter((_, index) => areReady[index]).map(({ callerUrl }) => callerUrl);
    if (live.length > 0) soak.callerUrls.splice(0, soak.callerUrls.length, ...live);
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await waitFor(READY_POLL_MS);
  }
}

/** Samples the revision in force on a VM; within one process it must never fall. */
async function pollRevision(soak: Soak, vm: EntryVm): Promise<void> {
  let seen = { process: vm.process, revision: 0 };
  while (!soak.isOver) {
    const running = vm.process;
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    const status = await readOperator(vm, '/status').catch(() => undefined);
    if (status !== undefined && running === vm.process) {
      const { rulesRevision: revision } = JSON.parse(status) as { rulesRevision: number };
      if (seen.process === running && revision < seen.revision) {
        soak.violations.push(`${vm.vmId} went from rules ${seen.revision} back to ${revision}`);
      }
      seen = { process: running, revision };
      const { vmId, callerUrl } = vm;
      const isListed = soak.callerUrls.includes(callerUrl);
      soak.revisionSamples.push({ vmId, callerUrl, at: Date.now(), revision, isListed });
    }
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await waitFor(STATUS_POLL_MS);
  }
}

async function runFault(soak: Soak, fault: Fault): Promise<void> {
  await waitFor(soak.startedAt + fault.at - Date.now());
  await startFault(soak, fault).catch((error: unknown) => {
    soak.violations.push(`fault ${fault.kind} not injected: ${String(error)}`);
  });
}

function printResult(soak: Soak, faults: readonly Fault[], checks: CheckCounts): void {
  const counts: Record<string, number> = {};
  for (const { kind } of faults) counts[kind] = (counts[kind] ?? 0) + 1;
  const ends: Record<string, number> = {};
  for (const { kind, code } of soak.outcomes) {
    const name = `${kind}${code === undefined ? '' : ` ${code}`}`;
    ends[name] = (ends[name] ?? 0) + 1;
  }
  const render = (values: Record<string, number>): string =>
    Object.entries(values)
      .map(([name, count]) => `${name} ${count}`)
      .join(', ');
  process.stdout.write(`faults: ${faults.length} (${render(counts)})\n`);
  process.stdout.write(`requests: ${render(ends)}\n`);
  process.stdout.write(`checked: ${render(checks)}\n`);
  for (const violation of soak.violations) process.stdout.write(`VIOLATION ${violation}\n`);
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '60' },
    deployment: { type: 'string', default: 'wickramasinghe' },
  },
});
const seed = Number(values.seed);
const durationMs = Number(values.seconds) * MS_PER_SECOND;
const site = SITES[values.deployment as Site['name']];
const random = makeRandom(seed);
const faults = makeSchedule(random, durationMs);
const phases = [{ durationMs, ratePerS: RATE_PER_S }];
const arrivals = makeArrivals(site, phases, CANCEL_SHARE, ENTRY_VMS, 'soak', random);

const ledgerFolder = await mkdtemp(join(tmpdir(), 'tarragonspool-soak-'));
const soak = await startSoak(site, ledgerFolder);
const { deployment, callerUrls } = soak;
const rules = makeSiteRules(site);
const applied = await deployment.applyRules(rules);
if (applied.code !== 0) throw new Error(`rules not applied: ${applied.output}`);
soak.acceptedRules.set(1, rules);
soak.acceptedAt.set(1, Date.now());
for (const holder of [...deployment.entryVms, ...deployment.engines, ...deployment.ledgers]) {
  listenForExit(soak, holder);
}
const polls = [pollReadiness(soak), ...deployment.entryVms.map((vm) => pollRevision(soak, vm))];
const options = { callerUrls, model: site.modelService, idPrefix: 'soak-load', isKeepAlive: false };
const load = runLoad(options, arrivals);
const ledgerLoad = runLedgerLoad(soak, Date.now() + durationMs);
await Promise.all(faults.map((fault) => runFault(soak, fault)));
soak.outcomes.push(...(await load));
await ledgerLoad;
await waitFor(SETTLE_MS);
const checks = await runChecks(soak);
soak.isOver = true;
await Promise.all(polls);
printResult(soak, faults, checks);
deployment.kill();
await rm(ledgerFolder, { recursive: true });
const { length } = soak.violations;
process.stdout.write(
  `seed ${seed}, ${values.deployment}, ${values.seconds} s: ${length} violations\n`,
);
process.exit(length === 0 ? 0 : 1);
