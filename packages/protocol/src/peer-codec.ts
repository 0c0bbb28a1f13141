/** Encodes and decodes the messages between entry VMs; decoding validates each frame with a schema. */

import { Packr } from 'msgpackr';
import * as z from 'zod';
import type { PeerMessage } from './peer-messages.js';
import { poolMessageSchemas } from './pool-messages.js';
import { relayMessageSchemas } from './relay-messages.js';
import { RESULT_CODES, type ResultName } from './result-codes.js';
import { ruleDeltaSchema } from './rule-messages.js';

const id = z.string().max(256);
const milliseconds = z.number().finite();
const count = z.number().int().nonnegative();
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
  ...relayMessageSchemas,
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
    crash: z.object({ crashId: id, prompts: z.array(z.array(id)) }).optional(),
    sound: z.array(id),
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
      z.object({ fingerprint: id, crashes: count, lastUpstream: id, expiresAt: milliseconds }),
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
