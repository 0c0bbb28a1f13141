/**
 * Measures the arriving work of each priority and how much of it fits into the remaining pool
 * capacity. Above capacity the cheaper requests are admitted, since more of them can meet their
 * deadlines.
 */

/** Work of one request, in milliseconds of the prefill and decode capacity of the whole pool. */
export type WorkCost = { readonly prefillMs: number; readonly decodeMs: number };

type PriorityDemand = {
  /** Shares of the pool's prefill and decode time that recent arrivals need. */
  prefillShare: number;
  decodeShare: number;
  updatedAt: number;
  /**
   * Ring buffer of the total costs (ms) of the latest arrivals; `nextIndex` is overwritten next.
   */
  readonly costs: Float64Array;
  /** Cost (ms) of the same arrivals on the stage that they load more. */
  readonly bottleneckCosts: Float64Array;
  count: number;
  nextIndex: number;
};

/** Demand by priority, 0 to 9. */
export type Demand = readonly PriorityDemand[];

const PRIORITIES = 10;
const HALF_LIFE_MS = 1_000;
const MAX_COST_SAMPLES = 64;
const MIN_COST_SAMPLES = 8;

/** Makes demand without arrivals. */
export function makeDemand(): Demand {
  return Array.from({ length: PRIORITIES }, () => ({
    prefillShare: 0,
    decodeShare: 0,
    updatedAt: 0,
    costs: new Float64Array(MAX_COST_SAMPLES),
    bottleneckCosts: new Float64Array(MAX_COST_SAMPLES),
    count: 0,
    nextIndex: 0,
  }));
}

function computeDecay({ updatedAt }: PriorityDemand, now: number): number {
  return 2 ** (-Math.max(0, now - updatedAt) / HALF_LIFE_MS);
}

/** Adds the work of an arriving request. */
export function addDemand(demand: Demand, priority: number, cost: WorkCost, now: number): void {
  const entry = demand[priority];
  if (entry === undefined) return;
  const decay = computeDecay(entry, now);
  entry.prefillShare = entry.prefillShare * decay + (cost.prefillMs * Math.LN2) / HALF_LIFE_MS;
  entry.decodeShare = entry.decodeShare * decay + (cost.decodeMs * Math.LN2) / HALF_LIFE_MS;
  entry.updatedAt = now;
  entry.costs[entry.nextIndex] = cost.prefillMs + cost.decodeMs;
  entry.bottleneckCosts[entry.nextIndex] = Math.max(cost.prefillMs, cost.decodeMs);
  entry.nextIndex = (entry.nextIndex + 1) % MAX_COST_SAMPLES;
  entry.count = Math.min(MAX_COST_SAMPLES, entry.count + 1);
}

/**
 * Returns the share of the pool that arrivals of higher priorities need, on the more loaded stage.
 */
export function measureHigherPriorityShare(demand: Demand, priority: number, now: number): number {
  let prefillShare = 0;
  let decodeShare = 0;
  for (let above = priority + 1; above < demand.length; above += 1) {
    const other = demand[above];
    if (other === undefined) continue;
    const decay = computeDecay(other, now);
    prefillShare += other.prefillShare * decay;
    decodeShare += other.decodeShare * decay;
  }
  return Math.max(prefillShare, decodeShare);
}

/**
 * Returns the share of the arriving work of a priority that the pool can serve; 1 or more if all of
 * it.
 */
export function measureAdmissibleShare(demand: Demand, priority: number, now: number): number {
  const entry = demand[priority];
  if (entry === undefined) return 1;
  const remainingShare = Math.max(0, 1 - measureHigherPriorityShare(demand, priority, now));
  const demandedShare = Math.max(entry.prefillShare, entry.decodeShare) * computeDecay(entry, now);
  return demandedShare === 0 ? 1 : remainingShare / demandedShare;
}

/**
 * Returns the share of the recent work of a priority that belongs to cheaper requests than this
 * one.
 */
export function measureCheaperShare(demand: Demand, priority: number, cost: WorkCost): number {
  const entry = demand[priority];
  if (entry === undefined || entry.count < MIN_COST_SAMPLES) return 0;
  const ownCostMs = cost.prefillMs + cost.decodeMs;
  let cheaperMs = 0;
  let totalMs = 0;
  for (let index = 0; index < entry.count; index += 1) {
    const bottleneckMs = entry.bottleneckCosts[index] ?? 0;
    totalMs += bottleneckMs;
    if ((entry.costs[index] ?? 0) < ownCostMs) cheaperMs += bottleneckMs;
  }
  return totalMs === 0 ? 0 : cheaperMs / totalMs;
}
