/** Measures policies against each other on the same arrivals. See docs/bench-and-soak.md. */

import { monitorEventLoopDelay } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import type { AllocationPolicy } from '@tarragonspool/core';
import { ENGINE_DEFAULTS, type EngineSettings } from '../engine/engine-settings.js';
import { makeRandom } from '../load/random.js';
import { makeArrivals, SITES, type Arrival, type Site } from '../load/workload.js';
import { findBound, predictCapacity, type Pool } from './bound.js';
import { printRun, printTable, type PolicyFigures } from './report.js';
import {
  BENCH_ENGINE,
  ENGINES_PER_ROLE,
  ENTRY_VMS,
  runPolicy,
  type RunPlan,
} from './run-policy.js';
import { makeScenario, SCENARIOS, type Scenario, type ScenarioName } from './scenarios.js';
import { buildSummary, type Stretch } from './summary.js';

const POLICIES = ['ours', 'round-robin', 'least-outstanding', 'two-choices'] as const;
const BASE_PORT = 18_000;
const PORTS_PER_RUN = 100;
const NS_PER_MS = 1e6;
const LAG_RESOLUTION_MS = 5;
const EXIT_USAGE = 64;
const POOL: Pool = {
  engine: { ...ENGINE_DEFAULTS, ...BENCH_ENGINE } as unknown as EngineSettings,
  prefillEngines: ENGINES_PER_ROLE,
  decodeEngines: ENGINES_PER_ROLE,
};

function checkChoice<T extends string>(name: string, value: string, choices: readonly T[]): T {
  const found = choices.find((choice) => choice === value);
  if (found !== undefined) return found;
  process.stderr.write(`--${name} ${value}: expected one of ${choices.join(', ')}\n`);
  return process.exit(EXIT_USAGE);
}

function findCrest({ phases, crestPhase }: Scenario): Stretch | undefined {
  if (crestPhase === undefined) return undefined;
  let from = 0;
  for (const { durationMs } of phases.slice(0, crestPhase)) from += durationMs;
  return { from, until: from + (phases[crestPhase]?.durationMs ?? 0) };
}

function makePlan(
  site: Site,
  scenario: Scenario,
  seed: number,
  objective: Site['objective'],
  isAllocatorKilled: boolean,
): RunPlan {
  const { phases, cancelShare, hasCalmRun } = scenario;
  const make = (salt: string): Arrival[] =>
    makeArrivals(site, phases, cancelShare, ENTRY_VMS, salt, makeRandom(seed));
  const arrivals = make('run');
  const calmArrivals = hasCalmRun ? make('calm') : [];
  return { site, scenario, objective, arrivals, calmArrivals, isAllocatorKilled };
}

async function measurePolicy(
  plan: RunPlan,
  policy: AllocationPolicy,
  basePort: number,
): Promise<PolicyFigures> {
  const lag = monitorEventLoopDelay({ resolution: LAG_RESOLUTION_MS });
  lag.enable();
  const { outcomes, calmOutcomes, work } = await runPolicy(plan, policy, basePort);
  lag.disable();
  let runEnd = 0;
  for (const { durationMs } of plan.scenario.phases) runEnd += durationMs;
  const summary = buildSummary(outcomes, work, findCrest(plan.scenario), runEnd);
  const calm = buildSummary(calmOutcomes, [], undefined, runEnd);
  return {
    ...summary,
    calmFullAnswerP99Ms: calm.fullAnswerMs.p99,
    calmGoodput: plan.scenario.hasCalmRun ? calm.goodput : null,
    clientLagP99Ms: lag.percentile(99) / NS_PER_MS - LAG_RESOLUTION_MS,
  };
}

const { values } = parseArgs({
  options: {
    scenario: { type: 'string', default: 'steady' },
    deployment: { type: 'string', default: 'wickramasinghe' },
    policy: { type: 'string', default: POLICIES.join(',') },
    seed: { type: 'string', default: '1' },
    objective: { type: 'string' },
    'kill-allocator': { type: 'boolean', default: false },
    json: { type: 'boolean', default: false },
  },
});
const scenarioName: ScenarioName = checkChoice('scenario', values.scenario, SCENARIOS);
const siteNames = Object.keys(SITES) as Site['name'][];
const site = SITES[checkChoice('deployment', values.deployment, siteNames)];
const objective = checkChoice('objective', values.objective ?? site.objective, ['tail', 'crest']);
const policies = values.policy.split(',').map((name) => checkChoice('policy', name, POLICIES));
const seed = Number(values.seed);
const capacity = predictCapacity(POOL);
const scenario = makeScenario(scenarioName, capacity, ENGINES_PER_ROLE, seed);
const plan = makePlan(site, scenario, seed, objective, values['kill-allocator']);
const offered = plan.arrivals.filter(({ cancelAt }) => cancelAt === undefined).length;
const bound = findBound(POOL, plan.arrivals);
printRun(scenario, site.name, seed, objective, capacity, offered, bound);

const figures: Record<string, PolicyFigures> = {};
for (const [index, policy] of policies.entries()) {
  // eslint-disable-next-line no-await-in-loop -- one policy after another
  figures[policy] = await measurePolicy(plan, policy, BASE_PORT + index * PORTS_PER_RUN);
}
printTable(figures);
for (const [policy, { goodput }] of Object.entries(figures)) {
  if (goodput > bound) throw new Error(`the bound ${bound} is below ${policy}'s ${goodput}`);
}
if (values.json) {
  const { name: deployment } = site;
  const result = { scenario: scenarioName, deployment, seed, offered, bound, policies: figures };
  process.stdout.write(`${JSON.stringify(result)}\n`);
}
process.exit(0);
