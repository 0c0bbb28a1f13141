/**
 * Plans the split of a large pool, where a change of one engine gains too little to be worth its time
 * and several changes together gain a lot. Changes are ordered one by one, a few at a time.
 */

import {
  applyChange,
  predictStartRate,
  type PlannedEngine,
  type RequestNeeds,
  type StageChange,
  type WantedChange,
} from './stage-plan.js';

/** Engines from which on one of them is too small a share of the pool to judge its change alone. */
const LARGE_POOL_ENGINES = 16;
/** Share of the engines that may change at a time; each serves nothing for seconds. */
const MAX_CHANGING_SHARE = 0.125;
/** Share of the engines whose speed must be measured: some have always just started. */
const MIN_MEASURED_SHARE = 0.75;
/** Prefill capacity that the plan keeps above the rate of slots, for engines that fail and longer prompts. */
const PREFILL_HEADROOM = 1.15;
/** Gain of all planned changes together from which on they begin, as a factor on the start rate. */
const MIN_SPLIT_GAIN = 1.03;

/** Whether a pool is planned as a whole. */
export function isLargePool(engines: readonly PlannedEngine[]): boolean {
  return engines.length >= LARGE_POOL_ENGINES;
}

function hasEnoughMeasured(engines: readonly PlannedEngine[]): boolean {
  const measured = engines.filter(({ slowness }) => slowness !== undefined);
  return measured.length >= MIN_MEASURED_SHARE * engines.length;
}

/** Whether one more engine of a pool may begin to change its stage. */
export function canChangeAnother(engines: readonly PlannedEngine[]): boolean {
  const changing = engines.filter(({ isChanging }) => isChanging);
  return changing.length < MAX_CHANGING_SHARE * engines.length;
}

/** Finds the prefill engine whose change to decode leaves the highest start rate. */
function findBestChange(
  engines: readonly PlannedEngine[],
  demand: RequestNeeds,
): { change: StageChange; rate: number } | undefined {
  let best: { change: StageChange; rate: number } | undefined;
  for (const { upstreamId, stage, isChanging, isIgnoringOrders } of engines) {
    if (stage !== 'prefill' || isChanging || isIgnoringOrders === true) continue;
    const change = { upstreamId, stage: 'decode' } as const;
    const rate = predictStartRate(applyChange(engines, change), demand);
    if (rate > (best?.rate ?? 0)) best = { change, rate };
  }
  return best;
}

/**
 * Finds the first change of a plan that turns prefill engines into decode engines until the two stages
 * are balanced; undefined if all changes together gain too little.
 */
export function findSplitChange(
  engines: readonly PlannedEngine[],
  demand: RequestNeeds,
): WantedChange | undefined {
  if (!isLargePool(engines) || !hasEnoughMeasured(engines)) return undefined;
  const planned = { ...demand, prefillMs: PREFILL_HEADROOM * demand.prefillMs };
  const currentRate = predictStartRate(engines, planned);
  let first: StageChange | undefined;
  let split = engines;
  let rate = currentRate;
  for (;;) {
    const next = findBestChange(split, planned);
    if (next === undefined || next.rate <= rate) break;
    first ??= next.change;
    split = applyChange(split, next.change);
    rate = next.rate;
  }
  if (first === undefined || rate < MIN_SPLIT_GAIN * currentRate) return undefined;
  return { ...first, isUrgent: false };
}
