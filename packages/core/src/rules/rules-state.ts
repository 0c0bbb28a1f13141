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

/** Number of a platform call, by which its result is matched to the state that waits for it. */
export type CallId = number;

/** An operator's edit: the whole new file and the revision that it was based on. */
export type RuleEdit = {
  readonly editId: EditId;
  readonly baseRevision: RuleRevision;
  readonly author: string;
  readonly text: string;
  /** When the edit is refused if it has not been committed. */
  readonly deadline: number;
};

/** Final result of an edit. */
export type EditOutcome =
  | { readonly kind: 'accepted'; readonly revision: RuleRevision }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Phase of the edit in progress: which platform call, or which retry time, it waits for. */
export type EditPhase =
  | { readonly kind: 'waiting'; readonly retryAt: number }
  | { readonly kind: 'reading'; readonly callId: CallId }
  | {
      readonly kind: 'reading-newer-deltas';
      readonly callId: CallId;
      readonly current: RuleRevision;
    }
  | {
      readonly kind: 'storing';
      readonly callId: CallId;
      readonly delta: RuleDelta;
      readonly document: RuleDocument;
      readonly writes: readonly TableWrite[];
      readonly replacedEditId: EditId | undefined;
    }
  | {
      readonly kind: 'committing';
      readonly callId: CallId;
      readonly delta: RuleDelta;
      readonly document: RuleDocument;
      /** Edit whose snapshot is replaced by the snapshot of this edit. */
      readonly replacedEditId: EditId | undefined;
    };

/** The edit in progress. */
export type RunningEdit = {
  readonly edit: RuleEdit;
  phase: EditPhase;
  /** Whether a commit was sent whose result is unknown. */
  isUnsettled: boolean;
};

/** Read in progress that brings the rules up to the revision in the table. */
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
  /** Time until which requests may be admitted under the document. */
  admitUntil: number;
  nextPollAt: number;
  nextRulesRequestAt: number;
  catchUp: CatchUp | undefined;
  running: RunningEdit | undefined;
  /** Call that reads the old delta to delete. */
  cleanupCallId: CallId | undefined;
  readonly waiting: RuleEdit[];
  nextCallId: CallId;
  /** Source of the jitter that spreads the polls of the VMs. */
  readonly random: RandomGenerator;
};

/** Events that rule distribution receives. */
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

/** Effects that the host must carry out for rule distribution. */
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

/** Returns the key of the row that stores the delta to a revision; keys sort by revision. */
export function getDeltaKey(revision: number): string {
  return `rules/deltas/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Returns the key of the row that stores the revision that an edit was committed as. */
export function getEditKey(editId: EditId): string {
  return `rules/edits/${editId}`;
}

/** Returns the key of the object that stores the whole file as of one edit. */
export function getSnapshotKey(editId: EditId): string {
  return `rules/snapshots/${editId}`;
}

/** Takes the next unused number for a platform call. */
export function takeCallId(state: RulesState): CallId {
  state.nextCallId += 1;
  return state.nextCallId;
}
