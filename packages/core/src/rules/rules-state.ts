/** State, events and actions of rule distribution on one VM. Times are epoch milliseconds. */

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type {
  EditId,
  ReadResult,
  Refusal,
  RuleDelta,
  RuleRevision,
  TableWrite,
  TransactResult,
  VmId,
} from '@tarragonspool/protocol';
import type { RuleDocument } from './rule-document.js';

/** Numbers the calls of the platform that this machine has under way. */
export type CallId = number;

/** An operator's edit: the whole new file and the revision that it was based on. */
export type RuleEdit = {
  readonly editId: EditId;
  readonly baseRevision: RuleRevision;
  readonly author: string;
  readonly text: string;
  /** When to stop trying. */
  readonly deadline: number;
};

/** What became of an edit. */
export type EditOutcome =
  | { readonly kind: 'accepted'; readonly revision: RuleRevision }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Where the edit under way stands. */
export type EditPhase =
  | { readonly kind: 'waiting'; readonly retryAt: number }
  | { readonly kind: 'reading'; readonly callId: CallId }
  | { readonly kind: 'explaining'; readonly callId: CallId; readonly current: RuleRevision }
  | {
      readonly kind: 'storing';
      readonly callId: CallId;
      readonly delta: RuleDelta;
      readonly document: RuleDocument;
      readonly writes: readonly TableWrite[];
      readonly replaced: EditId | undefined;
    }
  | {
      readonly kind: 'committing';
      readonly callId: CallId;
      readonly delta: RuleDelta;
      readonly document: RuleDocument;
      /** Edit whose snapshot this one replaces. */
      readonly replaced: EditId | undefined;
    };

/** The edit under way. */
export type RunningEdit = {
  readonly edit: RuleEdit;
  phase: EditPhase;
  /** Whether a commit was sent whose effect is not known. */
  isUnsettled: boolean;
};

/** What the machine reads to catch up with the revision in the table. */
export type CatchUp =
  | { readonly kind: 'current'; readonly callId: CallId; readonly deadline: number }
  | { readonly kind: 'deltas'; readonly callId: CallId; readonly deadline: number }
  | {
      readonly kind: 'snapshot';
      readonly callId: CallId;
      readonly deadline: number;
      readonly revision: RuleRevision;
      readonly checksum: string;
    };

/** Whole state of rule distribution on one VM. */
export type RulesState = {
  document: RuleDocument | undefined;
  /** Latest deltas, contiguous up to the document's revision. */
  recentDeltas: RuleDelta[];
  /** Until when requests may be admitted under the document. */
  admitUntil: number;
  nextPollAt: number;
  nextWantedAt: number;
  catchUp: CatchUp | undefined;
  running: RunningEdit | undefined;
  /** Read that looks for a delta to delete. */
  cleanupCallId: CallId | undefined;
  readonly waiting: RuleEdit[];
  nextCallId: CallId;
  /** Spreads polls. */
  readonly random: RandomGenerator;
};

/** What rule distribution hears. */
export type RulesEvent =
  | { readonly kind: 'ticked'; readonly now: number }
  | {
      readonly kind: 'rows-read';
      readonly callId: CallId;
      readonly result: ReadResult;
      readonly now: number;
    }
  | {
      readonly kind: 'object-read';
      readonly callId: CallId;
      readonly text: string | undefined;
      readonly now: number;
    }
  | {
      readonly kind: 'object-put';
      readonly callId: CallId;
      readonly isStored: boolean;
      readonly now: number;
    }
  | {
      readonly kind: 'transacted';
      readonly callId: CallId;
      readonly result: TransactResult;
      readonly now: number;
    }
  | {
      readonly kind: 'peer-revision';
      readonly vmId: VmId;
      readonly revision: RuleRevision;
      readonly now: number;
    }
  | { readonly kind: 'peer-deltas'; readonly deltas: readonly RuleDelta[]; readonly now: number }
  | {
      readonly kind: 'peer-file';
      readonly revision: RuleRevision;
      readonly text: string;
      readonly now: number;
    }
  | {
      readonly kind: 'peer-wants';
      readonly vmId: VmId;
      readonly afterRevision: RuleRevision;
      readonly now: number;
    }
  | { readonly kind: 'edit-requested'; readonly edit: RuleEdit; readonly now: number };

/** What the host must do for rule distribution. */
export type RulesAction =
  | { readonly kind: 'read-rows'; readonly callId: CallId; readonly keys: readonly string[] }
  | { readonly kind: 'read-object'; readonly callId: CallId; readonly key: string }
  | {
      readonly kind: 'put-object';
      readonly callId: CallId;
      readonly key: string;
      readonly text: string;
    }
  | { readonly kind: 'transact'; readonly callId: CallId; readonly writes: readonly TableWrite[] }
  | { readonly kind: 'delete-object'; readonly key: string }
  /** Replaces the rules in force. */
  | { readonly kind: 'put-in-force'; readonly document: RuleDocument }
  | { readonly kind: 'broadcast-deltas'; readonly deltas: readonly RuleDelta[] }
  | { readonly kind: 'broadcast-file'; readonly document: RuleDocument }
  | { readonly kind: 'send-deltas'; readonly vmId: VmId; readonly deltas: readonly RuleDelta[] }
  | { readonly kind: 'send-file'; readonly vmId: VmId; readonly document: RuleDocument }
  | { readonly kind: 'want-rules'; readonly vmId: VmId; readonly afterRevision: RuleRevision }
  | { readonly kind: 'answer-edit'; readonly editId: EditId; readonly outcome: EditOutcome }
  | {
      readonly kind: 'report-violation';
      readonly invariant: 'rules-never-revert';
      readonly detail: string;
    };

/** Key of the row that names the revision in force. */
export const RULES_CURRENT_KEY = 'rules/current';
const REVISION_DIGITS = 12;

/** Key of the row that keeps the delta to a revision; keys sort by revision. */
export function getDeltaKey(revision: number): string {
  return `rules/deltas/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Key of the row that says which revision an edit became. */
export function getEditKey(editId: EditId): string {
  return `rules/edits/${editId}`;
}

/** Key of the object that keeps the whole file as one edit left it. */
export function getSnapshotKey(editId: EditId): string {
  return `rules/snapshots/${editId}`;
}

/** Takes the next number for a call of the platform. */
export function takeCallId(state: RulesState): CallId {
  state.nextCallId += 1;
  return state.nextCallId;
}
