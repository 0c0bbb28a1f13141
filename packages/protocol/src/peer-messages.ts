/**
 * Messages between entry VMs. Each is one msgpack frame over a WebSocket link. Times are
 * milliseconds since the epoch, except in `PoolMessage`, which sends durations. `ask`, `grant` and
 * the messages after them are exchanged with the allocator of a shard; the gateway sends
 * `PoolMessage` to the owner of a pool instead.
 */

import type {
  AttemptId,
  CallerId,
  ContentKey,
  DataCentre,
  Fingerprint,
  Incarnation,
  PrefixHash,
  PromptPartId,
  QuarantineScope,
  RequestId,
  ReservationId,
  RuleRevision,
  ServiceName,
  ShardId,
  SoftwareVersion,
  StreamId,
  UpstreamId,
  VmId,
} from './ids.js';
import type { ModelTarget } from './engine-messages.js';
import type { LoadMessage } from './load-messages.js';
import type { PermitMessage, PoolMessage, RowsMessage } from './pool-messages.js';
import type { QuotaMessage } from './quota-messages.js';
import type { RelayMessage } from './relay-messages.js';
import type { RuleDelta } from './rule-messages.js';
import type { Refusal } from './result-codes.js';

/**
 * Version of the protocol between entry VMs. Raised only where two versions can't share a link: new
 * kinds are told in `accepts`, new fields are optional.
 */
export const PEER_PROTOCOL_VERSION = 1;
/** Largest frame that a peer may send, in bytes. */
export const MAX_PEER_FRAME_BYTES = 8_388_608;

/** Requests slots for one attempt from the allocator, the VM that owns the shard. */
export type ReservationRequest = {
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly target: ModelTarget;
  readonly dataCentre: DataCentre;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixes: readonly PrefixHash[];
  /** 0 to 9, greater first. */
  readonly priority: number;
  readonly firstTokenDeadline: number;
  readonly answerDeadline: number;
  readonly fingerprint: Fingerprint;
  /** Engines that already failed this request. */
  readonly excluded: readonly UpstreamId[];
  /** Engine that has the KV cache of a stalled stream, which resumes without a prefill. */
  readonly resumeFrom?: UpstreamId;
  /** Attempt that keeps running until this one is granted. The allocator then grants or refuses at once. */
  readonly movesFrom?: AttemptId;
};

/** Slots granted to one attempt. */
export type ReservationGrant = {
  readonly reservationId: ReservationId;
  readonly attemptId: AttemptId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  /** Earliest time to order the prefill. */
  readonly prefillAt: number;
  /** When the grant expires unless the prefill has been ordered. */
  readonly startDeadline: number;
  readonly predictedFirstTokenAt: number;
  readonly predictedAnswerAt: number;
};

/** Progress of one attempt since the entry VM's previous message. */
export type AttemptProgress = {
  readonly reservationId: ReservationId;
  readonly attemptId: AttemptId;
  readonly upstreamId: UpstreamId;
  readonly stage: 'prefill' | 'import' | 'decode';
  readonly tokens: number;
  /** When the attempt last made progress. */
  readonly movedAt: number;
};

/** How an attempt ended; the allocator updates its estimates from it. */
export type AttemptEnd = {
  readonly reservationId: ReservationId;
  readonly attemptId: AttemptId;
  readonly outcome: 'answered' | 'cancelled' | 'prefill-failed' | 'decode-failed' | 'unused';
  readonly prefillMs?: number;
  readonly cachedTokens?: number;
  readonly importMs?: number;
  readonly decodeMs?: number;
  readonly tokens: number;
};

/** Load of one shard, sent by its allocator to every peer of the data centre. */
export type ShardSummary = {
  readonly shardId: ShardId;
  readonly owner: VmId;
  /** Predicted time at which a newly queued request would start, by priority 0 to 9. */
  readonly startAt: readonly number[];
};

/** Request content that was there when upstreams crashed. */
export type SuspectRecord = {
  readonly fingerprint: Fingerprint;
  /** Where it holds; absent in older versions, and where contents have no host. */
  readonly scope?: QuarantineScope | undefined;
  /** 0 if it was cleared, 1 for a suspect, 2 and more if it is refused. */
  readonly crashes: number;
  readonly lastUpstream: UpstreamId;
  readonly expiresAt: number;
  /** The crashes, by ids that are the same at all VMs; absent in older versions. */
  readonly crashIds?: readonly string[] | undefined;
  /** Whether the sender knows of an answer to it; absent in older versions. */
  readonly isSound?: boolean | undefined;
};

/** What a VM has learned of parts of prompts. */
export type PromptPartsMessage = {
  readonly kind: 'prompt-parts';
  /** Whether a hub passed the message on; it is not passed on again. */
  readonly isRelayed?: boolean | undefined;
  /** Where the parts belong; absent in older versions. */
  readonly scope?: QuarantineScope | undefined;
  /** Shared parts of prompts that an engine had only begun when it crashed. */
  readonly crash?:
    | {
        readonly crashId: string;
        readonly prompts: readonly (readonly PromptPartId[])[];
      }
    | undefined;
  /** Parts that were suspected and have been answered since. */
  readonly sound: readonly PromptPartId[];
  /** Whether the sound parts were answered at some time before, which clears nothing. */
  readonly isEarlier?: boolean | undefined;
  /**
   * Parts that were answered often, and crashes count against them since; that clears nothing. Absent in older
   * versions, some of which take what is in `sound` for cleared.
   */
  readonly soundBefore?: readonly PromptPartId[] | undefined;
  /** Prompts that have all parts of an entry are refused for this time. */
  readonly quarantined: readonly {
    readonly parts: readonly PromptPartId[];
    readonly endsInMs: number;
  }[];
};

/** A reservation that an entry VM still uses, announced to a shard's new allocator. */
export type HeldReservation = {
  readonly grant: ReservationGrant;
  readonly ask: ReservationRequest;
  readonly stage: AttemptProgress['stage'];
  readonly tokens: number;
};

/** An upstream that is leaving, in this incarnation and older ones. */
export type LeavingUpstream = {
  readonly upstreamId: UpstreamId;
  readonly incarnation: Incarnation;
};

/** Where a stream began. */
export type MessageOrigin = {
  readonly service: ServiceName;
  readonly softwareVersion: SoftwareVersion;
};

/** Messages about where streams began, so that they go on at the same software version only. */
export type OriginMessage =
  /** Tells a home of streams that have events. */
  | {
      readonly kind: 'stream-origins';
      readonly items: readonly {
        readonly streamId: StreamId;
        readonly contentKey: ContentKey;
        readonly service: ServiceName;
        readonly softwareVersion: SoftwareVersion;
        /** Time until the caller can no longer resume the stream. */
        readonly endsInMs: number;
      }[];
    }
  /** Asks a home where a stream began that belongs to one of these services. */
  | {
      readonly kind: 'stream-origin-request';
      readonly number: string;
      /** Absent if the caller does not name the stream. */
      readonly streamId?: StreamId | undefined;
      readonly contentKey: ContentKey;
      readonly services: readonly ServiceName[];
    }
  /** Tells a home what another one was not told of, after all that it knows. */
  | {
      readonly kind: 'stream-origins-untold';
      readonly service: ServiceName;
      /** Time for which streams of any version may be missing; absent if none are. */
      readonly anyEndsInMs?: number | undefined;
      readonly items: readonly {
        readonly softwareVersion: SoftwareVersion;
        readonly endsInMs: number;
      }[];
    }
  | {
      readonly kind: 'stream-origin-answer';
      readonly number: string;
      /** Where the streams that the home knows began: several if the caller names none. */
      readonly known: readonly MessageOrigin[];
      /** Where those may have begun that it was not told of; absent if that may be anywhere. */
      readonly untold?: readonly MessageOrigin[] | undefined;
      /** Where any stream may have begun; absent if that may be anywhere. */
      readonly used?: readonly MessageOrigin[] | undefined;
    };

/** What one answer said of the limit of its server. */
export type UpstreamLimitItem = {
  readonly upstreamId: UpstreamId;
  readonly incarnation: number;
  /** Absent if the limit has ended. */
  readonly requestsPerSecond?: number | undefined;
  /** How long ago the request was sent, and the head of its answer arrived. */
  readonly sentAgoMs: number;
  readonly heardAgoMs: number;
};

/** Any message between entry VMs. */
export type PeerMessage =
  | LoadMessage
  | PoolMessage
  | PermitMessage
  | OriginMessage
  | QuotaMessage
  | RelayMessage
  | RowsMessage
  | {
      readonly kind: 'hello';
      readonly version: number;
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly dataCentre: DataCentre;
      /** Random text chosen by the sender; the other side's proof covers it. */
      readonly nonce: string;
      /** Kinds of messages that the sender decodes; absent in versions that do not tell. */
      readonly accepts?: readonly string[] | undefined;
    }
  | { readonly kind: 'proof'; readonly proof: string }
  | {
      readonly kind: 'heartbeat';
      readonly sentAt: number;
      readonly isLeaving: boolean;
      readonly rulesRevision: RuleRevision;
      readonly summaries: readonly ShardSummary[];
      /** Engines and servers that the sender knows to be leaving. */
      readonly leaving: readonly LeavingUpstream[];
    }
  | { readonly kind: 'rules'; readonly revision: RuleRevision; readonly text: string }
  | { readonly kind: 'rules-deltas'; readonly deltas: readonly RuleDelta[] }
  /** Requests every revision after `afterRevision`; zero requests the whole file. */
  | { readonly kind: 'rules-wanted'; readonly afterRevision: RuleRevision }
  | { readonly kind: 'ask'; readonly shardId: ShardId; readonly ask: ReservationRequest }
  | { readonly kind: 'grant'; readonly shardId: ShardId; readonly grant: ReservationGrant }
  | {
      readonly kind: 'refuse';
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
    }
  /** Notifies an entry VM that its request is queued for a slot. */
  | { readonly kind: 'queued'; readonly attemptId: AttemptId }
  | { readonly kind: 'withdraw'; readonly shardId: ShardId; readonly attemptId: AttemptId }
  | {
      readonly kind: 'progress';
      readonly shardId: ShardId;
      readonly items: readonly AttemptProgress[];
    }
  | { readonly kind: 'end'; readonly shardId: ShardId; readonly items: readonly AttemptEnd[] }
  | { readonly kind: 'held'; readonly shardId: ShardId; readonly items: readonly HeldReservation[] }
  | {
      readonly kind: 'suspects';
      readonly items: readonly SuspectRecord[];
      /** Whether a hub passed the records on; they are not passed on again. */
      readonly isRelayed?: boolean | undefined;
    }
  | PromptPartsMessage
  /** Incarnations of servers that said in an answer that they leave. */
  | {
      readonly kind: 'upstreams-leaving';
      /** Whether a hub passed the message on; it is not passed on again. */
      readonly isRelayed?: boolean | undefined;
      readonly items: readonly { readonly upstreamId: UpstreamId; readonly incarnation: number }[];
    }
  /** What servers said in answers of the requests that they take from all VMs together. */
  | {
      readonly kind: 'upstream-limits';
      /** Whether a hub passed the message on; it is not passed on again. */
      readonly isRelayed?: boolean | undefined;
      readonly items: readonly UpstreamLimitItem[];
    }
  /** Asks the VM that tracks a request key whether this submission is the only one. */
  | { readonly kind: 'request-started'; readonly requestKey: string }
  | { readonly kind: 'request-ended'; readonly requestKey: string }
  | { readonly kind: 'request-verdict'; readonly requestKey: string; readonly isFirst: boolean };
