/**
 * Messages between entry VMs about places in a pool of engines. Spans are milliseconds from the
 * moment of sending: the clocks of two VMs do not agree.
 */

import { z } from 'zod';
import type { ServiceName, UpstreamId } from './ids.js';

const id = z.string().max(256);
const span = z.number().finite();
const count = z.number().int().nonnegative();

/** An ask for a place. */
export const poolAskSchema = z.object({
  kind: z.literal('pool-ask'),
  service: id,
  askId: id,
  contentKey: id,
  promptTokens: z.number().nonnegative(),
  outputTokens: z.number().nonnegative(),
  aimInMs: span,
  pauseMs: span,
  patienceInMs: span,
  needsPrefill: z.boolean(),
  isContinued: z.boolean(),
  endsInMs: span.optional(),
  excluded: z.array(id),
});

const runSchema = z.object({
  askId: id,
  promptTokens: z.number().nonnegative(),
  outputTokens: z.number().nonnegative(),
  decode: id,
  prefill: id.optional(),
  pauseMs: span,
  grantedAgoMs: span,
  endsInMs: span,
});

/** Schemas of every message about places. */
export const poolMessageSchemas = [
  poolAskSchema,
  z.object({ kind: z.literal('pool-queued'), askId: id }),
  z.object({
    kind: z.literal('pool-grant'),
    service: id,
    askId: id,
    prefill: id.optional(),
    decode: id,
    endsInMs: span,
  }),
  z.object({
    kind: z.literal('pool-refuse'),
    askId: id,
    reason: z.enum(['no-engine', 'overloaded', 'waited-too-long', 'vm-stops']),
    retryAfterMs: span,
  }),
  z.object({ kind: z.literal('pool-withdraw'), service: id, askId: id }),
  z.object({ kind: z.literal('pool-prefilled'), service: id, askId: id }),
  z.object({ kind: z.literal('pool-end'), service: id, askId: id, didFinish: z.boolean() }),
  z.object({
    kind: z.literal('pool-engine-failed'),
    service: id,
    upstreamId: id,
    failure: z.enum(['full', 'broken', 'silent', 'handle-lost']),
  }),
  z.object({ kind: z.literal('pool-runs'), service: id, runs: z.array(runSchema) }),
  z.object({
    kind: z.literal('pool-engine-ordered'),
    service: id,
    upstreamId: id,
    stage: z.enum(['prefill', 'decode']),
    doneInMs: span,
  }),
  z.object({ kind: z.literal('alive'), isStoreAway: z.boolean() }),
  z.object({ kind: z.literal('rows-wanted'), table: id, afterVersion: count }),
  z.object({
    kind: z.literal('rows-copy'),
    table: id,
    version: count,
    isFull: z.boolean(),
    rows: z.array(
      z.object({ key: id, version: count, value: z.instanceof(Uint8Array).optional() }),
    ),
  }),
] as const;

/**
 * What a VM saw of an engine: it refused for want of room, broke off, sends nothing, or dropped a KV
 * cache before its time.
 */
export type EngineFailure = 'full' | 'broken' | 'silent' | 'handle-lost';

/** One run as a VM announces it to a VM that decides anew. */
export type PoolRunItem = {
  readonly askId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly decode: UpstreamId;
  readonly prefill?: UpstreamId | undefined;
  readonly pauseMs: number;
  readonly grantedAgoMs: number;
  readonly endsInMs: number;
};

/** Everything that VMs say about places. */
export type PoolMessage =
  | {
      readonly kind: 'pool-ask';
      readonly service: ServiceName;
      readonly askId: string;
      readonly contentKey: string;
      readonly promptTokens: number;
      readonly outputTokens: number;
      readonly aimInMs: number;
      readonly pauseMs: number;
      readonly patienceInMs: number;
      readonly needsPrefill: boolean;
      readonly isContinued: boolean;
      /** When the asking VM stops; absent while it goes on. */
      readonly endsInMs?: number | undefined;
      readonly excluded: readonly UpstreamId[];
    }
  /** The ask was heard and waits. */
  | { readonly kind: 'pool-queued'; readonly askId: string }
  | {
      readonly kind: 'pool-grant';
      readonly service: ServiceName;
      readonly askId: string;
      readonly prefill?: UpstreamId | undefined;
      readonly decode: UpstreamId;
      readonly endsInMs: number;
    }
  | {
      readonly kind: 'pool-refuse';
      readonly askId: string;
      readonly reason: 'no-engine' | 'overloaded' | 'waited-too-long' | 'vm-stops' | 'vm-stops';
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'pool-withdraw'; readonly service: ServiceName; readonly askId: string }
  | { readonly kind: 'pool-prefilled'; readonly service: ServiceName; readonly askId: string }
  | {
      readonly kind: 'pool-end';
      readonly service: ServiceName;
      readonly askId: string;
      readonly didFinish: boolean;
    }
  | {
      readonly kind: 'pool-engine-failed';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly failure: EngineFailure;
    }
  | {
      readonly kind: 'pool-runs';
      readonly service: ServiceName;
      readonly runs: readonly PoolRunItem[];
    }
  /** An engine was told to change its stage. */
  | {
      readonly kind: 'pool-engine-ordered';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly stage: 'prefill' | 'decode';
      readonly doneInMs: number;
    }
  /** Says that the sender is alive, and whether the store answers it. */
  | { readonly kind: 'alive'; readonly isStoreAway: boolean };

/** Rows of the store that one VM passes to another. */
export type RowsMessage =
  /** Asks for rows newer than a version. */
  | { readonly kind: 'rows-wanted'; readonly table: string; readonly afterVersion: number }
  | {
      readonly kind: 'rows-copy';
      readonly table: string;
      readonly version: number;
      /** Whether keys that are not listed do not exist. */
      readonly isFull: boolean;
      readonly rows: readonly {
        readonly key: string;
        readonly version: number;
        /** No value means that the row was removed. */
        readonly value?: Uint8Array | undefined;
      }[];
    };
