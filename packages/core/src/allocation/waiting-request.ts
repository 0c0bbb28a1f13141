/** Predicts what a request needs and when it must start. Times are milliseconds since the epoch. */

import type { ReservationRequest } from '@tarragonspool/protocol';
import { measureOveruse } from '../shares/usage-shares.js';
import {
  DISPATCH_MS,
  FIXED_OVERHEAD_MS,
  getRate,
  MIN_SAMPLES_TO_REFUSE,
  predictAnswerTokens,
  predictImportMs,
  predictPrefillMs,
  predictStepMs,
} from './engine-estimates.js';
import { getPoolSummary } from './pool-summary.js';
import { predictBestCachedTokens } from './prefix-index.js';
import type { ShardState } from './shard-state.js';
import type { WaitingRequest } from './waiting-queue.js';

/**
 * Latest starts beyond this rank as equal, so that requests with long deadlines do not wait
 * forever.
 */
const RANK_HORIZON_MS = 1_000;
const MAX_FAIRNESS_DELAY_MS = 500;

type PredictedNeeds = {
  readonly prefillMs: number;
  /** From the start of the prefill to the first token, and to the whole answer. */
  readonly firstTokenMs: number;
  readonly answerMs: number;
  readonly slotOccupancyMs: number;
};

function predictNeeds(state: ShardState, request: ReservationRequest, now: number): PredictedNeeds {
  const { estimates } = state;
  const { takenSlots, decodeEngines } = getPoolSummary(state, now);
  const cachedTokens = predictBestCachedTokens(
    state.prefixes,
    request.prefixes,
    request.promptTokens,
  );
  const isResume = request.resumeFrom !== undefined;
  const computedTokens = request.promptTokens - cachedTokens;
  const prefillMs = isResume ? 0 : predictPrefillMs(estimates, computedTokens, now);
  const importMs = predictImportMs(estimates, request.promptTokens, now);
  const stepMs = predictStepMs(estimates, 1 + takenSlots / Math.max(1, decodeEngines));
  const decodeMs = predictAnswerTokens(estimates, request.maxTokens) * stepMs;
  const untilImportMs = DISPATCH_MS + prefillMs + importMs;
  return {
    prefillMs,
    firstTokenMs: untilImportMs + stepMs,
    answerMs: untilImportMs + decodeMs,
    slotOccupancyMs: importMs + decodeMs,
  };
}

function findLatestStart(
  state: ShardState,
  request: ReservationRequest,
  needs: PredictedNeeds,
): number {
  const { firstTokenMs, answerMs } = needs;
  // The work of an earlier attempt makes the answer worth finishing even if it misses its target.
  const isContinued = request.resumeFrom !== undefined || request.excluded.length > 0;
  if (isContinued) return request.answerDeadline - firstTokenMs;
  const marginFactor = 1 + state.objective.safetyMarginShare;
  const latestForFirstTokenAt = request.firstTokenDeadline - firstTokenMs * marginFactor;
  const isAnswerKnown = state.estimates.answer.samples >= MIN_SAMPLES_TO_REFUSE;
  const untilAnswerMs = isAnswerKnown ? answerMs * marginFactor : firstTokenMs;
  return Math.min(latestForFirstTokenAt, request.answerDeadline - untilAnswerMs);
}

/** Returns the time (ms) by which requests of a caller above its share are delayed in the queue. */
function findFairnessDelayMs(state: ShardState, request: ReservationRequest, now: number): number {
  const overuse = measureOveruse(state.shares, request.callerId, now);
  const tokensPerMs =
    getRate(state.estimates.prefill, now) * Math.max(1, getPoolSummary(state, now).prefillEngines);
  const delayMs = (Math.max(0, overuse) / tokensPerMs) * state.objective.fairnessWeight;
  return Math.min(MAX_FAIRNESS_DELAY_MS, delayMs);
}

/** Makes the queue entry of a request. */
export function makeWaitingRequest(
  state: ShardState,
  reservationRequest: ReservationRequest,
  now: number,
): WaitingRequest {
  const needs = predictNeeds(state, reservationRequest, now);
  const { prefillEngines, slots } = getPoolSummary(state, now);
  const latestStartAt = findLatestStart(state, reservationRequest, needs);
  const isResume = reservationRequest.resumeFrom !== undefined;
  const leadMs = reservationRequest.priority * state.objective.priorityLeadMs;
  const boundedLatestStartAt = Math.min(latestStartAt, now + RANK_HORIZON_MS);
  const { prefillMs, slotOccupancyMs } = needs;
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return {
    ask: reservationRequest,
    sequence,
    arrivedAt: now,
    rankAt: isResume
      ? 0
      : boundedLatestStartAt - leadMs + findFairnessDelayMs(state, reservationRequest, now),
    latestStartAt,
    prefillMs,
    workTokens: Math.max(0, prefillMs - FIXED_OVERHEAD_MS) * getRate(state.estimates.prefill, now),
    cost: {
      prefillMs: prefillMs / Math.max(1, prefillEngines),
      decodeMs: slotOccupancyMs / Math.max(1, slots),
    },
  };
}
