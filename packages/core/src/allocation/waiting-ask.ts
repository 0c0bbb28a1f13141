/** Works out what an ask needs and when it must start. Times are milliseconds since the epoch. */

import type { ReservationAsk } from '@tarragonspool/protocol';
import { measureOveruse } from './caller-shares.js';
import {
  getRate,
  HOP_MS,
  MIN_SAMPLES,
  OVERHEAD_MS,
  predictAnswerTokens,
  predictImportMs,
  predictPrefillMs,
  predictStepMs,
} from './engine-estimates.js';
import { getPoolSummary } from './pool-summary.js';
import { predictBestCachedTokens } from './prefix-knowledge.js';
import type { ShardState } from './shard-state.js';
import type { WaitingAsk } from './waiting-queue.js';

/** Deadlines beyond this count as equal, so that long ones don't wait for good. */
const RANK_HORIZON_MS = 1_000;
const MAX_FAIR_DELAY_MS = 500;

type Needs = {
  readonly prefillMs: number;
  /** From the start of the prefill to the first token, and to the whole answer. */
  readonly firstTokenMs: number;
  readonly answerMs: number;
  readonly holdMs: number;
};

function predictNeeds(state: ShardState, ask: ReservationAsk, now: number): Needs {
  const { estimates } = state;
  const { takenPlaces, decodeEngines } = getPoolSummary(state, now);
  const cachedTokens = predictBestCachedTokens(state.prefixes, ask.prefixes, ask.promptTokens);
  const isResume = ask.resumeFrom !== undefined;
  const computedTokens = ask.promptTokens - cachedTokens;
  const prefillMs = isResume ? 0 : predictPrefillMs(estimates, computedTokens, now);
  const importMs = predictImportMs(estimates, ask.promptTokens, now);
  const stepMs = predictStepMs(estimates, 1 + takenPlaces / Math.max(1, decodeEngines));
  const decodeMs = predictAnswerTokens(estimates, ask.maxTokens) * stepMs;
  const untilImportMs = HOP_MS + prefillMs + importMs;
  return {
    prefillMs,
    firstTokenMs: untilImportMs + stepMs,
    answerMs: untilImportMs + decodeMs,
    holdMs: importMs + decodeMs,
  };
}

function findLatestStart(state: ShardState, ask: ReservationAsk, needs: Needs): number {
  const { firstTokenMs, answerMs } = needs;
  // What an earlier attempt has done makes the answer worth finishing, even if it is late.
  const isContinued = ask.resumeFrom !== undefined || ask.excluded.length > 0;
  if (isContinued) return ask.answerDeadline - firstTokenMs;
  const safety = 1 + state.objective.safetyShare;
  const firstAt = ask.firstTokenDeadline - firstTokenMs * safety;
  const isAnswerKnown = state.estimates.answer.samples >= MIN_SAMPLES;
  const untilAnswerMs = isAnswerKnown ? answerMs * safety : firstTokenMs;
  return Math.min(firstAt, ask.answerDeadline - untilAnswerMs);
}

/** Time by which a caller beyond its share is put back. */
function findFairDelayMs(state: ShardState, ask: ReservationAsk, now: number): number {
  const overuse = measureOveruse(state.shares, ask.callerId, now);
  const tokensPerMs =
    getRate(state.estimates.prefill, now) * Math.max(1, getPoolSummary(state, now).prefillEngines);
  const delayMs = (Math.max(0, overuse) / tokensPerMs) * state.objective.fairnessWeight;
  return Math.min(MAX_FAIR_DELAY_MS, delayMs);
}

/** Makes the queue entry of an ask. */
export function makeWaiting(state: ShardState, ask: ReservationAsk, now: number): WaitingAsk {
  const needs = predictNeeds(state, ask, now);
  const { prefillEngines, places } = getPoolSummary(state, now);
  const latestStartAt = findLatestStart(state, ask, needs);
  const isResume = ask.resumeFrom !== undefined;
  const leadMs = ask.priority * state.objective.priorityLeadMs;
  const dueAt = Math.min(latestStartAt, now + RANK_HORIZON_MS);
  const { prefillMs, holdMs } = needs;
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return {
    ask,
    sequence,
    arrivedAt: now,
    rankAt: isResume ? 0 : dueAt - leadMs + findFairDelayMs(state, ask, now),
    latestStartAt,
    prefillMs,
    workTokens: Math.max(0, prefillMs - OVERHEAD_MS) * getRate(state.estimates.prefill, now),
    cost: {
      prefillMs: prefillMs / Math.max(1, prefillEngines),
      decodeMs: holdMs / Math.max(1, places),
    },
  };
}
