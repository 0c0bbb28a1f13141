/** State of one pool, and the estimates that its decisions are based on. */

import { makeEndRatios, recordEndRatio, type EndRatios } from './answer-ends.js';
import {
  countUsableSlots,
  isChanging,
  isIgnoringOrders,
  isServing,
  estimateEnginePrefillMsPerToken,
  measureLocalPrefillCycleMs,
  type EngineLoad,
  type EngineLoads,
} from './engine-load.js';
import {
  makeMemoryEstimates,
  measureMemoryView,
  type MemoryEstimates,
  type MemoryView,
} from './engine-memory.js';
import { makeArrivalRates, type RankRates } from './rank-rates.js';
import type { SlotForecast } from './slot-forecast.js';
import { makeTenantShares, type TenantShares } from './tenant-shares.js';
import { makeRetryReturns, type RetryReturns } from './retry-returns.js';
import type { PlannedEngine, RequestNeeds } from '../stages/stage-plan.js';
import { makePermitSchedules, type PermitSchedules } from '../routing/request-permits.js';
import type { SlotRequestId, SlotRequest, SlotAssignment } from './pool-types.js';

/** A request that waits for a slot. */
export type WaitingSlotRequest = {
  readonly ask: SlotRequest;
  readonly askedAt: number;
  /** Whether it could meet its target when it was last decided that it may wait, and when that was. */
  wasOnTime: boolean;
  decidedAt: number;
};

/** State of one pool. Estimates decay: recent samples count more than old ones. */
export type PoolState = {
  readonly engines: EngineLoads;
  /** Slot assignments by the id of their request. */
  readonly runs: Map<SlotRequestId, SlotAssignment>;
  readonly waiting: Map<SlotRequestId, WaitingSlotRequest>;
  /** When the first attempt at a refused request arrived, by content key. */
  readonly firstSeenAt: Map<string, number>;
  /** Milliseconds that a slot is occupied per expected output token. */
  occupancyMsPerToken: number;
  /**
   * Busy time of prefill engines, in milliseconds, and the prompt tokens prefilled in it; both
   * decay.
   */
  prefillBusyMs: number;
  prefillTokens: number;
  /** Milliseconds that a decode engine needs per prompt token of a local prefill. */
  localPrefillMsPerToken: number;
  /** When that was last measured; undefined until then. */
  localPrefillMeasuredAt: number | undefined;
  /** Mean time that a slot is occupied, in milliseconds. */
  occupancyMs: number;
  /** Completed answers that the occupancy estimates were updated with. */
  occupancyCount: number;
  /** How recent answers were spread around their expected ends. */
  readonly endRatios: EndRatios;
  /** Mean tokens of a prompt, and of a complete answer. */
  promptTokens: number;
  outputTokens: number;
  /** Lengths of answers, and the margin that memory forecasts keep. */
  readonly memory: MemoryEstimates;
  /** When a prefill engine was last usable, even if busy. */
  prefillUsableAt: number;
  /** Arrivals that could still meet their latency target, by rank. */
  readonly ranks: RankRates;
  /** Recent use and arrivals by tenant. */
  readonly tenants: TenantShares;
  /** When refused callers are expected to retry. */
  readonly returns: RetryReturns;
  /** Forecast for the current event; undefined once anything has changed. */
  forecast: { readonly at: number; readonly forecast: SlotForecast } | undefined;
  /** Returns a random number in [0, 1), so that refused callers do not retry all at once. */
  readonly takeFraction: () => number;
  /** Permits of engines that limit their requests. */
  readonly permits: PermitSchedules;
  /** Whether this VM gives these permits out; otherwise limited engines get nothing from here. */
  keepsPermits: boolean;
};

const INITIAL_OCCUPANCY_MS_PER_TOKEN = 0.6;
const INITIAL_PREFILL_MS_PER_TOKEN = 0.018;
const INITIAL_PREFILL_TOKENS = 50_000;
/** Decode engines prefill at half the speed of prefill engines. */
export const LOCAL_PREFILL_FACTOR = 2;
const INITIAL_LOCAL_PREFILL_MS_PER_TOKEN = LOCAL_PREFILL_FACTOR * INITIAL_PREFILL_MS_PER_TOKEN;
/** Factor on the earlier prefill totals at each new sample. */
const PREFILL_DECAY = 0.95;
const INITIAL_OCCUPANCY_MS = 3_500;
const INITIAL_PROMPT_TOKENS = 5_000;
/** Weight of one sample in a moving average. */
const ESTIMATE_WEIGHT = 0.05;
const MS_PER_S = 1_000;
/** An engine that is avoided for no longer than this still counts as capacity. */
export const SHORT_AVOID_MS = 400;
/** Time for the transfer of the KV cache and the first decode step. */
export const FIRST_EVENT_MS = 80;

/** Makes the state of a pool without engines. */
export function makePoolState(
  takeFraction: () => number,
  permits: PermitSchedules = makePermitSchedules(),
): PoolState {
  return {
    engines: new Map(),
    runs: new Map(),
    waiting: new Map(),
    firstSeenAt: new Map(),
    occupancyMsPerToken: INITIAL_OCCUPANCY_MS_PER_TOKEN,
    prefillBusyMs: INITIAL_PREFILL_MS_PER_TOKEN * INITIAL_PREFILL_TOKENS,
    prefillTokens: INITIAL_PREFILL_TOKENS,
    localPrefillMsPerToken: INITIAL_LOCAL_PREFILL_MS_PER_TOKEN,
    localPrefillMeasuredAt: undefined,
    occupancyMs: INITIAL_OCCUPANCY_MS,
    occupancyCount: 0,
    endRatios: makeEndRatios(),
    promptTokens: INITIAL_PROMPT_TOKENS,
    outputTokens: 0,
    memory: makeMemoryEstimates(),
    prefillUsableAt: 0,
    ranks: makeArrivalRates(),
    tenants: makeTenantShares(),
    returns: makeRetryReturns(),
    forecast: undefined,
    takeFraction,
    permits,
    keepsPermits: true,
  };
}

/**
 * Updates a moving average with a sample, which is first limited to a third up to three times the
 * estimate.
 */
function updateEstimate(estimate: number, sample: number): number {
  const bounded = Math.min(3 * estimate, Math.max(estimate / 3, sample));
  return estimate + ESTIMATE_WEIGHT * (bounded - estimate);
}

/** Refused callers that retry do so within this time. */
const RETRY_WITHIN_MS = 15_000;

/** Records the arrival of a refused request, so that a later attempt is recognized as a retry. */
export function rememberRefused(state: PoolState, refused: SlotRequest, at: number): void {
  if (!state.firstSeenAt.has(refused.contentKey)) state.firstSeenAt.set(refused.contentKey, at);
}

/** Makes the latency target of a retry earlier, so that it counts from the caller's first attempt. */
export function applyEarlierAttempt(state: PoolState, slotRequest: SlotRequest, now: number): void {
  const firstAt = state.firstSeenAt.get(slotRequest.contentKey);
  if (firstAt !== undefined) slotRequest.aimAt -= now - firstAt;
}

/** Forgets refused requests whose callers no longer retry. */
export function forgetRefused(state: PoolState, now: number): void {
  for (const [key, at] of state.firstSeenAt) {
    // The map is in order of arrival, so the first recent entry ends the search.
    if (now - at <= RETRY_WITHIN_MS) return;
    state.firstSeenAt.delete(key);
  }
}

/** Updates the occupancy estimates with a completed answer. */
export function recordOccupancy(
  state: PoolState,
  assignment: SlotAssignment,
  load: EngineLoad,
  now: number,
): void {
  const occupiedMs = now - assignment.grantedAt;
  const expectedMs = assignment.expectedEndAt - assignment.grantedAt;
  recordEndRatio(state.endRatios, occupiedMs, expectedMs);
  state.occupancyCount += 1;
  state.occupancyMs = updateEstimate(state.occupancyMs, occupiedMs);
  if (assignment.ask.outputTokens <= 0) return;
  const perToken = occupiedMs / assignment.ask.outputTokens;
  load.slowness = updateEstimate(load.slowness, perToken / state.occupancyMsPerToken);
  state.occupancyMsPerToken = updateEstimate(state.occupancyMsPerToken, perToken);
}

/**
 * Updates the prefill speed with a completed prompt. Prompts that are prefilled concurrently share
 * the engine, so its busy time is counted rather than the duration of each prompt.
 */
export function recordPrefill(state: PoolState, promptTokens: number, busyMs: number): void {
  state.prefillBusyMs = PREFILL_DECAY * state.prefillBusyMs + busyMs;
  state.prefillTokens = PREFILL_DECAY * state.prefillTokens + promptTokens;
}

/** Returns the mean milliseconds of the pool's prefill engines per prompt token. */
export function measurePrefillMsPerToken(state: PoolState): number {
  return state.prefillBusyMs / Math.max(1, state.prefillTokens);
}

/** Updates the mean prompt and answer sizes with a slot request. */
export function recordRequestSize(state: PoolState, slotRequest: SlotRequest): void {
  state.promptTokens += ESTIMATE_WEIGHT * (slotRequest.promptTokens - state.promptTokens);
  state.outputTokens += ESTIMATE_WEIGHT * (slotRequest.outputTokens - state.outputTokens);
}

/**
 * Estimates the KV cache tokens of an answer at a random moment: on average half of it has been
 * generated.
 */
export function estimateAnswerTokens(state: PoolState): number {
  return Math.max(1, state.promptTokens + state.outputTokens / 2);
}

/** Returns what the memory forecasts of the pool are based on now. */
export function measurePoolMemory(state: PoolState, now: number): MemoryView {
  const { memory, occupancyMs: usualMs, localPrefillMsPerToken: readMsPerToken } = state;
  return measureMemoryView(memory, { usualMs, readMsPerToken, now });
}

/** Estimates what one request needs of the pool's engines. */
export function estimateRequestNeeds(state: PoolState): RequestNeeds {
  let slots = 1;
  let capacity = Infinity;
  for (const { engine } of state.engines.values()) {
    slots = Math.max(slots, engine.slots);
    capacity = Math.min(capacity, engine.kvCapacityTokens);
  }
  const slotsPerEngine = Math.max(1, Math.min(slots, capacity / estimateAnswerTokens(state)));
  const prefillMs = Math.max(1, state.promptTokens * measurePrefillMsPerToken(state));
  return { prefillMs, occupancyMs: state.occupancyMs, slotsPerEngine };
}

/** Prompts that an engine must have prefilled before its measured speed is used. */
export const MIN_PREFILL_SAMPLES = 6;
/** Answers that must have completed before the measured slot occupancy is used. */
export const MIN_OCCUPANCY_SAMPLES = 8;

function measureSlowness(state: PoolState, load: EngineLoad): number | undefined {
  if (load.engine.stage === 'decode') {
    return state.occupancyCount < MIN_OCCUPANCY_SAMPLES ? undefined : load.slowness;
  }
  if (load.prefillCount < MIN_PREFILL_SAMPLES) return undefined;
  const poolPrefillMsPerToken = measurePrefillMsPerToken(state);
  return estimateEnginePrefillMsPerToken(load, poolPrefillMsPerToken) / poolPrefillMsPerToken;
}

/** Lists the engines for the stage plan, without those that are leaving. */
export function listPlannedEngines(state: PoolState, now: number): PlannedEngine[] {
  const planned: PlannedEngine[] = [];
  for (const load of state.engines.values()) {
    const { upstreamId, isLeaving } = load.engine;
    if (isLeaving) continue;
    const isChangingStage = isChanging(load, now);
    const stage = isChangingStage && load.ordered ? load.ordered.stage : load.engine.stage;
    const work = load.runs.size + load.prefills.size;
    const slowness = measureSlowness(state, load);
    planned.push({
      upstreamId,
      stage,
      requestCount: work,
      slowness,
      isChanging: isChangingStage,
      isIgnoringOrders: isIgnoringOrders(load, now),
    });
  }
  return planned;
}

/** Predicts the milliseconds from the grant of a slot to the first event. */
export function predictFirstEventMs(state: PoolState, slotRequest: SlotRequest): number {
  const prefillMs = slotRequest.needsPrefill
    ? slotRequest.promptTokens * measurePrefillMsPerToken(state)
    : 0;
  return prefillMs + FIRST_EVENT_MS;
}

/** Predicts how many milliseconds a request will occupy a slot of an engine. */
export function predictOccupancyMs(
  state: PoolState,
  slotRequest: SlotRequest,
  load: EngineLoad,
): number {
  if (slotRequest.outputTokens <= 0) return state.occupancyMs;
  return Math.max(50, slotRequest.outputTokens * state.occupancyMsPerToken * load.slowness);
}

/** Answers are often longer than expected by up to this factor. */
const LONG_ANSWER_FACTOR = 2;

/**
 * Whether the answer would probably be interrupted, because the caller's VM stops before its end.
 */
export function isLikelyInterrupted(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): boolean {
  const occupancyMs =
    slotRequest.outputTokens <= 0
      ? state.occupancyMs
      : slotRequest.outputTokens * state.occupancyMsPerToken;
  const endAt = now + predictFirstEventMs(state, slotRequest) + LONG_ANSWER_FACTOR * occupancyMs;
  return endAt > slotRequest.endsBy;
}

/** Counts the slots of the pool's decode engines that their memory allows for, free or not. */
export function countSlots(state: PoolState, now: number): number {
  const meanTokens = estimateAnswerTokens(state);
  let slots = 0;
  for (const load of state.engines.values()) {
    if (isServing(load, 'decode', now)) slots += countUsableSlots(load, meanTokens);
  }
  return slots;
}

/** Bounds a rate by the requests per second that an engine takes. */
function boundByLimit({ engine }: EngineLoad, rate: number): number {
  return Math.min(rate, engine.requestsPerSecond ?? Infinity);
}

/** Returns the answers per second that the pool's decode engines can start. */
function measureSlotRate(state: PoolState, now: number): number {
  const meanTokens = estimateAnswerTokens(state);
  let rate = 0;
  for (const load of state.engines.values()) {
    if (!isServing(load, 'decode', now)) continue;
    const slots = countUsableSlots(load, meanTokens);
    rate += boundByLimit(load, (MS_PER_S * slots) / state.occupancyMs);
  }
  return rate;
}

/**
 * Returns the prompts per second that prefill engines can process, without engines that are failing
 * or changing their stage now.
 */
function measurePrefillRate(state: PoolState, now: number): number {
  const poolPrefillMsPerToken = measurePrefillMsPerToken(state);
  let rate = 0;
  for (const load of state.engines.values()) {
    if (!isServing(load, 'prefill', now) || load.avoidUntil > now + SHORT_AVOID_MS) continue;
    const prefillMs =
      state.promptTokens * estimateEnginePrefillMsPerToken(load, poolPrefillMsPerToken);
    rate += boundByLimit(load, MS_PER_S / prefillMs);
  }
  return rate;
}

/** Returns the prompts per second that decode engines can prefill locally between their answers. */
function measureLocalPrefillRate(state: PoolState, now: number): number {
  const cycleMs = measureLocalPrefillCycleMs(state.promptTokens * state.localPrefillMsPerToken);
  let rate = 0;
  for (const load of state.engines.values()) {
    if (!isServing(load, 'decode', now) || load.avoidUntil > now + SHORT_AVOID_MS) continue;
    rate += boundByLimit(load, MS_PER_S / cycleMs);
  }
  return rate;
}

/** Whether a prefill engine limits the requests that it takes. */
export function hasLimitedPrefill(state: PoolState): boolean {
  for (const { engine } of state.engines.values()) {
    const { stage, isLeaving, requestsPerSecond } = engine;
    if (stage === 'prefill' && !isLeaving && requestsPerSecond !== undefined) return true;
  }
  return false;
}

/** Returns the prompts per second that the pool can prefill, at prefill engines or locally. */
export function measurePromptRate(state: PoolState, now: number): number {
  const prefillRate = measurePrefillRate(state, now);
  // Decode engines also prefill what the limits of prefill engines leave over.
  const usesLocal = prefillRate === 0 || hasLimitedPrefill(state);
  return prefillRate + (usesLocal ? measureLocalPrefillRate(state, now) : 0);
}

/**
 * Returns how many answers per second the pool can start, limited by its slots and its prefill
 * speed.
 */
export function measureServiceRate(state: PoolState, now: number): number {
  return Math.min(measureSlotRate(state, now), measurePromptRate(state, now));
}
