/** Encodes and decodes the messages between entry VMs; decoding validates each frame with a schema. */

import { Packr } from 'msgpackr';
import * as z from 'zod';
import { loadMessageSchemas } from './load-messages.js';
import type { PeerMessage } from './peer-messages.js';
import { poolMessageSchemas } from './pool-messages.js';
import { quotaMessageSchemas } from './quota-messages.js';
import { relayMessageSchemas } from './relay-messages.js';
import { RESULT_CODES, type ResultName } from './result-codes.js';
import { ruleDeltaSchema } from './rule-messages.js';

const id = z.string().max(256);
const milliseconds = z.number().finite();
const count = z.number().int().nonnegative();
/** A crash is named by its server and the server's start. */
const MAX_CRASH_ID = 300;
const MAX_CRASH_IDS = 16;
const originSchema = z.object({ service: id, softwareVersion: id });

const targetSchema = z.object({
  model: id,
  adapter: id.optional(),
  version: id.optional(),
});

const reservationRequestSchema = z.object({
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
  firstTokenDeadline: milliseconds,
  answerDeadline: milliseconds,
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
  prefillAt: milliseconds,
  startDeadline: milliseconds,
  predictedFirstTokenAt: milliseconds,
  predictedAnswerAt: milliseconds,
});

const stageSchema = z.enum(['prefill', 'import', 'decode']);

const refusalSchema = z.object({
  name: z.enum(Object.keys(RESULT_CODES) as [ResultName, ...ResultName[]]),
  ran: z.enum(['not-run', 'ran', 'unknown']),
  detail: z.string(),
  retryAt: milliseconds.optional(),
});

const peerMessageSchema = z.discriminatedUnion('kind', [
  ...poolMessageSchemas,
  ...loadMessageSchemas,
  ...relayMessageSchemas,
  ...quotaMessageSchemas,
  z.object({
    kind: z.literal('hello'),
    version: count,
    vmId: id,
    incarnation: count,
    dataCentre: id,
    nonce: id,
    accepts: z.array(id).optional(),
  }),
  z.object({ kind: z.literal('proof'), proof: id }),
  z.object({
    kind: z.literal('heartbeat'),
    sentAt: milliseconds,
    isLeaving: z.boolean(),
    rulesRevision: count,
    summaries: z.array(z.object({ shardId: id, owner: id, startAt: z.array(milliseconds) })),
    leaving: z.array(z.object({ upstreamId: id, incarnation: count })),
  }),
  z.object({ kind: z.literal('rules'), revision: count, text: z.string() }),
  z.object({ kind: z.literal('rules-deltas'), deltas: z.array(ruleDeltaSchema) }),
  z.object({ kind: z.literal('rules-wanted'), afterRevision: count }),
  z.object({ kind: z.literal('ask'), shardId: id, ask: reservationRequestSchema }),
  z.object({ kind: z.literal('grant'), shardId: id, grant: grantSchema }),
  z.object({
    kind: z.literal('refuse'),
    requestId: id,
    attemptId: id,
    refusal: refusalSchema,
  }),
  z.object({ kind: z.literal('queued'), attemptId: id }),
  z.object({ kind: z.literal('withdraw'), shardId: id, attemptId: id }),
  z.object({
    kind: z.literal('progress'),
    shardId: id,
    items: z.array(
      z.object({
        reservationId: id,
        attemptId: id,
        upstreamId: id,
        stage: stageSchema,
        tokens: count,
        movedAt: milliseconds,
      }),
    ),
  }),
  z.object({
    kind: z.literal('end'),
    shardId: id,
    items: z.array(
      z.object({
        reservationId: id,
        attemptId: id,
        outcome: z.enum(['answered', 'cancelled', 'prefill-failed', 'decode-failed', 'unused']),
        prefillMs: milliseconds.optional(),
        cachedTokens: count.optional(),
        importMs: milliseconds.optional(),
        decodeMs: milliseconds.optional(),
        tokens: count,
      }),
    ),
  }),
  z.object({
    kind: z.literal('held'),
    shardId: id,
    items: z.array(
      z.object({
        grant: grantSchema,
        ask: reservationRequestSchema,
        stage: stageSchema,
        tokens: count,
      }),
    ),
  }),
  z.object({
    kind: z.literal('prompt-parts'),
    isRelayed: z.boolean().optional(),
    scope: id.optional(),
    crash: z.object({ crashId: id, prompts: z.array(z.array(id)) }).optional(),
    sound: z.array(id),
    isEarlier: z.boolean().optional(),
    soundBefore: z.array(id).optional(),
    quarantined: z.array(z.object({ parts: z.array(id).min(1), endsInMs: milliseconds })),
  }),
  z.object({
    kind: z.literal('upstreams-leaving'),
    isRelayed: z.boolean().optional(),
    items: z.array(z.object({ upstreamId: id, incarnation: z.number().int() })),
  }),
  z.object({
    kind: z.literal('upstream-limits'),
    isRelayed: z.boolean().optional(),
    items: z.array(
      z.object({
        upstreamId: id,
        incarnation: z.number().int(),
        requestsPerSecond: z.number().nonnegative().optional(),
        sentAgoMs: milliseconds,
        heardAgoMs: milliseconds,
      }),
    ),
  }),
  z.object({
    kind: z.literal('stream-origins'),
    items: z.array(
      z.object({
        streamId: id,
        contentKey: id,
        service: id,
        softwareVersion: id,
        endsInMs: milliseconds,
      }),
    ),
  }),
  z.object({
    kind: z.literal('stream-origin-request'),
    number: id,
    streamId: id.optional(),
    contentKey: id,
    services: z.array(id),
  }),
  z.object({
    kind: z.literal('stream-origins-untold'),
    service: id,
    anyEndsInMs: milliseconds.optional(),
    items: z.array(z.object({ softwareVersion: id, endsInMs: milliseconds })),
  }),
  z.object({
    kind: z.literal('stream-origin-answer'),
    number: id,
    known: z.array(originSchema).default([]),
    untold: z.array(originSchema).optional(),
    used: z.array(originSchema).optional(),
  }),
  z.object({ kind: z.literal('request-started'), requestKey: id }),
  z.object({ kind: z.literal('request-ended'), requestKey: id }),
  z.object({ kind: z.literal('request-verdict'), requestKey: id, isFirst: z.boolean() }),
  z.object({
    kind: z.literal('suspects'),
    isRelayed: z.boolean().optional(),
    items: z.array(
      z.object({
        fingerprint: id,
        scope: id.optional(),
        crashes: count,
        lastUpstream: id,
        expiresAt: milliseconds,
        crashIds: z.array(z.string().max(MAX_CRASH_ID)).max(MAX_CRASH_IDS).optional(),
        isSound: z.boolean().optional(),
      }),
    ),
  }),
]);

const packr = new Packr({ useRecords: false });

/** Encodes a message as one frame. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return packr.pack(message);
}

/** Kinds of messages that this version decodes. */
export const ACCEPTED_KINDS: readonly string[] = peerMessageSchema.options.map(
  ({ shape }) => shape.kind.value,
);
const acceptedKinds = new Set(ACCEPTED_KINDS);

/**
 * Kinds that came after versions had begun to tell which ones they accept. A peer that does not tell
 * does not know them; it knows all others.
 */
const LATER_KINDS: ReadonlySet<string> = new Set([
  'pool-ask-again',
  'quota-use',
  'quota-levels',
  'load-report',
  'load-summary',
  'end-question',
  'end-answer',
]);

/** Whether a peer that accepts these kinds decodes a message; `accepts` is absent in older versions. */
export function isAccepted({ kind }: PeerMessage, accepts: readonly string[] | undefined): boolean {
  return accepts === undefined ? !LATER_KINDS.has(kind) : accepts.includes(kind);
}

/** What one frame holds. */
export type DecodedFrame =
  | { readonly kind: 'message'; readonly message: PeerMessage }
  /** A message of a kind that only other versions know. */
  | { readonly kind: 'unknown'; readonly name: string }
  | { readonly kind: 'malformed' };

const kindSchema = z.object({ kind: id });

/** Decodes one frame. */
export function decodePeerFrame(frame: Buffer): DecodedFrame {
  try {
    const value: unknown = packr.unpack(frame);
    const parsed = peerMessageSchema.safeParse(value);
    if (parsed.success) return { kind: 'message', message: parsed.data as unknown as PeerMessage };
    const named = kindSchema.safeParse(value);
    if (!named.success || acceptedKinds.has(named.data.kind)) return { kind: 'malformed' };
    return { kind: 'unknown', name: named.data.kind };
  } catch {
    return { kind: 'malformed' };
  }
}

/** Decodes the message of one frame; undefined if there is none that this version knows. */
export function decodePeerMessage(frame: Buffer): PeerMessage | undefined {
  const decoded = decodePeerFrame(frame);
  return decoded.kind === 'message' ? decoded.message : undefined;
}
