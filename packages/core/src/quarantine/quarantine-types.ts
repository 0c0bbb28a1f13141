/** Events, actions and state of the quarantine of contents. */

import type { Fingerprint, PromptPartId, SuspectRecord, UpstreamId } from '@tarragonspool/protocol';
import type { BrokenRun, CrashIncidents, ProbedServer } from './crash-incidents.js';

/** Events that the quarantine receives. */
export type QuarantineEvent =
  | ({ readonly kind: 'broken'; readonly now: number } & BrokenRun)
  | {
      readonly kind: 'probed';
      readonly upstreamId: UpstreamId;
      readonly isAlive: boolean;
      readonly now: number;
    }
  /** Records from a peer or the table; zero crashes means that the content was cleared. */
  | { readonly kind: 'heard'; readonly items: readonly SuspectRecord[]; readonly now: number }
  | { readonly kind: 'succeeded'; readonly fingerprint: Fingerprint; readonly now: number }
  | { readonly kind: 'released'; readonly fingerprint: Fingerprint; readonly now: number }
  | { readonly kind: 'ticked'; readonly now: number };

/** Actions that the host must perform. */
export type QuarantineAction =
  | ({ readonly kind: 'probe' } & ProbedServer)
  /** A server crashed before it had sent tokens for these prompts. */
  | {
      readonly kind: 'crashed';
      readonly upstreamId: UpstreamId;
      readonly crashId: string;
      readonly prompts: readonly (readonly PromptPartId[])[];
    }
  | { readonly kind: 'publish'; readonly items: readonly SuspectRecord[] }
  /** A content is refused from now on; `isOwn` if this VM saw one of its crashes. */
  | { readonly kind: 'store'; readonly record: SuspectRecord; readonly isOwn: boolean }
  | { readonly kind: 'remove'; readonly fingerprint: Fingerprint }
  /** A peer suspects a content of which this VM knows an answer; one VM is to tell so. */
  | { readonly kind: 'vouch'; readonly record: SuspectRecord };

/** Whether a content may run. */
export type ContentStatus =
  | { readonly kind: 'clear' }
  /** An order for it failed; whether the server crashed is decided at `until` at the earliest. */
  | { readonly kind: 'in-doubt'; readonly until: number }
  /** It may run while no other suspect runs. */
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined'; readonly expiresAt: number };

/** A content that was at a crash and was not answered since. */
export type Suspect = {
  readonly fingerprint: Fingerprint;
  /** Crashes since its last answer. */
  readonly crashIds: readonly string[];
  readonly lastUpstream: UpstreamId;
  readonly expiresAt: number;
  /** When peers have told what else was at its crashes. */
  readonly judgeAt: number;
  readonly isRefused: boolean;
  /** Whether this VM saw one of its crashes. */
  readonly isOwn: boolean;
};

/** State of the quarantine on one VM. */
export type QuarantineState = {
  readonly suspects: Map<Fingerprint, Suspect>;
  /** Suspects that are to be judged. */
  readonly undecided: Set<Fingerprint>;
  /** Contents that were answered; the oldest are forgotten. */
  readonly sound: Set<Fingerprint>;
  /** Crashes of contents that are refused; they count for no other content. */
  readonly explained: Set<string>;
  readonly incidents: CrashIncidents;
};
