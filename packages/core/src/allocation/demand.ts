/**
 * Measures arriving work by priority, and says which requests fit into what is left of the pool. Above
 * capacity the cheaper requests are admitted, since more of them can be answered in time.
 */

/** Work that one request asks of the pool, in milliseconds of the whole pool. */
export type WorkCost = { readonly prefillMs: number; readonly decodeMs: number };

type PriorityDemand = {
  /** Share of the pool's prefill and decode time that arrivals ask for. */
  prefillShare: number;
  decodeShare: number;
  updatedAt: number;
  /** Costs of the latest arrivals; `next` is the slot to be used next. */
  readonly costs: Float64Array;
  readonly works: Float64Array;
  count: number;
  next: number;
};

/** Demand by priority, 0 to 9. */
export type Demand = readonly PriorityDemand[];

const PRIORITIES = 10;
const HALF_LIFE_MS = 1_000;
const REMEMBERED = 64;
const MIN_REMEMBERED = 8;

/** Makes empty demand. */
export function makeDemand(): Demand {
  return Array.from({ length: PRIORITIES }, () => ({
    prefillShare: 0,
    decodeShare: 0,
    updatedAt: 0,
    costs: new Float64Array(REMEMBERED),
    works: new Float64Array(REMEMBERED),
    count: 0,
    next: 0,
  }));
}

function findDecay({ updatedAt }: PriorityDemand, now: number): number {
  return 2 ** (-Math.max(0, now - updatedAt) / HALF_LIFE_MS);
}

/** Adds the work of an arrival. */
export function addDemand(demand: Demand, priority: number, cost: WorkCost, now: number): void {
  const own = demand[priority];
  if (own === undefined) return;
  const decay = findDecay(own, now);
  own.prefillShare = own.prefillShare * decay + (cost.prefillMs * Math.LN2) / HALF_LIFE_MS;
  own.decodeShare = own.decodeShare * decay + (cost.decodeMs * Math.LN2) / HALF_LIFE_MS;
  own.updatedAt = now;
  own.costs[own.next] = cost.prefillMs + cost.decodeMs;
  own.works[own.next] = Math.max(cost.prefillMs, cost.decodeMs);
  own.next = (own.next + 1) % REMEMBERED;
  own.count = Math.min(REMEMBERED, own.count + 1);
}

/** Share of the pool that arrivals of greater priorities ask for, on the scarcer side. */
export function measureShareAbove(demand: Demand, priority: number, now: number): number {
  let prefill = 0;
  let decode = 0;
  for (let above = priority + 1; above < demand.length; above += 1) {
    const other = demand[above];
    if (other === undefined) continue;
    const decay = findDecay(other, now);
    prefill += other.prefillShare * decay;
    decode += other.decodeShare * decay;
  }
  return Math.max(prefill, decode);
}

/** Share of the arriving work of a priority that the pool can take; one or more if all of it. */
export function measureFit(demand: Demand, priority: number, now: number): number {
  const own = demand[priority];
  if (own === undefined) return 1;
  const left = Math.max(0, 1 - measureShareAbove(demand, priority, now));
  const asked = Math.max(own.prefillShare, own.decodeShare) * findDecay(own, now);
  return asked === 0 ? 1 : left / asked;
}

/** Share of the recent work of a priority that belongs to cheaper requests than this one. */
export function rankCost(demand: Demand, priority: number, cost: WorkCost): number {
  const own = demand[priority];
  if (own === undefined || own.count < MIN_REMEMBERED) return 0;
  const limit = cost.prefillMs + cost.decodeMs;
  let cheaper = 0;
  let total = 0;
  for (let slot = 0; slot < own.count; slot += 1) {
    const work = own.works[slot] ?? 0;
    total += work;
    if ((own.costs[slot] ?? 0) < limit) cheaper += work;
  }
  return total === 0 ? 0 : cheaper / total;
}
