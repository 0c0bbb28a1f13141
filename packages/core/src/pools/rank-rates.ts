/**
 * Recent arrivals and on-time grants of a pool by rank. A lower rank waits behind the higher ones
 * while slots are scarce, but not without end: once its share of grants is far below that of all
 * ranks, it is served first.
 */

type RankRate = {
  /** Arrivals per second that could meet their latency target, as of `at`; decays. */
  arrivalRate: number;
  /** The same over a longer time, and when the first arrival was. */
  usualRate: number;
  firstAt: number;
  at: number;
  /** Arrivals and grants of the last while, as of `countedAt`; both decay together. */
  arrivals: number;
  grants: number;
  countedAt: number;
};

/** Rates by rank. */
export type RankRates = Map<number, RankRate>;

const ARRIVAL_WINDOW_MS = 1_000;
/** Window of the rate that arrivals return to after a burst. */
const USUAL_WINDOW_MS = 60_000;
/** Before this time, arrivals are too few to tell the usual rate from a burst. */
const MIN_USUAL_MS = 3_000;
const SHARE_WINDOW_MS = 8_000;
const MS_PER_S = 1_000;
/** A rank is neglected if its share of grants is below this multiple of the share of all ranks. */
const NEGLECTED_SHARE = 0.5;
/** Arrivals from which a share is meaningful. */
const MIN_ARRIVALS = 3;

/** Makes rates without any arrival. */
export function makeRankRates(): RankRates {
  return new Map();
}

function findRate(rates: RankRates, rank: number, now: number): RankRate {
  const known = rates.get(rank);
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
  rates.set(rank, rate);
  return rate;
}

function computeArrivalRate(rate: RankRate, now: number): number {
  return rate.arrivalRate * Math.exp(-(now - rate.at) / ARRIVAL_WINDOW_MS);
}

function computeUsualRate(rate: RankRate, now: number): number {
  return rate.usualRate * Math.exp(-(now - rate.at) / USUAL_WINDOW_MS);
}

function decayCounts(rate: RankRate, now: number): void {
  const factor = Math.exp(-(now - rate.countedAt) / SHARE_WINDOW_MS);
  rate.arrivals *= factor;
  rate.grants *= factor;
  rate.countedAt = now;
}

/** Counts an arrival that can still meet its latency target. */
export function countOnTimeArrival(rates: RankRates, rank: number, now: number): void {
  const rate = findRate(rates, rank, now);
  rate.arrivalRate = computeArrivalRate(rate, now) + MS_PER_S / ARRIVAL_WINDOW_MS;
  rate.usualRate = computeUsualRate(rate, now) + MS_PER_S / USUAL_WINDOW_MS;
  rate.at = now;
  decayCounts(rate, now);
  rate.arrivals += 1;
}

/** Counts a grant that meets its latency target. */
export function countOnTimeGrant(rates: RankRates, rank: number, now: number): void {
  const rate = findRate(rates, rank, now);
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

/** Whether a rank has got far fewer of its arrivals served than all ranks together. */
export function isNeglected(rates: RankRates, rank: number, now: number): boolean {
  let arrivals = 0;
  let grants = 0;
  for (const rate of rates.values()) {
    decayCounts(rate, now);
    arrivals += rate.arrivals;
    grants += rate.grants;
  }
  const own = findRate(rates, rank, now);
  if (own.arrivals < MIN_ARRIVALS) return false;
  return own.grants / own.arrivals < NEGLECTED_SHARE * (grants / Math.max(1, arrivals));
}
