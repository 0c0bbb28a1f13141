/**
 * Computes when a prefill or a KV cache import counts as stalled, and when to check a phase next. At a
 * check before that, `adviseRecovery` decides whether a delayed prefill or stream gets a standby
 * attempt. Times are milliseconds since the epoch.
 */

import type { ReservationGrant } from '@tarragonspool/protocol';

const MIN_PREFILL_STALL_MS = 3_000;
const PREFILL_STALL_FACTOR = 6;
const MIN_IMPORT_STALL_MS = 400;
const IMPORT_STALL_FACTOR = 2;
const RECOVERY_CHECK_INTERVAL_MS = 40;
const FIRST_CHECK_AFTER_TOKEN_MS = 80;

/** Finds when a prefill that started at `now` counts as stalled. */
export function findPrefillStallTime(grant: ReservationGrant, now: number): number {
  const expectedMs = Math.max(0, grant.predictedFirstTokenAt - now);
  return now + Math.max(MIN_PREFILL_STALL_MS, expectedMs * PREFILL_STALL_FACTOR);
}

/** Finds when a KV cache import that starts at `now` counts as stalled. */
export function findImportStallTime(grant: ReservationGrant, now: number): number {
  const expectedMs = Math.max(0, grant.predictedFirstTokenAt - now);
  return now + Math.max(MIN_IMPORT_STALL_MS, expectedMs * IMPORT_STALL_FACTOR);
}

/** Finds when to check whether a running prefill is behind its predicted end. */
export function findPrefillCheckTime(grant: ReservationGrant, now: number): number {
  return Math.max(grant.predictedFirstTokenAt, now) + RECOVERY_CHECK_INTERVAL_MS;
}

/** Finds when to check whether a stream that received its last token at `now` has stalled. */
export function findTokenCheckTime(now: number): number {
  return now + FIRST_CHECK_AFTER_TOKEN_MS;
}

/** Finds the time of the next check after one at `now`. */
export function findNextCheckTime(now: number): number {
  return now + RECOVERY_CHECK_INTERVAL_MS;
}
