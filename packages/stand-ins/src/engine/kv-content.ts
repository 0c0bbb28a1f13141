/** What an engine keeps of a request, and the work that it counted. */

import type { AttemptId, HoldOwner, RequestId, UpstreamId } from '@tarragonspool/protocol';

/** Travels with KV cache, so that the importer continues the right answer. */
export type KvContent = {
  readonly tokens: number;
  readonly promptDigest: number;
  /** Whether the first decode step crashes its engine. */
  readonly isDeadly: boolean;
};

/** Work done for one attempt. */
export type AttemptWork = {
  readonly requestId: RequestId;
  readonly upstreamId: UpstreamId;
  /** Milliseconds since the epoch. */
  readonly startedAt: number;
  prefillTokens: number;
  tokens: number;
};

/** Work by attempt, since the engine's start. */
export type WorkLog = {
  readonly attempts: Map<AttemptId, AttemptWork>;
  /** Finds the entry of an attempt, or makes it. */
  readonly find: (owner: HoldOwner) => AttemptWork;
};

/** A prompt with this text crashes the engine that prefills it. */
export const CRASH_PREFILL_TEXT = 'CRASH-PREFILL';
/** A prompt with this text crashes the engine that decodes its first token. */
export const CRASH_DECODE_TEXT = 'CRASH-DECODE';
/** Exit code of an engine that a request crashed. */
export const CRASH_EXIT_CODE = 134;

/** Makes an empty log. */
export function makeWorkLog(upstreamId: UpstreamId): WorkLog {
  const attempts = new Map<AttemptId, AttemptWork>();
  return {
    attempts,
    find: ({ requestId, attemptId }) => {
      const known = attempts.get(attemptId);
      if (known !== undefined) return known;
      const startedAt = Date.now();
      const work = { requestId, upstreamId, startedAt, prefillTokens: 0, tokens: 0 };
      attempts.set(attemptId, work);
      return work;
    },
  };
}
