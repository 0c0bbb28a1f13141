/** When a phase of a request takes so much longer than expected that it counts as stalled. */

import type { ReservationGrant } from '@tarragonspool/protocol';

const MIN_PREFILL_STALL_MS = 1_000;
const PREFILL_STALL_FACTOR = 4;
const MIN_IMPORT_STALL_MS = 400;
const IMPORT_STALL_FACTOR = 2;
const MIN_TOKEN_DELAY_MS = 80;
const TOKEN_DELAY_FACTOR = 3;
const MAX_GAP_MS = 60;
const MIN_TOKEN_STALL_MS = 300;
const TOKEN_STALL_FACTOR = 8;
const GAP_WEIGHT = 0.2;
const FIRST_GAP_MS = 60;

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

/** Smooths the time between tokens. */
export function updateGap(gapMs: number | undefined, sampleMs: number): number {
  return gapMs === undefined ? sampleMs : gapMs + (sampleMs - gapMs) * GAP_WEIGHT;
}

/** Finds when a stream whose last token came now may be on a slow engine. */
export function findTokenDelay(gapMs: number | undefined, now: number): number {
  const usualGapMs = Math.min(MAX_GAP_MS, gapMs ?? FIRST_GAP_MS);
  return now + Math.max(MIN_TOKEN_DELAY_MS, usualGapMs * TOKEN_DELAY_FACTOR);
}

/** Finds when a stream whose last token came now counts as stalled. */
export function findTokenStall(gapMs: number | undefined, now: number): number {
  return now + Math.max(MIN_TOKEN_STALL_MS, (gapMs ?? FIRST_GAP_MS) * TOKEN_STALL_FACTOR);
}
