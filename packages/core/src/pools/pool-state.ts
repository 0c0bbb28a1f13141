/** State of one pool, and the estimates that its decisions rest on. */

import {
  isChanging,
  measureEnginePrefillMs,
  measureReadCycleMs,
  type EngineLoad,
  type EngineLoads,
} from './engine-load.js';
import type { PlannedEngine, PoolDemand } from '../stages/stage-plan.js';
import type { AskId, PlaceAsk, PlaceRun } from './pool-types.js';

/** An ask that has no place yet. */
export type WaitingAsk = { readonly ask: PlaceAsk; readonly askedAt: number };

/** Whole state of one pool. */
export type PoolState = {
  readonly engines: EngineLoads;
  readonly runs: Map<AskId, PlaceRun>;
  readonly waiting: Map<AskId, WaitingAsk>;
  /** When the first attempt at a refused request arrived, by its content. */
  readonly firstAskedAt: Map<string, number>;
  /** Milliseconds per expected output token that a place is held. */
  holdMsPerToken: number;
  /** Time that prefill engines were busy, and the prompt tokens that they read in it; both fade. */
  prefillBusyMs: number;
  prefillTokens: number;
  /** Time of a decode engine for one token of a prompt that it reads itself, in milliseconds. */
  selfReadMsPerToken: number;
  /** Mean time that a place is held, in milliseconds. */
  holdMs: number;
  /** Answers that came to their end. */
  holdCount: number;
  /** Mean tokens of a prompt, and of an answer at its end. */
  promptTokens: number;
  outputTokens: number;
  /** When a prefill engine was usable last. */
  prefillSeenAt: number;
  /** Arrivals a second that could still be on time, fading. */
  freshRate: number;
  freshRateAt: number;
  /** Random numbers from 0 up to 1, so that refused callers do not return together. */
  readonly takeFraction: () => number;
};

const INITIAL_HOLD_MS_PER_TOKEN = 0.6;
const INITIAL_PREFILL_MS_PER_TOKEN = 0.018;
const INITIAL_PREFILL_TOKENS = 50_000;
/** Decode engines read at half the speed. */
const INITIAL_SELF_READ_MS_PER_TOKEN = 2 * INITIAL_PREFILL_MS_PER_TOKEN;
const PREFILL_FADING = 0.95;
const INITIAL_HOLD_MS = 3_500;
const INITIAL_PROMPT_TOKENS = 5_000;
const ESTIMATE_WEIGHT = 0.05;
const RATE_WINDOW_MS = 2_000;
const MS_PER_S = 1_000;
/** A pause up to this takes no capacity that counts. */
const SHORT_PAUSE_MS = 400;
/** Transfer of the KV cache and the first step of the answer. */
const FIRST_EVENT_MS = 80;

/** Makes the state of a pool that knows no engine. */
export function makePoolState(takeFraction: () => number): PoolState {
  return {
    engines: new Map(),
    runs: new Map(),
    waiting: new Map(),
    firstAskedAt: new Map(),
    holdMsPerToken: INITIAL_HOLD_MS_PER_TOKEN,
    prefillBusyMs: INITIAL_PREFILL_MS_PER_TOKEN * INITIAL_PREFILL_TOKENS,
    prefillTokens: INITIAL_PREFILL_TOKENS,
    selfReadMsPerToken: INITIAL_SELF_READ_MS_PER_TOKEN,
    holdMs: INITIAL_HOLD_MS,
    holdCount: 0,
    promptTokens: INITIAL_PROMPT_TOKENS,
    outputTokens: 0,
    prefillSeenAt: 0,
    freshRate: 0,
    freshRateAt: 0,
    takeFraction,
  };
}

/** Moves an estimate towards a sample; one sample counts for a factor of three at most. */
function updateEstimate(estimate: number, sample: number): number {
  const bounded = Math.min(3 * estimate, Math.max(estimate / 3, sample));
  return estimate + ESTIMATE_WEIGHT * (bounded - estimate);
}

/** A caller that was refused returns within this time or never. */
const RETURN_WITHIN_MS = 15_000;

/** Remembers a refused request, so that its next attempt is known for one. */
export function rememberRefused(state: PoolState, ask: PlaceAsk, askedAt: number): void {
  if (!state.firstAskedAt.has(ask.contentKey)) state.firstAskedAt.set(ask.contentKey, askedAt);
}

/** The target of a caller that returns counts from its first attempt. */
export function applyEarlierAttempt(state: PoolState, ask: PlaceAsk, now: number): void {
  const firstAt = state.firstAskedAt.get(ask.contentKey);
  if (firstAt !== undefined) ask.aimAt -= now - firstAt;
}

/** Forgets requests whose callers have left. */
export function forgetRefused(state: PoolState, now: number): void {
  for (const [key, at] of state.firstAskedAt) {
    // Entries stand in the order of their times.
    if (now - at <= RETURN_WITHIN_MS) return;
    state.firstAskedAt.delete(key);
  }
}

/** Learns from an answer that came to its end. */
export function recordHold(state: PoolState, run: PlaceRun, load: EngineLoad, now: number): void {
  const heldMs = now - run.grantedAt;
  state.holdCount += 1;
  state.holdMs = updateEstimate(state.holdMs, heldMs);
  if (run.ask.outputTokens <= 0) return;
  const perToken = heldMs / run.ask.outputTokens;
  load.slowness = updateEstimate(load.slowness, perToken / state.holdMsPerToken);
  state.holdMsPerToken = updateEstimate(state.holdMsPerToken, perToken);
}

/**
 * Learns from a prompt that was read. Prompts that are read side by side share the engine, so its
 * busy time is counted rather than the time of each prompt.
 */
export function recordPrefill(state: PoolState, promptTokens: number, busyMs: number): void {
  state.prefillBusyMs = PREFILL_FADING * state.prefillBusyMs + busyMs;
  state.prefillTokens = PREFILL_FADING * state.prefillTokens + promptTokens;
}

/** Learns from a prompt that a decode engine has read itself. */
export function recordSelfRead(state: PoolState, promptTokens: number, busyMs: number): void {
  if (promptTokens <= 0) return;
  state.selfReadMsPerToken = updateEstimate(state.selfReadMsPerToken, busyMs / promptTokens);
}

/** Predicts how long a decode engine reads a prompt itself. */
export function predictSelfReadMs(state: PoolState, ask: PlaceAsk): number {
  return ask.promptTokens * state.selfReadMsPerToken;
}

/** Milliseconds of a prefill engine for one prompt token. */
export function measurePrefillMsPerToken(state: PoolState): number {
  return state.prefillBusyMs / Math.max(1, state.prefillTokens);
}

/** Arrivals a second over the last seconds. */
export function measureFreshRate(state: PoolState, now: number): number {
  return state.freshRate * Math.exp(-(now - state.freshRateAt) / RATE_WINDOW_MS);
}

/** Counts an arrival that can still be on time. */
export function countFreshArrival(state: PoolState, now: number): void {
  state.freshRate = measureFreshRate(state, now) + MS_PER_S / RATE_WINDOW_MS;
  state.freshRateAt = now;
}

/** Learns the size of what is asked for. */
export function recordSize(state: PoolState, ask: PlaceAsk): void {
  state.promptTokens += ESTIMATE_WEIGHT * (ask.promptTokens - state.promptTokens);
  state.outputTokens += ESTIMATE_WEIGHT * (ask.outputTokens - state.outputTokens);
}

/** Estimates what one request needs of the pool's engines. */
export function measureDemand(state: PoolState): PoolDemand {
  let slots = 1;
  let capacity = Infinity;
  for (const { engine } of state.engines.values()) {
    slots = Math.max(slots, engine.slots);
    capacity = Math.min(capacity, engine.kvCapacityTokens);
  }
  // Runs are at all stages of their answers at once: half of it is there on average.
  const heldTokens = state.promptTokens + state.outputTokens / 2;
  const placesPerEngine = Math.max(1, Math.min(slots, capacity / Math.max(1, heldTokens)));
  const prefillMs = Math.max(1, state.promptTokens * measurePrefillMsPerToken(state));
  return { prefillMs, holdMs: state.holdMs, placesPerEngine };
}

/** Prompts that an engine must have read before its speed is known. */
export const LEAST_PREFILLS = 6;
/** Answers that must have ended before the time that a place is held is known. */
const LEAST_HOLDS = 8;

function measureSlowness(state: PoolState, load: EngineLoad): number | undefined {
  if (load.engine.stage === 'decode') {
    return state.holdCount < LEAST_HOLDS ? undefined : load.slowness;
  }
  if (load.prefillCount < LEAST_PREFILLS) return undefined;
  const poolMs = measurePrefillMsPerToken(state);
  return measureEnginePrefillMs(load, poolMs) / poolMs;
}

/** Lists the engines for a plan; engines that leave are not counted. */
export function listPlannedEngines(state: PoolState, now: number): PlannedEngine[] {
  const planned: PlannedEngine[] = [];
  for (const load of state.engines.values()) {
    const { upstreamId, isLeaving } = load.engine;
    if (isLeaving) continue;
    const isOrdered = isChanging(load, now);
    const stage = isOrdered && load.ordered ? load.ordered.stage : load.engine.stage;
    const work = load.runs.size + load.prefills.size;
    const slowness = measureSlowness(state, load);
    planned.push({ upstreamId, stage, load: work, slowness, isChanging: isOrdered });
  }
  return planned;
}

/** Predicts how long it takes from the grant to the first event. */
export function predictFirstEventMs(state: PoolState, ask: PlaceAsk): number {
  const prefillMs = ask.needsPrefill ? ask.promptTokens * measurePrefillMsPerToken(state) : 0;
  return prefillMs + FIRST_EVENT_MS;
}

/** Predicts how long a place is held. */
export function predictHoldMs(state: PoolState, ask: PlaceAsk, load: EngineLoad): number {
  if (ask.outputTokens <= 0) return state.holdMs;
  return Math.max(50, ask.outputTokens * state.holdMsPerToken * load.slowness);
}

/** Answers are often this much longer than their callers expect. */
const LONG_ANSWER_FACTOR = 2;

/** Whether the answer would probably be cut, because the caller's VM stops before its end. */
export function isLikelyCut(state: PoolState, ask: PlaceAsk, now: number): boolean {
  const holdMs = ask.outputTokens <= 0 ? state.holdMs : ask.outputTokens * state.holdMsPerToken;
  const endAt = now + predictFirstEventMs(state, ask) + LONG_ANSWER_FACTOR * holdMs;
  return endAt > ask.endsBy;
}

/** Places that decode engines of the pool have together. */
export function countPlaces(state: PoolState): number {
  let places = 0;
  for (const { engine } of state.engines.values()) {
    if (engine.stage === 'decode' && !engine.isLeaving) places += engine.slots;
  }
  return places;
}

/** Prompts a second that prefill engines can read; those that fail at the moment do not count. */
function measureReadRate(state: PoolState, now: number): number {
  const poolMs = measurePrefillMsPerToken(state);
  let rate = 0;
  for (const load of state.engines.values()) {
    const { stage, isLeaving } = load.engine;
    if (stage !== 'prefill' || isLeaving || load.avoidUntil > now + SHORT_PAUSE_MS) continue;
    rate += MS_PER_S / (state.promptTokens * measureEnginePrefillMs(load, poolMs));
  }
  return rate;
}

/** Prompts a second that decode engines can read between their answers. */
function measureSelfReadRate(state: PoolState, now: number): number {
  const cycleMs = measureReadCycleMs(state.promptTokens * state.selfReadMsPerToken);
  let rate = 0;
  for (const load of state.engines.values()) {
    const { stage, isLeaving } = load.engine;
    if (stage !== 'decode' || isLeaving || load.avoidUntil > now + SHORT_PAUSE_MS) continue;
    rate += MS_PER_S / cycleMs;
  }
  return rate;
}

/** Starts a second that the pool can give, from places and from engines that read prompts. */
export function measureServiceRate(state: PoolState, now: number): number {
  const placeRate = (MS_PER_S * countPlaces(state)) / state.holdMs;
  const readRate = measureReadRate(state, now);
  return Math.min(placeRate, readRate > 0 ? readRate : measureSelfReadRate(state, now));
}
