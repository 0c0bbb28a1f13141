/** Types shared by the quarantine, its store and its users. */

import type { DuplicateVerdict, QuarantineEvent, QuarantineState } from '@tarragonspool/core';
import type { Fingerprint, Refusal, RequestId, SuspectRecord, VmId } from '@tarragonspool/protocol';
import type { Channel } from '../tasks/tasks.js';

/** Answer to a content request: run, or a refusal. */
export type ContentVerdict =
  { readonly kind: 'run' } | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** Request for a verdict on whether a request's content may run. */
export type ContentRequest = {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
  /** Time until which the request waits for a verdict, in milliseconds since the epoch. */
  readonly deadline: number;
  readonly onVerdict: (verdict: ContentVerdict) => void;
};

/** Message to the quarantine task. */
export type QuarantineMessage =
  | { readonly kind: 'event'; readonly event: QuarantineEvent }
  | { readonly kind: 'ask'; readonly ask: ContentRequest }
  | { readonly kind: 'request-ended'; readonly requestId: RequestId }
  | { readonly kind: 'gate-answered'; readonly verdict: DuplicateVerdict }
  | { readonly kind: 'link-opened'; readonly vmId: VmId };

/** Quarantine of one VM, as requests use it. */
export type Quarantine = {
  readonly state: QuarantineState;
  readonly inbox: Channel<QuarantineMessage>;
  /** Contents of broken orders whose failure event the task has not handled yet. */
  readonly pendingFailures: Set<Fingerprint>;
  /** Requests whose content was not clear; the task is notified when they end. */
  readonly trackedRequests: Set<RequestId>;
};

/** Writes records in the background. */
export type SuspectStore = {
  readonly put: (record: SuspectRecord) => void;
  readonly remove: (fingerprint: Fingerprint) => void;
};
