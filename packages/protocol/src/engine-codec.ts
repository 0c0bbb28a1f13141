/** Parses responses of engines; each parser returns undefined for a malformed response. */

import * as z from 'zod';
import type { CacheEvent, EngineHold, LoadReport, PrefillResult } from './engine-messages.js';

const id = z.string().max(256);
const count = z.number().int().nonnegative();
const targetSchema = z.object({ model: id, adapter: id.optional(), version: id.optional() });

const prefillResultSchema = z.object({
  promptTokens: count,
  cachedTokens: count,
  kvBytes: z.number().nonnegative(),
});

const loadReportSchema = z.object({
  role: z.enum(['prefill', 'decode']),
  queuedPrefillTokens: z.number().nonnegative(),
  decodeStreams: count,
  decodePlaces: count,
  freePieces: z.number(),
  totalPieces: count,
  loadedTargets: z.array(targetSchema),
  fencingNumber: z.number(),
  measuredAt: z.number(),
});

const holdsSchema = z.array(
  z.object({
    owner: z.object({
      requestId: id,
      attemptId: id,
      vmId: id,
      incarnation: count,
      deadline: z.number(),
    }),
    kind: z.enum(['prefill', 'kv', 'decode']),
    pieces: z.number().nonnegative(),
  }),
);

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({ sequence: count, kind: z.enum(['stored', 'evicted']), prefixes: z.array(id) }),
  ),
  latest: z.number().int(),
});

/** Cache events after a sequence number, and the number of the latest event available. */
export type CacheEventList = {
  readonly events: readonly CacheEvent[];
  readonly latest: number;
};

function parseWith<T>(schema: z.ZodType, value: unknown): T | undefined {
  const parsed = schema.safeParse(value);
  return parsed.success ? (parsed.data as T) : undefined;
}

/** Parses the result of a prefill. */
export function parsePrefillResult(value: unknown): PrefillResult | undefined {
  return parseWith<PrefillResult>(prefillResultSchema, value);
}

/** Parses a load report. */
export function parseLoadReport(value: unknown): LoadReport | undefined {
  return parseWith<LoadReport>(loadReportSchema, value);
}

/** Parses the list of memory holds on an engine. */
export function parseEngineHolds(value: unknown): readonly EngineHold[] | undefined {
  return parseWith<EngineHold[]>(holdsSchema, value);
}

/** Parses a list of cache events. */
export function parseCacheEvents(value: unknown): CacheEventList | undefined {
  return parseWith<CacheEventList>(cacheEventsSchema, value);
}
