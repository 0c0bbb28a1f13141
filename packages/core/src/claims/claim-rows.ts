/** Compares what a row of the ledger holds with what a try wants of it. */

import { assertNever, type ClaimRow } from '@tarragonspool/protocol';
import type { ClaimJob, ClaimVerdict } from './claim-types.js';

/** What a row means for a job. */
export type RowFinding =
  /** The job's write took effect. */
  | { readonly kind: 'done'; readonly version: number }
  /** Write, expecting this version. */
  | { readonly kind: 'write'; readonly version: number | undefined }
  | { readonly kind: 'verdict'; readonly verdict: ClaimVerdict }
  /** The job has nothing left to do. */
  | { readonly kind: 'nothing' }
  | { readonly kind: 'violation'; readonly invariant: string };

/** Clocks of two VMs may differ by this much before an answer deadline is judged wrongly. */
const CLOCK_MARGIN_MS = 5_000;
/**
 * Nothing is sent for a row later than this before it expires, so that a write that takes effect
 * late still meets the row it was meant for.
 */
export const EXPIRY_MARGIN_MS = 3_600_000;
const RETRY_AFTER_MS = 1_000;

function findVerdict(row: ClaimRow, now: number): ClaimVerdict {
  switch (row.state.kind) {
    case 'claimed':
      if (now < row.answerDeadline + CLOCK_MARGIN_MS) {
        return { kind: 'running', retryAt: now + RETRY_AFTER_MS };
      }
      return { kind: 'unknown' };
    case 'answered':
      return { kind: 'recorded', outcome: row.state.outcome };
    case 'answer-not-kept':
      return { kind: 'answer-not-kept' };
    case 'unknown':
    case 'not-run':
      return { kind: 'unknown' };
    default:
      return assertNever(row.state);
  }
}

function compareForClaim(job: ClaimJob, row: ClaimRow, version: number, now: number): RowFinding {
  if (row.token === job.claim.token) {
    if (row.state.kind === 'claimed') return { kind: 'done', version };
    return { kind: 'violation', invariant: 'claim-ended-before-confirmed' };
  }
  if (row.fingerprint !== job.claim.fingerprint) {
    return { kind: 'verdict', verdict: { kind: 'reused' } };
  }
  if (row.state.kind === 'not-run') {
    // The holder gave the key up for good, so this is no takeover. A row about to be swept is left
    // alone: a row written after the sweep may carry the same version.
    if (now < row.expiresAt - EXPIRY_MARGIN_MS) return { kind: 'write', version };
    return { kind: 'verdict', verdict: { kind: 'unavailable', isKeyReserved: true } };
  }
  return { kind: 'verdict', verdict: findVerdict(row, now) };
}

function compareForEnding(job: ClaimJob, row: ClaimRow, version: number): RowFinding {
  if (job.goal.kind !== 'end') return { kind: 'nothing' };
  const { ending } = job.goal;
  if (row.token !== job.claim.token) {
    // A key that was given up may have been claimed by the next try in between.
    if (ending.kind === 'not-run') return { kind: 'nothing' };
    return { kind: 'violation', invariant: 'claim-taken-over' };
  }
  if (row.state.kind === 'claimed') return { kind: 'write', version };
  if (row.state.kind === ending.kind) return { kind: 'nothing' };
  return { kind: 'violation', invariant: 'claim-ending-overwritten' };
}

/** Decides what a row, or its absence, means for a job. */
export function compareRow(
  job: ClaimJob,
  row: ClaimRow | undefined,
  version: number | undefined,
  now: number,
): RowFinding {
  if (version === undefined) {
    const isEnding = job.goal.kind === 'end' && job.goal.ending.kind !== 'not-run';
    if (isEnding) return { kind: 'violation', invariant: 'claim-row-missing' };
    return { kind: 'write', version: undefined };
  }
  if (row === undefined) return { kind: 'violation', invariant: 'claim-row-malformed' };
  return job.goal.kind === 'claim'
    ? compareForClaim(job, row, version, now)
    : compareForEnding(job, row, version);
}
