/** Decides from a row of the claim ledger what a claim or ending must do next. */

import { assertNever, type ClaimRow } from '@tarragonspool/protocol';
import type { ClaimJob, ClaimVerdict } from './claim-types.js';

/** Result of comparing a row with a job. */
export type RowFinding =
  /** The write of the job took effect. */
  | { readonly kind: 'done'; readonly version: number }
  /** The job must write the row, expecting this version. */
  | { readonly kind: 'write'; readonly version: number | undefined }
  | { readonly kind: 'verdict'; readonly verdict: ClaimVerdict }
  /** The job needs no further work. */
  | { readonly kind: 'nothing' }
  | { readonly kind: 'violation'; readonly invariant: string };

/** Tolerated clock difference between two VMs when an answer deadline is checked. */
const CLOCK_DIFFERENCE_MS = 5_000;
/**
 * Writes of a row stop this long before it expires, so that a delayed write still finds the row it
 * was meant for.
 */
export const EXPIRY_MARGIN_MS = 3_600_000;
const RETRY_AFTER_MS = 1_000;

function findVerdict(row: ClaimRow, now: number): ClaimVerdict {
  switch (row.state.kind) {
    case 'claimed':
      if (now < row.answerDeadline + CLOCK_DIFFERENCE_MS) {
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
    // The holder released the key for good, so this is no takeover. A row close to its expiry is not
    // written: after it is swept, a delayed write could overwrite a new row of the same version.
    if (now < row.expiresAt - EXPIRY_MARGIN_MS) return { kind: 'write', version };
    return { kind: 'verdict', verdict: { kind: 'unavailable', isKeyReserved: true } };
  }
  return { kind: 'verdict', verdict: findVerdict(row, now) };
}

function compareForEnding(job: ClaimJob, row: ClaimRow, version: number): RowFinding {
  if (job.goal.kind !== 'end') return { kind: 'nothing' };
  const { ending } = job.goal;
  if (row.token !== job.claim.token) {
    // A released key may have been claimed by another attempt in the meantime.
    if (ending.kind === 'not-run') return { kind: 'nothing' };
    return { kind: 'violation', invariant: 'claim-taken-over' };
  }
  if (row.state.kind === 'claimed') return { kind: 'write', version };
  if (row.state.kind === ending.kind) return { kind: 'nothing' };
  return { kind: 'violation', invariant: 'claim-ending-overwritten' };
}

/** Compares a row, or its absence, with a job. */
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
