/** Types of the claim machine. Times are milliseconds since the epoch. */

import type {
  ClaimEnding,
  ClaimOutcome,
  Fingerprint,
  ReadResult,
  TableWrite,
  TransactResult,
} from '@tarragonspool/protocol';

/** One try at claiming a key. */
export type Claim = {
  /** Names this try; never used twice. */
  readonly token: string;
  /** Row of the key, the same on every VM. */
  readonly rowKey: string;
  readonly fingerprint: Fingerprint;
  /** When to give up claiming. */
  readonly claimDeadline: number;
  readonly dispatchDeadline: number;
  readonly answerDeadline: number;
  readonly expiresAt: number;
};

/** What became of one try. Only `claimed` lets the call be sent. */
export type ClaimVerdict =
  | { readonly kind: 'claimed'; readonly dispatchDeadline: number }
  | { readonly kind: 'recorded'; readonly outcome: ClaimOutcome }
  | { readonly kind: 'answer-not-kept' }
  | { readonly kind: 'running'; readonly retryAt: number }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'reused' }
  /** Not claimed and never to be sent. The key may stay reserved until this try is settled. */
  | { readonly kind: 'unavailable'; readonly isKeyReserved: boolean };

/** Names one call of the table. */
export type BatchId = number;

/** What the machine hears. */
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

/** What the host must do. */
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
  /** An ending could not be recorded within its deadline or for want of room. */
  | { readonly kind: 'drop-ending'; readonly token: string }
  | { readonly kind: 'report-violation'; readonly invariant: string; readonly token: string };

/** What a row is written for. */
export type ClaimGoal =
  { readonly kind: 'claim' } | { readonly kind: 'end'; readonly ending: ClaimEnding };

/** Work on one row. */
export type ClaimJob = {
  readonly claim: Claim;
  readonly goal: ClaimGoal;
  step: 'write' | 'read';
  /** Version that the next write expects; undefined while the row is expected to be absent. */
  version: number | undefined;
  /** Whether a write of this try may still take effect. */
  mayLand: boolean;
  failures: number;
  readyAt: number;
  readonly giveUpAt: number;
};

/** A claim whose call is running on this VM. */
export type HeldClaim = { readonly claim: Claim; readonly version: number };

/** Whole state of the ledger on one VM. */
export type ClaimState = {
  /** Work that waits for a place in a call of the table, oldest first. */
  queue: ClaimJob[];
  readonly inFlight: Map<BatchId, readonly ClaimJob[]>;
  readonly held: Map<string, HeldClaim>;
  nextBatch: BatchId;
};
