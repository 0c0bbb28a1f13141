/** Runs a scenario under one policy on a fresh deployment. */

import type { AllocationPolicy } from '@tarragonspool/core';
import type { AttemptWork } from '../engine/kv-content.js';
import { callJson, startDeployment, type Deployment } from '../harness/deployment.js';
import { waitFor } from '../harness/processes.js';
import { runLoad, type Outcome } from '../load/load-client.js';
import { makeSiteRules, type Arrival, type Site } from '../load/workload.js';
import { SLOWNESS, type Scenario, type SlowMoment } from './scenarios.js';

/** Everything that stays the same between policies. */
export type RunPlan = {
  readonly site: Site;
  readonly scenario: Scenario;
  readonly objective: Site['objective'];
  /** Arrivals of the run, and the same with other texts for the run without faults. */
  readonly arrivals: readonly Arrival[];
  readonly calmArrivals: readonly Arrival[];
  readonly isAllocatorKilled: boolean;
};

/** What a run left behind. */
export type RunResult = {
  readonly outcomes: readonly Outcome[];
  readonly calmOutcomes: readonly Outcome[];
  readonly work: readonly AttemptWork[];
};

/** Engines of each role; two share a server. */
export const ENGINES_PER_ROLE = 4;
/** Entry VMs of a deployment. */
export const ENTRY_VMS = 8;
/** Speeds that differ from the stand-in's defaults. */
export const BENCH_ENGINE = { linkBytesPerMs: 6_000_000 } as const;
const LEDGERS = 3;
const WARM_UP_MS = 700;
const SETTLE_MS = 1_000;
const RESTART_MS = 1_000;
const BALANCER_CHECK_MS = 500;
const KILL_DELAY_MS = 3_000;

async function readAllWork(deployment: Deployment): Promise<AttemptWork[]> {
  const works: AttemptWork[] = [];
  for (const { url } of deployment.engines) {
    // eslint-disable-next-line no-await-in-loop -- eight small reads
    const work = await callJson(`${url}/control/work`);
    works.push(...Object.values(work as Record<string, AttemptWork>));
  }
  return works;
}

function setSlowness(deployment: Deployment, moment: SlowMoment, slowness: number): void {
  const first = moment.role === 'prefill' ? 0 : ENGINES_PER_ROLE;
  const engine = deployment.engines[first + moment.engineIndex];
  if (engine === undefined) return;
  callJson(`${engine.url}/control/faults`, { slowness }).catch(() => undefined);
}

/** Crashes an engine and starts it again; returns the work that it had done. */
async function killEngine(deployment: Deployment, index: number): Promise<AttemptWork[]> {
  const engine = deployment.engines[index];
  if (engine === undefined) return [];
  const work = await callJson(`${engine.url}/control/work`).catch(() => ({}));
  engine.process.child.kill('SIGKILL');
  await waitFor(RESTART_MS);
  engine.process = engine.start();
  return Object.values(work as Record<string, AttemptWork>);
}

/** Kills the VM whose allocator serves the shard; the balancer drops it at its next check. */
async function killAllocator(deployment: Deployment, callerUrls: string[]): Promise<void> {
  const index = await deployment.findAllocatorVm();
  deployment.entryVms[index]?.process.child.kill('SIGKILL');
  process.stderr.write(`killed the allocator's VM, number ${index + 1}\n`);
  await waitFor(BALANCER_CHECK_MS);
  callerUrls.splice(index, 1);
}

function scheduleFaults(
  deployment: Deployment,
  plan: RunPlan,
  callerUrls: string[],
  crashedWork: AttemptWork[],
): void {
  const { slowMoments, crashes, crestPhase, phases } = plan.scenario;
  for (const moment of slowMoments) {
    setTimeout(() => setSlowness(deployment, moment, SLOWNESS), moment.from);
    setTimeout(() => setSlowness(deployment, moment, 1), moment.until).unref();
  }
  for (const { engineIndex, at } of crashes) {
    setTimeout(() => {
      killEngine(deployment, engineIndex)
        .then((work) => crashedWork.push(...work))
        .catch(() => undefined);
    }, at);
  }
  if (!plan.isAllocatorKilled || crestPhase === undefined) return;
  const killAt = (phases[0]?.durationMs ?? 0) + KILL_DELAY_MS;
  setTimeout(() => {
    killAllocator(deployment, callerUrls).catch((error: unknown) => {
      process.stderr.write(`allocator not killed: ${String(error)}\n`);
    });
  }, killAt);
}

/** Runs the scenario; the deployment is gone afterwards. */
export async function runPolicy(
  plan: RunPlan,
  policy: AllocationPolicy,
  basePort: number,
): Promise<RunResult> {
  const { site } = plan;
  const deployment = await startDeployment({
    basePort,
    entryVms: ENTRY_VMS,
    prefillEngines: ENGINES_PER_ROLE,
    decodeEngines: ENGINES_PER_ROLE,
    enginesPerServer: 2,
    ledgers: LEDGERS,
    modelService: site.modelService,
    ledgerService: site.ledgerService,
    dataCentres: site.dataCentres,
    engine: BENCH_ENGINE,
    daemonEnv: {
      TARRAGONSPOOL_POLICY: policy,
      TARRAGONSPOOL_OBJECTIVE: plan.objective,
      TARRAGONSPOOL_LOG_LEVEL: 'error',
    },
  });
  try {
    const { code, output } = await deployment.applyRules(makeSiteRules(site));
    if (code !== 0) throw new Error(`rules not applied: ${output}`);
    await waitFor(WARM_UP_MS);
    const callerUrls = deployment.entryVms.map(({ callerUrl }) => callerUrl);
    const load = { callerUrls, model: site.modelService };
    const calmOutcomes = await runLoad({ ...load, idPrefix: 'bench-calm' }, plan.calmArrivals);
    if (calmOutcomes.length > 0) await waitFor(SETTLE_MS);
    const crashedWork: AttemptWork[] = [];
    scheduleFaults(deployment, plan, callerUrls, crashedWork);
    const outcomes = await runLoad({ ...load, idPrefix: 'bench-run' }, plan.arrivals);
    const work = [...(await readAllWork(deployment)), ...crashedWork];
    return { outcomes, calmOutcomes, work };
  } finally {
    deployment.kill();
  }
}
