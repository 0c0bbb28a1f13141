/** Types of the claim machine. Times are milliseconds since the epoch. */

import type {
  ClaimEnding,
  ClaimOutcome,
  Fingerprint,
  ReadResult,
  TableWrite,
  TransactResult,
} from '@tarragonspool/protocol';

/** One attempt to claim a key. */
export type Claim = {
  /** Unique id of this attempt. */
  readonly token: string;
  /** Row of the key, the same on every VM. */
  readonly rowKey: string;
  readonly fingerprint: Fingerprint;
  /** When the attempt to claim the key is abandoned. */
  readonly claimDeadline: number;
  readonly dispatchDeadline: number;
  readonly answerDeadline: number;
  readonly expiresAt: number;
};

/** Result of one attempt. The call may be sent only after `claimed`. */
export type ClaimVerdict =
  | { readonly kind: 'claimed'; readonly dispatchDeadline: number }
  | { readonly kind: 'recorded'; readonly outcome: ClaimOutcome }
  | { readonly kind: 'answer-not-kept' }
  | { readonly kind: 'running'; readonly retryAt: number }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'reused' }
  /** The call must not be sent. The key may stay reserved until this attempt is settled. */
  | { readonly kind: 'unavailable'; readonly isKeyReserved: boolean };

/** Id of one call of the table. */
export type BatchId = number;

/** Events that the claim machine receives. */
export type ClaimEvent =
  | { readonly kind: 'claim-asked'; readonly claim: Claim; readonly now: number }
  | {
      readonly kind: 'ended';
      readonly token: string;
      readonly ending: ClaimEnding;
      readonly now: number;
    }
  | {
      readonly kind: 'transacted';
      readonly batchId: BatchId;
      readonly result: TransactResult;
      readonly now: number;
    }
  | {
      readonly kind: 'read';
      readonly batchId: BatchId;
      readonly result: ReadResult;
      readonly now: number;
    }
  | { readonly kind: 'ticked'; readonly now: number };

/** Actions that the host must perform. */
export type ClaimAction =
  | {
      readonly kind: 'transact';
      readonly batchId: BatchId;
      readonly writes: readonly TableWrite[];
      readonly deadline: number;
    }
  | {
      readonly kind: 'read';
      readonly batchId: BatchId;
      readonly keys: readonly string[];
      readonly deadline: number;
    }
  | { readonly kind: 'answer'; readonly token: string; readonly verdict: ClaimVerdict }
  /** The ending was not recorded: its deadline passed or the queue was full. */
  | { readonly kind: 'drop-ending'; readonly token: string }
  | { readonly kind: 'report-violation'; readonly invariant: string; readonly token: string };

/** Purpose of writing a row. */
export type ClaimGoal =
  { readonly kind: 'claim' } | { readonly kind: 'end'; readonly ending: ClaimEnding };

/** Pending work on one row. */
export type ClaimJob = {
  readonly claim: Claim;
  readonly goal: ClaimGoal;
  step: 'write' | 'read';
  /** Version that the next write expects; undefined while the row is expected to be absent. */
  version: number | undefined;
  /** Whether a write of this attempt may still take effect. */
  canWriteTakeEffect: boolean;
  failures: number;
  /** When the job may next be sent to the table. */
  readyAt: number;
  /** When the job is abandoned. */
  readonly deadline: number;
};

/** A claim that this VM holds while its call runs. */
export type HeldClaim = { readonly claim: Claim; readonly version: number };

/** State of the claim machine on one VM. */
export type ClaimState = {
  /** Jobs that wait for a call of the table, oldest first. */
  queue: ClaimJob[];
  readonly inFlight: Map<BatchId, readonly ClaimJob[]>;
  readonly held: Map<string, HeldClaim>;
  nextBatchId: BatchId;
};
