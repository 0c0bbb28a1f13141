/** What the quarantine, its store and its users share. */

import type { DuplicateVerdict, QuarantineEvent, QuarantineState } from '@tarragonspool/core';
import type { Fingerprint, Refusal, RequestId, SuspectRecord, VmId } from '@tarragonspool/protocol';
import type { Channel } from '../tasks/tasks.js';

/** What a request hears: run, or a refusal. */
export type ContentVerdict =
  { readonly kind: 'run' } | { readonly kind: 'refuse'; readonly refusal: Refusal };

/** A request whose content is not clear. */
export type ContentAsk = {
  readonly requestId: RequestId;
  readonly fingerprint: Fingerprint;
  /** When to stop waiting, in milliseconds since the epoch. */
  readonly deadline: number;
  readonly onVerdict: (verdict: ContentVerdict) => void;
};

/** What the quarantine task receives. */
export type QuarantineMessage =
  | { readonly kind: 'event'; readonly event: QuarantineEvent }
  | { readonly kind: 'ask'; readonly ask: ContentAsk }
  | { readonly kind: 'request-ended'; readonly requestId: RequestId }
  | { readonly kind: 'gate-answered'; readonly verdict: DuplicateVerdict }
  | { readonly kind: 'link-opened'; readonly vmId: VmId };

/** Quarantine as requests use it. */
export type Quarantine = {
  readonly state: QuarantineState;
  readonly inbox: Channel<QuarantineMessage>;
  /** Contents of orders that broke off, until the task has heard of it. */
  readonly doubted: Set<Fingerprint>;
  /** Requests whose content was not clear when they asked. */
  readonly asked: Set<RequestId>;
};

/** Writes records in the background. */
export type SuspectStore = {
  readonly put: (record: SuspectRecord) => void;
  readonly remove: (fingerprint: Fingerprint) => void;
};
