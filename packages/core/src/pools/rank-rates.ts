/**
 * Recent arrivals and on-time grants of a pool by rank, or by tenant. A lower rank waits behind the
 * higher ones while slots are scarce, and a tenant that uses more behind those that use less, but
 * not without end: once its share of grants is far below that of all, it is served first.
 */

type ArrivalRate = {
  /** Arrivals per second that could meet their latency target, as of `at`; decays. */
  arrivalRate: number;
  /** The same over a longer time, and when the first arrival was. */
  usualRate: number;
  firstAt: number;
  at: number;
  /** Arrivals and grants of the share window, as of `countedAt`; both decay together. */
  arrivals: number;
  grants: number;
  countedAt: number;
};

/** Rates by rank or tenant. */
export type ArrivalRates<Key> = Map<Key, ArrivalRate>;
/** Rates by rank. */
export type RankRates = ArrivalRates<number>;

const ARRIVAL_WINDOW_MS = 1_000;
/** Window of the rate that arrivals return to after a burst. */
const USUAL_WINDOW_MS = 60_000;
/** Before this time, arrivals are too few to tell the usual rate from a burst. */
const MIN_USUAL_MS = 3_000;
/** Window of the arrivals and grants by which shares of grants are compared. */
const SHARE_WINDOW_MS = 8_000;
const MS_PER_S = 1_000;
/** A rank is neglected if its share of grants is below this multiple of the share of all ranks. */
export const NEGLECTED_RANK_SHARE = 0.5;
/** Rates without an arrival for this long are removed. */
const IDLE_MS = 120_000;
/** Arrivals from which a share is meaningful. */
const MIN_ARRIVALS = 3;

/** Makes rates without any arrival. */
export function makeArrivalRates<Key>(): ArrivalRates<Key> {
  return new Map();
}

function findRate<Key>(rates: ArrivalRates<Key>, key: Key, now: number): ArrivalRate {
  const known = rates.get(key);
  if (known !== undefined) return known;
  const rate = {
    arrivalRate: 0,
    usualRate: 0,
    firstAt: now,
    at: 0,
    arrivals: 0,
    grants: 0,
    countedAt: 0,
  };
  rates.set(key, rate);
  return rate;
}

function computeArrivalRate(rate: ArrivalRate, now: number): number {
  return rate.arrivalRate * Math.exp(-(now - rate.at) / ARRIVAL_WINDOW_MS);
}

function computeUsualRate(rate: ArrivalRate, now: number): number {
  return rate.usualRate * Math.exp(-(now - rate.at) / USUAL_WINDOW_MS);
}

function decayCounts(rate: ArrivalRate, now: number): void {
  const factor = Math.exp(-(now - rate.countedAt) / SHARE_WINDOW_MS);
  rate.arrivals *= factor;
  rate.grants *= factor;
  rate.countedAt = now;
}

/** Counts an arrival that can still meet its latency target. */
export function countOnTimeArrival<Key>(rates: ArrivalRates<Key>, key: Key, now: number): void {
  const rate = findRate(rates, key, now);
  rate.arrivalRate = computeArrivalRate(rate, now) + MS_PER_S / ARRIVAL_WINDOW_MS;
  rate.usualRate = computeUsualRate(rate, now) + MS_PER_S / USUAL_WINDOW_MS;
  rate.at = now;
  decayCounts(rate, now);
  rate.arrivals += 1;
}

/** Counts a grant that meets its latency target. */
export function countOnTimeGrant<Key>(rates: ArrivalRates<Key>, key: Key, now: number): void {
  const rate = findRate(rates, key, now);
  decayCounts(rate, now);
  rate.grants += 1;
}

/** Returns the recent on-time arrivals per second of the ranks that go before `belowRank`. */
export function measureArrivalRate(rates: RankRates, now: number, belowRank = Infinity): number {
  let total = 0;
  for (const [rank, rate] of rates) {
    if (rank < belowRank) total += computeArrivalRate(rate, now);
  }
  return total;
}

/**
 * Returns the on-time arrivals per second that are usual for these ranks; until enough time has
 * passed since their first arrival, the mean since then.
 */
export function measureUsualRate(rates: RankRates, now: number, belowRank = Infinity): number {
  let total = 0;
  for (const [rank, rate] of rates) {
    if (rank >= belowRank) continue;
    const ageMs = Math.max(MIN_USUAL_MS, now - rate.firstAt);
    total += computeUsualRate(rate, now) / (1 - Math.exp(-ageMs / USUAL_WINDOW_MS));
  }
  return total;
}

/**
 * Whether a rank or tenant has got far fewer of its arrivals served than all together: its share of
 * grants is below this multiple of the share of all.
 */
export function isNeglected<Key>(
  rates: ArrivalRates<Key>,
  key: Key,
  neglectedShare: number,
  now: number,
): boolean {
  const own = rates.get(key);
  if (own === undefined) return false;
  let arrivals = 0;
  let grants = 0;
  for (const rate of rates.values()) {
    decayCounts(rate, now);
    arrivals += rate.arrivals;
    grants += rate.grants;
  }
  if (own.arrivals < MIN_ARRIVALS) return false;
  return own.grants / own.arrivals < neglectedShare * (grants / Math.max(1, arrivals));
}

/** Returns the on-time arrivals per second of one rank or tenant over the share window. */
export function measureOwnRate<Key>(rates: ArrivalRates<Key>, key: Key, now: number): number {
  const rate = rates.get(key);
  if (rate === undefined) return 0;
  decayCounts(rate, now);
  const ageMs = Math.max(MIN_USUAL_MS, now - rate.firstAt);
  return (MS_PER_S * rate.arrivals) / (SHARE_WINDOW_MS * (1 - Math.exp(-ageMs / SHARE_WINDOW_MS)));
}

/** Removes the rates of those that have had no arrival for a long time. */
export function removeIdleRates<Key>(rates: ArrivalRates<Key>, now: number): void {
  for (const [key, rate] of rates) if (now - rate.at > IDLE_MS) rates.delete(key);
}
