/**
 * Shares of tenants in the slots of a pool. While slots are scarce, waiting streams of one rank are
 * served by what their tenants have used recently, lowest first, so that a tenant with many times
 * its usual load does not take the slots of the others. Use is expected slot time, corrected when
 * the answer ends. Streams without a tenant share one entry, so that the order without tenants is by
 * latency target alone.
 */

import {
  addUsage,
  makeUsageShares,
  measureUsage,
  removeIdleUsers,
  type UsageShares,
} from '../shares/usage-shares.js';
import {
  countOnTimeArrival,
  countOnTimeGrant,
  isNeglected,
  makeArrivalRates,
  measureOwnRate,
  removeIdleRates,
  type ArrivalRates,
} from './rank-rates.js';
import type { SlotAssignment, SlotRequest } from './pool-types.js';

type TenantKey = string | undefined;

/** Recent use, arrivals and grants of each tenant. */
export type TenantShares = {
  readonly usage: UsageShares<TenantKey>;
  /** By rank: tenants share what their rank gets. */
  readonly ratesByRank: Map<number, ArrivalRates<TenantKey>>;
  /** Places in the order of service, as computed at `placedAt`; cleared by every change. */
  readonly places: Map<number, Map<TenantKey, number>>;
  placedAt: number;
};

/** Use of a tenant halves in this time, somewhat longer than an answer occupies a slot. */
const HALF_LIFE_MS = 5_000;
/**
 * A tenant is served first if its share of grants falls below this multiple of the share that all
 * get; a quarter is promised, and the counts lag.
 */
const NEGLECTED_TENANT_SHARE = 0.35;
/** Uses that differ by less than this slot time count as equal. */
const USE_STEP_MS = 100;

/** Makes shares without use. */
export function makeTenantShares(): TenantShares {
  return {
    usage: makeUsageShares(HALF_LIFE_MS),
    ratesByRank: new Map(),
    places: new Map(),
    placedAt: 0,
  };
}

function findRates({ ratesByRank }: TenantShares, rank: number): ArrivalRates<TenantKey> {
  const known = ratesByRank.get(rank);
  if (known !== undefined) return known;
  const rates = makeArrivalRates<TenantKey>();
  ratesByRank.set(rank, rates);
  return rates;
}

/** Whether several tenants of one rank have sent streams lately, so that they share anything. */
export function hasSeveralTenants({ ratesByRank }: TenantShares): boolean {
  for (const rates of ratesByRank.values()) if (rates.size > 1) return true;
  return false;
}

/** Counts the first attempt of a stream that can meet its target. */
export function countTenantArrival(
  shares: TenantShares,
  { tenant, rank }: SlotRequest,
  now: number,
): void {
  shares.places.clear();
  countOnTimeArrival(findRates(shares, rank), tenant, now);
}

/** Counts a granted slot for its expected time. */
export function recordTenantGrant(
  shares: TenantShares,
  { ask, grantedAt, expectedEndAt, isLate }: SlotAssignment,
  now: number,
): void {
  shares.places.clear();
  addUsage(shares.usage, ask.tenant, expectedEndAt - grantedAt, now);
  if (!isLate) countOnTimeGrant(findRates(shares, ask.rank), ask.tenant, now);
}

/** Corrects the use of a tenant once a slot has been occupied for another time than expected. */
export function recordTenantEnd(
  shares: TenantShares,
  { ask, expectedEndAt }: SlotAssignment,
  now: number,
): void {
  shares.places.clear();
  addUsage(shares.usage, ask.tenant, now - expectedEndAt, now);
}

type TenantStream = Pick<SlotRequest, 'tenant' | 'rank'>;

function isTenantNeglected(
  { ratesByRank }: TenantShares,
  { tenant, rank }: TenantStream,
  now: number,
): boolean {
  const rates = ratesByRank.get(rank);
  return rates !== undefined && isNeglected(rates, tenant, NEGLECTED_TENANT_SHARE, now);
}

/** Computes a tenant's place in the order of service: neglected ones go first, then by use. */
function computePlace(shares: TenantShares, stream: TenantStream, now: number): number {
  if (isTenantNeglected(shares, stream, now)) return -1;
  return Math.floor(measureUsage(shares.usage, stream.tenant, now) / USE_STEP_MS);
}

/** Finds a tenant's place, which is computed once for all comparisons of one decision. */
function findPlace(shares: TenantShares, stream: TenantStream, now: number): number {
  if (shares.placedAt !== now) shares.places.clear();
  shares.placedAt = now;
  const { tenant, rank } = stream;
  const ofRank = shares.places.get(rank) ?? new Map<TenantKey, number>();
  shares.places.set(rank, ofRank);
  const known = ofRank.get(tenant);
  if (known !== undefined) return known;
  const place = computePlace(shares, stream, now);
  ofRank.set(tenant, place);
  return place;
}

/** Orders two streams by what their tenants have got: negative if the first is served first. */
export function compareTenants(
  shares: TenantShares,
  one: TenantStream,
  other: TenantStream,
  now: number,
): number {
  if (one.tenant === other.tenant) return 0;
  return findPlace(shares, one, now) - findPlace(shares, other, now);
}

/**
 * Returns the arrivals per second of the other tenants of a stream's rank that are served before it.
 */
export function measureArrivalsBefore(
  shares: TenantShares,
  stream: TenantStream,
  now: number,
): number {
  const rates = shares.ratesByRank.get(stream.rank);
  let total = 0;
  for (const tenant of rates?.keys() ?? []) {
    const isBefore = compareTenants(shares, { tenant, rank: stream.rank }, stream, now) < 0;
    if (isBefore && rates !== undefined) total += measureOwnRate(rates, tenant, now);
  }
  return total;
}

/** Forgets tenants that send nothing any more. */
export function removeIdleTenants({ usage, ratesByRank }: TenantShares, now: number): void {
  removeIdleUsers(usage, now);
  for (const rates of ratesByRank.values()) removeIdleRates(rates, now);
}
