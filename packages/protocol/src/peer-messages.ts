/**
 * Messages between entry VMs. Each is one msgpack frame over a WebSocket link. Times are
 * milliseconds since the epoch.
 */

import { Packr } from 'msgpackr';
import { z } from 'zod';
import type {
  AttemptId,
  CallerId,
  DataCentre,
  Fingerprint,
  Incarnation,
  PrefixHash,
  RequestId,
  ReservationId,
  RuleRevision,
  ServiceName,
  ShardId,
  UpstreamId,
  VmId,
} from './ids.js';
import type { ModelTarget } from './engine-messages.js';
import { ruleDeltaSchema, type RuleDelta } from './rule-messages.js';
import { RESULT_CODES, type Refusal, type ResultName } from './result-codes.js';

/** Version of the protocol between entry VMs. */
export const PEER_PROTOCOL_VERSION = 1;
/** Largest frame that a peer may send, in bytes. */
export const MAX_PEER_FRAME_BYTES = 8_388_608;

/** Asks an allocator for places for one attempt. */
export type ReservationAsk = {
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
  /** Engine that holds the KV cache of a stalled stream; a resume needs no prefill. */
  readonly resumeFrom?: UpstreamId;
  /** Attempt that goes on until this one is granted; answered at once, never queued. */
  readonly movesFrom?: AttemptId;
};

/** Places granted to one attempt. */
export type ReservationGrant = {
  readonly reservationId: ReservationId;
  readonly attemptId: AttemptId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  /** Earliest time to order the prefill. */
  readonly prefillAt: number;
  /** When the grant lapses unless the prefill has been ordered. */
  readonly startDeadline: number;
  readonly predictedFirstTokenAt: number;
  readonly predictedAnswerAt: number;
};

/** What an entry VM saw of one attempt since its last message. */
export type AttemptProgress = {
  readonly reservationId: ReservationId;
  readonly attemptId: AttemptId;
  readonly upstreamId: UpstreamId;
  readonly stage: 'prefill' | 'import' | 'decode';
  readonly tokens: number;
  /** When the stage last moved. */
  readonly movedAt: number;
};

/** How an attempt ended, for the allocator's estimates. */
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
  /** Predicted wait until a first start, by priority 0 to 9. */
  readonly startAt: readonly number[];
};

/** A request content seen to crash an upstream. */
export type SuspectRecord = {
  readonly fingerprint: Fingerprint;
  readonly crashes: number;
  readonly lastUpstream: UpstreamId;
  readonly expiresAt: number;
};

/** One reservation that an entry VM still uses, sent to a new allocator. */
export type HeldReservation = {
  readonly grant: ReservationGrant;
  readonly ask: ReservationAsk;
  readonly stage: AttemptProgress['stage'];
  readonly tokens: number;
};

/** An upstream that is leaving; the mark holds for this incarnation and older ones. */
export type LeavingUpstream = {
  readonly upstreamId: UpstreamId;
  readonly incarnation: Incarnation;
};

/** Everything that entry VMs say to each other. */
export type PeerMessage =
  | {
      readonly kind: 'hello';
      readonly version: number;
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly dataCentre: DataCentre;
      /** Random text chosen by the sender; the other side's proof covers it. */
      readonly nonce: string;
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
  /** Asks for every revision after the one named; zero asks for the whole file. */
  | { readonly kind: 'rules-wanted'; readonly afterRevision: RuleRevision }
  | { readonly kind: 'ask'; readonly shardId: ShardId; readonly ask: ReservationAsk }
  | { readonly kind: 'grant'; readonly requestId: RequestId; readonly grant: ReservationGrant }
  | {
      readonly kind: 'refuse';
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
    }
  | { readonly kind: 'progress'; readonly items: readonly AttemptProgress[] }
  | { readonly kind: 'end'; readonly items: readonly AttemptEnd[] }
  | { readonly kind: 'held'; readonly shardId: ShardId; readonly items: readonly HeldReservation[] }
  | { readonly kind: 'suspects'; readonly items: readonly SuspectRecord[] };

const id = z.string().max(256);
const time = z.number().finite();
const count = z.number().int().nonnegative();

const targetSchema = z.object({
  model: id,
  adapter: id.optional(),
  version: id.optional(),
});

const askSchema = z.object({
  requestId: id,
  attemptId: id,
  vmId: id,
  incarnation: count,
  callerId: id,
  service: id,
  target: targetSchema,
  dataCentre: id,
  promptTokens: count,
  maxTokens: count,
  prefixes: z.array(id),
  priority: count,
  firstTokenDeadline: time,
  answerDeadline: time,
  fingerprint: id,
  excluded: z.array(id),
  resumeFrom: id.optional(),
  movesFrom: id.optional(),
});

const grantSchema = z.object({
  reservationId: id,
  attemptId: id,
  prefill: id,
  decode: id,
  prefillAt: time,
  startDeadline: time,
  predictedFirstTokenAt: time,
  predictedAnswerAt: time,
});

const stageSchema = z.enum(['prefill', 'import', 'decode']);

const refusalSchema = z.object({
  name: z.enum(Object.keys(RESULT_CODES) as [ResultName, ...ResultName[]]),
  ran: z.enum(['not-run', 'ran', 'unknown']),
  detail: z.string(),
  retryAt: time.optional(),
});

const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    version: count,
    vmId: id,
    incarnation: count,
    dataCentre: id,
    nonce: id,
  }),
  z.object({ kind: z.literal('proof'), proof: id }),
  z.object({
    kind: z.literal('heartbeat'),
    sentAt: time,
    isLeaving: z.boolean(),
    rulesRevision: count,
    summaries: z.array(z.object({ shardId: id, owner: id, startAt: z.array(time) })),
    leaving: z.array(z.object({ upstreamId: id, incarnation: count })),
  }),
  z.object({ kind: z.literal('rules'), revision: count, text: z.string() }),
  z.object({ kind: z.literal('rules-deltas'), deltas: z.array(ruleDeltaSchema) }),
  z.object({ kind: z.literal('rules-wanted'), afterRevision: count }),
  z.object({ kind: z.literal('ask'), shardId: id, ask: askSchema }),
  z.object({ kind: z.literal('grant'), requestId: id, grant: grantSchema }),
  z.object({
    kind: z.literal('refuse'),
    requestId: id,
    attemptId: id,
    refusal: refusalSchema,
  }),
  z.object({
    kind: z.literal('progress'),
    items: z.array(
      z.object({
        reservationId: id,
        attemptId: id,
        upstreamId: id,
        stage: stageSchema,
        tokens: count,
        movedAt: time,
      }),
    ),
  }),
  z.object({
    kind: z.literal('end'),
    items: z.array(
      z.object({
        reservationId: id,
        attemptId: id,
        outcome: z.enum(['answered', 'cancelled', 'prefill-failed', 'decode-failed', 'unused']),
        prefillMs: time.optional(),
        cachedTokens: count.optional(),
        importMs: time.optional(),
        decodeMs: time.optional(),
        tokens: count,
      }),
    ),
  }),
  z.object({
    kind: z.literal('held'),
    shardId: id,
    items: z.array(
      z.object({ grant: grantSchema, ask: askSchema, stage: stageSchema, tokens: count }),
    ),
  }),
  z.object({
    kind: z.literal('suspects'),
    items: z.array(
      z.object({ fingerprint: id, crashes: count, lastUpstream: id, expiresAt: time }),
    ),
  }),
]);

const packr = new Packr({ useRecords: false });

/** Encodes a message as one frame. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return packr.pack(message);
}

/** Decodes one frame; undefined if it is malformed. */
export function decodePeerMessage(frame: Buffer): PeerMessage | undefined {
  try {
    const parsed = peerMessageSchema.safeParse(packr.unpack(frame));
    return parsed.success ? (parsed.data as unknown as PeerMessage) : undefined;
  } catch {
    return undefined;
  }
}
