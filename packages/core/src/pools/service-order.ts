/** The order in which waiting requests get slots. */

import { isNeglected, NEGLECTED_RANK_SHARE } from './rank-rates.js';
import { compareTenants } from './tenant-shares.js';
import { predictFirstEventMs, type PoolState } from './pool-state.js';
import type { SlotRequest } from './pool-types.js';

/** Whether the first event can still meet the latency target if the slot is granted now. */
export function canMeetTarget(state: PoolState, slotRequest: SlotRequest, now: number): boolean {
  return now + predictFirstEventMs(state, slotRequest) <= slotRequest.aimAt;
}

/** Whether a request gets its slot before those that can no longer meet their target. */
export function isServedFirst(state: PoolState, slotRequest: SlotRequest, now: number): boolean {
  return slotRequest.isContinued || canMeetTarget(state, slotRequest, now);
}

/**
 * Orders two requests that are served first: continued ones, then neglected ranks, then by rank,
 * then by the use of their tenants, then by the latency target.
 */
export function compareServiceOrder(
  state: PoolState,
  one: SlotRequest,
  other: SlotRequest,
  now: number,
): number {
  if (one.isContinued !== other.isContinued) return one.isContinued ? -1 : 1;
  if (one.rank === other.rank) {
    return compareTenants(state.tenants, one, other, now) || one.aimAt - other.aimAt;
  }
  const isOneNeglected = isNeglected(state.ranks, one.rank, NEGLECTED_RANK_SHARE, now);
  if (isOneNeglected !== isNeglected(state.ranks, other.rank, NEGLECTED_RANK_SHARE, now)) {
    return isOneNeglected ? -1 : 1;
  }
  return one.rank - other.rank;
}

/** Whether one of two requests that are served first gets its slot before the other. */
export function isServedBefore(
  state: PoolState,
  one: SlotRequest,
  other: SlotRequest,
  now: number,
): boolean {
  return compareServiceOrder(state, one, other, now) <= 0;
}

/**
 * Orders two requests that can no longer meet their target: by the use of their tenants, then by the
 * caller's deadline.
 */
export function compareSpareOrder(
  state: PoolState,
  one: SlotRequest,
  other: SlotRequest,
  now: number,
): number {
  return (
    compareTenants(state.tenants, one, other, now) || one.patienceEndsAt - other.patienceEndsAt
  );
}
