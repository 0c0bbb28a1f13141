/** When a phase of a request takes so much longer than expected that it counts as stalled. */

import type { ReservationGrant } from '@tarragonspool/protocol';

const MIN_PREFILL_STALL_MS = 3_000;
const PREFILL_STALL_FACTOR = 6;
const MIN_IMPORT_STALL_MS = 400;
const IMPORT_STALL_FACTOR = 2;
const RECOVERY_CHECK_MS = 40;
const FIRST_TOKEN_CHECK_MS = 80;

/** Finds when a prefill that starts now counts as stalled. */
export function findPrefillStall(grant: ReservationGrant, now: number): number {
  const expectedMs = Math.max(0, grant.predictedFirstTokenAt - now);
  return now + Math.max(MIN_PREFILL_STALL_MS, expectedMs * PREFILL_STALL_FACTOR);
}

/** Finds when an import that starts now counts as stalled. */
export function findImportStall(grant: ReservationGrant, now: number): number {
  const expectedMs = Math.max(0, grant.predictedFirstTokenAt - now);
  return now + Math.max(MIN_IMPORT_STALL_MS, expectedMs * IMPORT_STALL_FACTOR);
}

/** Finds when to look whether a prefill that goes on is late. */
export function findPrefillCheck(grant: ReservationGrant, now: number): number {
  return Math.max(grant.predictedFirstTokenAt, now) + RECOVERY_CHECK_MS;
}

/** Finds when to look whether a stream whose last token came now stands still. */
export function findTokenCheck(now: number): number {
  return now + FIRST_TOKEN_CHECK_MS;
}

/** Finds when to look again. */
export function findNextCheck(now: number): number {
  return now + RECOVERY_CHECK_MS;
}
