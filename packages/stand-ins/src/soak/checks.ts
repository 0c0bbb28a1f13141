/** What must hold after a soak run. Each check counts what it examined and reports violations. */

import { callJson, readOperator } from '../harness/deployment.js';
import { waitFor } from '../harness/processes.js';
import { recordWork, type Soak } from './soak-state.js';

/** How much each check examined. */
export type CheckCounts = Record<string, number>;

const QUIET_TIMEOUT_MS = 15_000;
const POLL_MS = 500;
const LEAVING_GRACE_MS = 5_000;
const IN_FORCE_MS = 5_000;
const MAX_CRASHES_PER_PROMPT = 2;

type Hold = { readonly owner: { readonly requestId: string }; readonly kind: string };

async function listAllHolds(soak: Soak): Promise<string[]> {
  const holds: string[] = [];
  for (const { url, upstreamId } of soak.deployment.engines) {
    // eslint-disable-next-line no-await-in-loop -- eight small reads
    const listed = (await callJson(`${url}/holds`).catch(() => [])) as Hold[];
    for (const { owner, kind } of listed) holds.push(`${upstreamId} ${kind} ${owner.requestId}`);
  }
  return holds;
}

/** Waits until the engines hold nothing; what they still hold at the deadline is orphaned. */
async function checkMemory(soak: Soak): Promise<number> {
  const deadline = Date.now() + QUIET_TIMEOUT_MS;
  let holds = await listAllHolds(soak);
  while (holds.length > 0 && Date.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await waitFor(POLL_MS);
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    holds = await listAllHolds(soak);
  }
  for (const hold of holds) soak.violations.push(`engine memory still held: ${hold}`);
  return soak.deployment.engines.length;
}

async function checkLedgers(soak: Soak): Promise<number> {
  const effects = new Map<string, number>();
  for (const { url } of soak.deployment.ledgers) {
    // eslint-disable-next-line no-await-in-loop -- three small reads
    const counts = (await callJson(`${url}/control/effects`)) as Record<string, number>;
    for (const [effect, count] of Object.entries(counts)) {
      effects.set(effect, (effects.get(effect) ?? 0) + count);
    }
  }
  for (const { effect, answers } of soak.ledgerCalls) {
    const count = effects.get(effect) ?? 0;
    const statuses = answers.map(({ status, ran }) => `${status} ${ran ?? ''}`).join(', ');
    const isSaidDone = answers.some(({ status }) => status === 200);
    const isSaidNotRun = answers.every(({ ran }) => ran === 'not-run');
    const isWrongCount = answers.some(({ status, count: said }) => status === 200 && said !== 1);
    if (count > 1) soak.violations.push(`${effect} took effect ${count} times (${statuses})`);
    if (isSaidDone && count !== 1) soak.violations.push(`${effect} answered, ${count} effects`);
    if (isWrongCount) soak.violations.push(`${effect} answered with a wrong count`);
    if (isSaidNotRun && count > 0) soak.violations.push(`${effect} ran after all "not run"`);
  }
  return soak.ledgerCalls.length;
}

function checkTexts(soak: Soak): number {
  for (const { requestId, isTextRight } of soak.outcomes) {
    if (!isTextRight) soak.violations.push(`${requestId} got a wrong text`);
  }
  return soak.outcomes.length;
}

function checkNotRun(soak: Soak): number {
  const worked = new Set<string>();
  for (const { requestId, prefillTokens, tokens } of soak.work) {
    if (prefillTokens + tokens > 0) worked.add(requestId);
  }
  const refused = soak.outcomes.filter(({ ran }) => ran === 'not-run');
  for (const { requestId, code } of refused) {
    if (worked.has(requestId)) {
      soak.violations.push(`${requestId} (${code}) said "not run" but ran`);
    }
  }
  return refused.length;
}

function checkPlannedStops(soak: Soak): number {
  for (const { callerUrl, from, until } of soak.plannedStops) {
    const isHurt = soak.hardStretches.some(
      (hard) => hard.callerUrl === callerUrl && hard.from < until && hard.until > from,
    );
    if (isHurt) continue;
    for (const { url, sentAt, endMs, kind, code, detail, requestId } of soak.outcomes) {
      const isDuring = url === callerUrl && sentAt < until && sentAt + endMs > from;
      if (isDuring && kind === 'failed' && code === undefined) {
        soak.violations.push(`${requestId} was cut by a planned stop: ${detail}`);
      }
    }
  }
  return soak.plannedStops.length;
}

function checkDuplicates(soak: Soak): number {
  for (const [one, two] of soak.duplicates) {
    if (one.kind === 'answered' && two.kind === 'answered') {
      soak.violations.push(`${one.requestId} was answered twice`);
    }
  }
  return soak.duplicates.length;
}

function checkLeaving(soak: Soak): number {
  for (const { upstreamId, startedAt, requestId } of soak.work) {
    const since = soak.leavingSince.get(upstreamId);
    if (since !== undefined && startedAt > since + LEAVING_GRACE_MS) {
      soak.violations.push(`${upstreamId} is leaving but got ${requestId}`);
    }
  }
  return soak.leavingSince.size;
}

async function checkRules(soak: Soak): Promise<number> {
  const last = Math.max(...soak.acceptedRules.keys());
  for (const vm of soak.deployment.entryVms) {
    // eslint-disable-next-line no-await-in-loop -- eight small reads
    const { revision, text } = JSON.parse(await readOperator(vm, '/rules')) as {
      revision: number;
      text: string;
    };
    const isAccepted = revision === last && text === soak.acceptedRules.get(last);
    const isLater = revision > last && soak.unsettledRules.has(text);
    if (!isAccepted && !isLater) {
      soak.violations.push(`${vm.vmId} has rules ${revision}, accepted last ${last}`);
    }
  }
  return soak.acceptedRules.size;
}

/**
 * Every VM that was not killed or frozen has an accepted revision in force within the bound. One
 * that has just started and has none yet must not be listed by the balancer.
 */
function checkRulesInTime(soak: Soak): number {
  for (const { vmId, callerUrl, at, revision, isListed } of soak.revisionSamples) {
    const isHurt = soak.hardStretches.some(
      (hard) => hard.callerUrl === callerUrl && hard.from < at && hard.until > at,
    );
    const isStarting = revision === 0 && !isListed;
    if (isHurt || isStarting) continue;
    for (const [accepted, acceptedAt] of soak.acceptedAt) {
      if (accepted <= revision || at <= acceptedAt + IN_FORCE_MS) continue;
      const lateMs = at - acceptedAt;
      soak.violations.push(`${vmId} had rules ${revision} ${lateMs} ms after ${accepted}`);
    }
  }
  return soak.revisionSamples.length;
}

async function checkInvariants(soak: Soak): Promise<number> {
  for (const vm of soak.deployment.entryVms) {
    // eslint-disable-next-line no-await-in-loop -- eight small reads
    const metrics = await readOperator(vm, '/metrics');
    for (const line of metrics.split('\n')) {
      const isCounter = line.startsWith('tarragonspool_invariant_violations_total');
      if (isCounter && !line.endsWith(' 0')) soak.violations.push(`${vm.vmId}: ${line}`);
    }
  }
  return soak.deployment.entryVms.length;
}

function checkDeadly(soak: Soak): number {
  const { deadlyPrompts, deadlyCrashes } = soak;
  if (deadlyCrashes > MAX_CRASHES_PER_PROMPT * deadlyPrompts) {
    soak.violations.push(`${deadlyPrompts} deadly prompts crashed ${deadlyCrashes} engines`);
  }
  return deadlyPrompts;
}

/** Runs every check; violations are added to the run's. */
export async function runChecks(soak: Soak): Promise<CheckCounts> {
  const memory = await checkMemory(soak);
  for (const engine of soak.deployment.engines) {
    // eslint-disable-next-line no-await-in-loop -- eight small reads
    await recordWork(soak, engine);
  }
  return {
    'engines without held memory': memory,
    'ledger calls': await checkLedgers(soak),
    'answers compared': checkTexts(soak),
    '"not run" refusals': checkNotRun(soak),
    'planned stops': checkPlannedStops(soak),
    'duplicate requests': checkDuplicates(soak),
    'leaving engines': checkLeaving(soak),
    'accepted rule files': await checkRules(soak),
    'revision samples': checkRulesInTime(soak),
    'daemons without violations': await checkInvariants(soak),
    'deadly prompts': checkDeadly(soak),
  };
}
