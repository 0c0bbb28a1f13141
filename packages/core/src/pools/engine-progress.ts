/** Progress of the answers of decode engines: their pace, their expected ends, and how many fit in it. */

import {
  getEventsPerToken,
  measureLengthShape,
  recordEventRatio,
  recordTimeRatio,
} from '../speeds/answer-lengths.js';
import {
  countHandledAnswers,
  predictMsPerToken,
  recordPace,
  type PaceSample,
} from '../speeds/engine-pace.js';
import { hasPreemptionPause, type AnswerProgress } from '../speeds/memory-margin.js';
import {
  measureMeanUsage,
  measureStall,
  recordEnd,
  updateExpectedEnds,
  updateRunning,
  type RunningAnswer,
} from '../speeds/running-answers.js';
import { addRun, removeRun, type EngineLoad } from './engine-load.js';
import { predictFirstEventMs, type PoolState } from './pool-state.js';
import type { SlotAssignment, SlotRequest, SlotRequestId } from './pool-types.js';

/** Fewer events tell less of the pace than the time that the slot was occupied. */
const MIN_EVENTS = 6;
/** Variance of the logarithm of the time per event: short noise, and answers of different context. */
const EVENT_VARIANCE = 0.03;
/** Expected ends of running answers are corrected this often. */
const CORRECT_MS = 100;
/** Weight of one sample in the moving average of pauses. */
const PAUSE_WEIGHT = 0.05;
/** The number of answers that an engine handles well grows by one at most this often. */
const GROW_MS = 200;
/** Share of the pause target that the usual longest pause of an answer may take. */
const PAUSE_TARGET_SHARE = 0.85;
/** Least share of an engine's slots that stays in use, so that the engine is measured. */
const MIN_HANDLED_SHARE = 0.25;
/**
 * Part of the cost of an engine that does not depend on how many of its slots are in use: the higher,
 * the fuller fast engines become before slow ones get an answer.
 */
const PACE_COST_SHARE = 0.5;
/** Share of its length that a running answer has left on average. */
const MEAN_REST_SHARE = 0.6;

/** Returns the expected length of an answer, in tokens; that of the pool if the caller names none. */
function getExpectedTokens(state: PoolState, { outputTokens }: SlotRequest): number {
  if (outputTokens > 0) return outputTokens;
  return Math.max(1, state.occupancyMs / Math.exp(state.pace.level));
}

function predictPaceAt(state: PoolState, load: EngineLoad, running: number, now: number): number {
  return predictMsPerToken(state.pace, load.pace, running / load.engine.slots, now);
}

/** Returns the milliseconds per token of an engine's running answers now, by its finished answers. */
export function predictCurrentPace(state: PoolState, load: EngineLoad, now: number): number {
  return predictPaceAt(state, load, Math.max(1, load.runs.size), now);
}

/** Counts what the answers of an engine have generated; called before their number changes. */
export function updateProgress(state: PoolState, load: EngineLoad, now: number): void {
  const msPerToken = predictCurrentPace(state, load, now);
  const usage = load.runs.size / load.engine.slots;
  const shape = measureLengthShape(state.memory.lengths);
  updateRunning(load.running, shape, { msPerToken, usage }, now);
}

/** Starts an answer on its engine, at the grant of its slot or when another VM announces it. */
export function startAnswer(
  state: PoolState,
  load: EngineLoad,
  assignment: SlotAssignment,
  now: number,
): void {
  updateProgress(state, load, now);
  const { ask, grantedAt, expectedEndAt } = assignment;
  const { medianTime } = measureLengthShape(state.memory.lengths);
  const tokens = medianTime * getExpectedTokens(state, ask);
  const usage = load.runs.size / load.engine.slots;
  // An answer that another owner granted has come as far as that one expected.
  const share = Math.max(0, now - grantedAt) / Math.max(1, expectedEndAt - grantedAt);
  const made = tokens * Math.min(1, share);
  const answer: RunningAnswer = {
    tokens,
    expectedPace: predictPaceAt(state, load, load.runs.size + 1, now),
    startsAt: share > 0 ? now : now + predictFirstEventMs(state, ask),
    made,
    usageMs: usage * (now - grantedAt),
    grantedAt,
  };
  load.running.answers.set(ask.askId, answer);
  addRun(load, assignment);
}

/** Removes an answer from its engine; returns what was known of its progress. */
export function endAnswer(
  state: PoolState,
  load: EngineLoad,
  slotRequestId: SlotRequestId,
  now: number,
): RunningAnswer | undefined {
  updateProgress(state, load, now);
  removeRun(load, slotRequestId);
  const answer = load.running.answers.get(slotRequestId);
  load.running.answers.delete(slotRequestId);
  return answer;
}

function buildPaceSample(
  state: PoolState,
  answer: RunningAnswer,
  ask: SlotRequest,
  progress: AnswerProgress | undefined,
  now: number,
): PaceSample | undefined {
  const { lengths } = state.memory;
  const usage = measureMeanUsage(answer, now);
  if (progress !== undefined && progress.events >= MIN_EVENTS) {
    const readMs = ask.promptTokens * state.localPrefillMsPerToken;
    const { streamedMs, longestPauseMs, events } = progress;
    const pausedMs = hasPreemptionPause(progress, readMs) ? longestPauseMs : 0;
    const tokens = (events - 1) / getEventsPerToken(lengths);
    return { msPerToken: (streamedMs - pausedMs) / tokens, usage, variance: EVENT_VARIANCE };
  }
  if (ask.outputTokens <= 0 || now <= answer.startsAt) return undefined;
  // Without events, a longer answer looks like a slower engine.
  const variance = measureLengthShape(lengths).deviation ** 2 + EVENT_VARIANCE;
  return { msPerToken: (now - answer.startsAt) / ask.outputTokens, usage, variance };
}

/** Records a finished answer in the estimates of lengths, pace and pauses. */
export function recordFinished(
  state: PoolState,
  load: EngineLoad,
  { ask }: SlotAssignment,
  answer: RunningAnswer,
  progress: AnswerProgress | undefined,
  now: number,
): void {
  const { lengths } = state.memory;
  recordEnd(load.running);
  if (ask.outputTokens > 0) {
    recordTimeRatio(lengths, answer.made / ask.outputTokens);
    if (progress !== undefined) recordEventRatio(lengths, progress.events / ask.outputTokens);
  }
  const sample = buildPaceSample(state, answer, ask, progress, now);
  if (sample === undefined) return;
  if (progress !== undefined && progress.longestPauseMs > 0) {
    const pauseTokens = progress.longestPauseMs / sample.msPerToken;
    const bounded = Math.min(3 * state.pauseTokens, pauseTokens);
    state.pauseTokens += PAUSE_WEIGHT * (bounded - state.pauseTokens);
  }
  const before = predictCurrentPace(state, load, now);
  recordPace(state.pace, load.pace, sample, now);
  updateExpectedEnds(load.running, predictCurrentPace(state, load, now) / before);
  load.correctAt = now;
}

/** Updates how many answers an engine handles well, within the usual pause target of the pool. */
function updateHandled(state: PoolState, load: EngineLoad, now: number): void {
  const { slots } = load.engine;
  const least = Math.ceil(MIN_HANDLED_SHARE * slots);
  const maxMsPerToken = (PAUSE_TARGET_SHARE * state.pauseMs) / state.pauseTokens;
  const best = countHandledAnswers(state.pace, load.pace, slots, maxMsPerToken, now);
  const handled = Math.min(slots, Math.max(least, best));
  if (handled <= load.handled) {
    load.handled = handled;
    return;
  }
  // One more at a time, and only once as many run as before, so that each step is measured.
  if (now < load.handledGrowsAt || load.runs.size < load.handled) return;
  load.handled += 1;
  load.handledGrowsAt = now + GROW_MS;
}

/**
 * Updates how many answers an engine handles well, and corrects when its answers are expected to end as
 * its pace changes. Neither how long an answer has run nor a lack of ends changes its expected end: the
 * forecast of free slots counts both by the ratios of actual to expected durations, and these would be
 * learned from ends that had been moved already.
 */
export function updateExpectations(state: PoolState, load: EngineLoad, now: number): void {
  if (now < load.correctAt || load.engine.stage !== 'decode') return;
  load.correctAt = now + CORRECT_MS;
  updateHandled(state, load, now);
  if (load.runs.size === 0) return;
  updateProgress(state, load, now);
  const msPerToken = predictPaceAt(state, load, load.runs.size, now);
  for (const [id, assignment] of load.runs) {
    const answer = load.running.answers.get(id);
    if (answer === undefined) continue;
    const startAt = Math.max(now, answer.startsAt);
    const restMs = Math.max(0, assignment.expectedEndAt - startAt);
    assignment.expectedEndAt += restMs * (msPerToken / answer.expectedPace - 1);
    answer.expectedPace = msPerToken;
  }
}

/**
 * Predicts when an answer of median length would end whose slot on an engine is granted now. The forecast
 * of free slots adds how answers are spread around that.
 */
export function predictEndAt(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
): number {
  const { medianTime } = measureLengthShape(state.memory.lengths);
  const tokens = medianTime * getExpectedTokens(state, slotRequest);
  const msPerToken = predictPaceAt(state, load, load.runs.size + 1, now);
  return now + predictFirstEventMs(state, slotRequest) + tokens * msPerToken;
}

/**
 * Computes the cost of one more answer on an engine: how long it takes and how much it slows the others,
 * relative to the pool, and more the fuller the engine is.
 */
export function computeDecodeCost(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  usableSlots: number,
  now: number,
): number {
  const running = load.runs.size;
  const tokens = getExpectedTokens(state, slotRequest);
  const before = predictPaceAt(state, load, Math.max(1, running), now);
  const after = predictPaceAt(state, load, running + 1, now);
  const othersMs = running * MEAN_REST_SHARE * tokens * (after - before);
  const costMs = (tokens * after + othersMs) * measureStall(load.running);
  const relative = costMs / (tokens * Math.exp(state.pace.level));
  return (PACE_COST_SHARE + running / usableSlots) * relative;
}
