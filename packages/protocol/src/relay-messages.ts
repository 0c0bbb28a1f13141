/**
 * Messages by which a VM sends to a server by way of a peer, because its own connections to that server do
 * not open. The VM that took the request decides and the peer carries bytes. Each send has a number of the
 * VM that asks for it.
 */

import * as z from 'zod';
import type { UpstreamId } from './ids.js';

const id = z.string().max(256);
const count = z.number().int().nonnegative();
const bytes = z.instanceof(Uint8Array).transform((part) => Buffer.from(part));

const relayedEventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('head'),
    status: count,
    framing: z.enum(['length', 'chunks', 'connection']),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    rawHeaders: z.array(z.string()),
  }),
  z.object({ kind: z.literal('data'), chunk: bytes }),
  z.object({ kind: z.literal('ended') }),
  z.object({ kind: z.literal('failed'), isSent: z.boolean(), reason: z.string() }),
]);

/** Ends of answers that one message tells of. */
export const MAX_TOLD_ENDS = 64;

const answerCutSchema = z.object({
  isBroken: z.boolean(),
  idleMs: z.number(),
  pauseMs: z.number().optional(),
});

/** Schemas of the messages of relayed sends, and of questions about servers. */
export const relayMessageSchemas = [
  z.object({
    kind: z.literal('relay-send'),
    number: count,
    requestId: z.string().optional(),
    upstreamId: id,
    incarnation: z.number(),
    method: z.string(),
    path: z.string(),
    headers: z.array(z.string()),
    body: bytes,
  }),
  z.object({ kind: z.literal('relay-event'), number: count, event: relayedEventSchema }),
  z.object({ kind: z.literal('relay-cancel'), number: count }),
  z.object({ kind: z.literal('relay-flow'), number: count, isPaused: z.boolean() }),
  z.object({ kind: z.literal('path-question'), number: count, upstreamId: id }),
  z.object({
    kind: z.literal('path-answer'),
    number: count,
    answer: z.enum(['opened', 'not-opened', 'unknown']),
  }),
  z.object({ kind: z.literal('end-question'), number: count, address: id, agoMs: z.number() }),
  z.object({
    kind: z.literal('end-answer'),
    number: count,
    isHeard: z.boolean(),
    endedBeside: z.array(answerCutSchema).max(MAX_TOLD_ENDS),
  }),
] as const;

/** What happens to a relayed send; the last event is `ended` or `failed`. */
export type RelayedEvent =
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly framing: 'length' | 'chunks' | 'connection';
      readonly headers: Readonly<Record<string, string | string[]>>;
      readonly rawHeaders: readonly string[];
    }
  | { readonly kind: 'data'; readonly chunk: Buffer }
  | { readonly kind: 'ended' }
  /** `isSent` is false only where no byte of the request left the peer. */
  | { readonly kind: 'failed'; readonly isSent: boolean; readonly reason: string };

/** Whether a connection to a server opened; `unknown` from a VM that may be cut off itself. */
export type PathAnswer = 'opened' | 'not-opened' | 'unknown';

/** How a connection ended on which an answer was still coming. */
export type AnswerCut = {
  /** Whether the answer is known to be incomplete: its connection was reset, or its framing lacks its end. */
  readonly isBroken: boolean;
  /** Time from the last bytes to the end, in milliseconds. */
  readonly idleMs: number;
  /** Mean time between the parts of the answer, in milliseconds; undefined if it had fewer than two. */
  readonly pauseMs?: number | undefined;
};

/** Messages of relayed sends, and questions what a peer knows of a server. */
export type RelayMessage =
  /** Asks a peer to send a request to this start of a server; the peer has its own address for it. */
  | {
      readonly kind: 'relay-send';
      readonly number: number;
      /** Absent if the request has no id. */
      readonly requestId?: string | undefined;
      readonly upstreamId: UpstreamId;
      readonly incarnation: number;
      readonly method: string;
      readonly path: string;
      /** Names and values in turn. */
      readonly headers: readonly string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'relay-event'; readonly number: number; readonly event: RelayedEvent }
  /** Drops a send and its connection. */
  | { readonly kind: 'relay-cancel'; readonly number: number }
  /** Pauses or resumes the reading of an answer. */
  | { readonly kind: 'relay-flow'; readonly number: number; readonly isPaused: boolean }
  | { readonly kind: 'path-question'; readonly number: number; readonly upstreamId: UpstreamId }
  | { readonly kind: 'path-answer'; readonly number: number; readonly answer: PathAnswer }
  /** Asks what the peer's connections to the server at an address tell about a moment in the past. */
  | {
      readonly kind: 'end-question';
      readonly number: number;
      readonly address: string;
      readonly agoMs: number;
    }
  | {
      readonly kind: 'end-answer';
      readonly number: number;
      /** Whether more of an answer came on one of them some time after that moment. */
      readonly isHeard: boolean;
      /** How those ended at that moment that carried an answer. */
      readonly endedBeside: readonly AnswerCut[];
    };
