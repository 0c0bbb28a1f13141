/**
 * Decides at once whether a request can meet its deadlines. One that cannot is refused before any
 * work; one that was admitted is refused later only if work of a higher priority displaced it.
 */

import type { Refusal, ReservationAsk, ResultName } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { addUsage, measureOveruse } from './caller-shares.js';
import { addDemand, measureFit, measureShareAbove, rankCost } from './demand.js';
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
import { isEligible, type Engine } from './engine-state.js';
import { countCachedBlocks, predictCachedTokens } from './prefix-knowledge.js';
import { takeFraction } from './random.js';
import { findLargestCaller, type ShardState } from './shard-state.js';
import { countActivePrefills, predictStarts } from './start-forecast.js';
import {
  addWaiting,
  countWaitingOf,
  findPosition,
  MAX_WAITING,
  removeWaiting,
  type WaitingAsk,
} from './waiting-queue.js';

const MAX_WAITING_PER_CALLER = 1_024;
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 10_000;
const MAX_FAIR_DELAY_MS = 500;
const MAX_RESERVED_SHARE = 0.9;
/** Deadlines beyond this count as equal, so that long ones don't wait for good. */
const RANK_HORIZON_MS = 1_000;
const MAX_DISPLACED = 4;
/** Share of its slack that a request may wait before its cost matters, and from which it matters fully. */
const EASY_PRESSURE = 0.2;
const FULL_PRESSURE = 0.6;
/** Where greater priorities are in demand, a request may be promised a start within this share of its slack. */
const DISPLACEABLE_SLACK_SHARE = 0.6;
const MIN_SHARE_ABOVE = 0.02;
/** Requests of the asker's size by which another caller must be ahead to be displaced. */
const MIN_DISPLACED_LEAD = 3;

/** Builds the refusal of an ask that has not run. */
export function refuseAsk(
  ask: ReservationAsk,
  name: ResultName,
  detail: string,
  retryAt?: number,
): AllocatorAction {
  const { vmId, requestId, attemptId } = ask;
  const refusal: Refusal = {
    name,
    ran: 'not-run',
    detail,
    ...(retryAt === undefined ? {} : { retryAt }),
  };
  return { kind: 'refuse', vmId, requestId, attemptId, refusal };
}

/** Chooses when to ask again: after the predicted excess has drained, spread by jitter. */
export function chooseRetryAt(state: ShardState, excessMs: number, now: number): number {
  const bounded = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs));
  return Math.ceil(now + bounded * (1 + takeFraction(state.random)));
}

function hasEligible(engines: readonly Engine[], ask: ReservationAsk): boolean {
  for (const engine of engines) {
    if (isEligible(engine, ask)) return true;
  }
  return false;
}

/** Predicts the cheapest prefill of the ask on any engine. */
function predictCheapestPrefillMs(state: ShardState, ask: ReservationAsk, now: number): number {
  let cachedTokens = 0;
  const blocks = countCachedBlocks(state.prefixes, ask.prefixes);
  for (const engine of blocks.size === 0 ? [] : state.pool.prefill) {
    const count = blocks.get(engine.index);
    if (count === undefined || !isEligible(engine, ask)) continue;
    const predicted = predictCachedTokens(engine, count, ask.promptTokens);
    cachedTokens = Math.max(cachedTokens, predicted);
  }
  return predictPrefillMs(state.estimates, ask.promptTokens - cachedTokens, now);
}

function predictBatch(state: ShardState): number {
  let engines = 0;
  let streams = 0;
  for (const engine of state.pool.decode) {
    if (engine.isLeaving || engine.isSuspect) continue;
    engines += 1;
    streams += engine.streams.size;
  }
  return 1 + streams / Math.max(1, engines);
}

function countPlaces(state: ShardState): number {
  let places = 0;
  for (const engine of state.pool.decode) {
    if (!engine.isLeaving && !engine.isSuspect) places += engine.places;
  }
  return Math.max(1, places);
}

function makeWaiting(state: ShardState, ask: ReservationAsk, now: number): WaitingAsk {
  const { estimates, objective } = state;
  const isResume = ask.resumeFrom !== undefined;
  const prefillMs = isResume ? 0 : predictCheapestPrefillMs(state, ask, now);
  const importMs = predictImportMs(estimates, ask.promptTokens, now);
  const stepMs = predictStepMs(estimates, predictBatch(state));
  const untilFirstMs = HOP_MS + prefillMs + importMs + stepMs;
  const untilAnswerMs = untilFirstMs + (predictAnswerTokens(estimates, ask.maxTokens) - 1) * stepMs;
  const safety = 1 + objective.safetyShare;
  const firstAt = isResume ? Infinity : ask.firstTokenDeadline - untilFirstMs * safety;
  const isAnswerUnknown = isResume || estimates.answer.samples < MIN_SAMPLES;
  const answerAt = isAnswerUnknown
    ? ask.answerDeadline - untilFirstMs
    : ask.answerDeadline - untilAnswerMs * safety;
  const latestStartAt = Math.min(firstAt, answerAt);
  const holdMs = importMs + predictAnswerTokens(estimates, ask.maxTokens) * stepMs;
  const workTokens = Math.max(0, prefillMs - OVERHEAD_MS) * getRate(estimates.prefill, now);
  const overuse = measureOveruse(state.shares, ask.callerId, now);
  const engines = Math.max(1, countActivePrefills(state));
  const overuseMs = Math.max(0, overuse) / getRate(estimates.prefill, now) / engines;
  const fairDelayMs = Math.min(MAX_FAIR_DELAY_MS, overuseMs * objective.fairnessWeight);
  const rankAt =
    Math.min(latestStartAt, now + RANK_HORIZON_MS) - ask.priority * objective.priorityLeadMs;
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return {
    ask,
    sequence,
    arrivedAt: now,
    rankAt: isResume ? 0 : rankAt + fairDelayMs,
    latestStartAt,
    prefillMs,
    workTokens,
    cost: { prefillMs: prefillMs / engines, decodeMs: holdMs / countPlaces(state) },
  };
}

/** Latest start of an admitted request: its safety margin may be used up. */
function findLastStartAt(state: ShardState, waiting: WaitingAsk): number {
  return waiting.latestStartAt + waiting.prefillMs * state.objective.safetyShare;
}

/**
 * Whether a request costs too much for what is left of the pool. Only those that would wait long are
 * judged, so that no engine idles.
 */
function isTooCostly(
  state: ShardState,
  waiting: WaitingAsk,
  pressure: number,
  now: number,
): boolean {
  const { priority } = waiting.ask;
  const { selectivity } = state.objective;
  const fit = measureFit(state.demand, priority, now);
  if (selectivity === 0 || fit >= 1) return false;
  const ramp = (pressure - EASY_PRESSURE) / (FULL_PRESSURE - EASY_PRESSURE);
  const strictness = Math.min(1, Math.max(0, ramp)) * selectivity;
  return rankCost(state.demand, priority, waiting.cost) > 1 - strictness * (1 - fit);
}

/** How late the request, or one that it would push back, is predicted to start; at most zero if none. */
function predictLateMs(state: ShardState, waiting: WaitingAsk, now: number): number {
  const starts = predictStarts(state, now);
  const position = findPosition(state.queue, waiting);
  const own = starts[position] ?? Infinity;
  const shareAbove = Math.min(
    MAX_RESERVED_SHARE,
    measureShareAbove(state.demand, waiting.ask.priority, now),
  );
  const startAt = now + (own - now) / (1 - shareAbove);
  const slackShare = shareAbove > MIN_SHARE_ABOVE ? DISPLACEABLE_SLACK_SHARE : 1;
  const allowedMs = (waiting.latestStartAt - now) * slackShare;
  let lateMs = startAt - now - allowedMs;
  if (lateMs <= 0 && isTooCostly(state, waiting, (startAt - now) / allowedMs, now)) {
    return startAt - now;
  }
  for (let behind = position + 1; behind < starts.length; behind += 1) {
    const other = state.queue.items[behind];
    if (other === undefined || other.ask.priority < waiting.ask.priority) continue;
    lateMs = Math.max(lateMs, (starts[behind] ?? Infinity) - findLastStartAt(state, other));
  }
  return lateMs;
}

/** Whether a waiting request may be given up for a new one. */
function isDisplaceable(
  state: ShardState,
  other: WaitingAsk,
  waiting: WaitingAsk,
  now: number,
): boolean {
  if (other === waiting || other.ask.resumeFrom !== undefined) return false;
  if (other.ask.priority !== waiting.ask.priority) {
    return other.ask.priority < waiting.ask.priority;
  }
  const lead =
    measureOveruse(state.shares, other.ask.callerId, now) -
    measureOveruse(state.shares, waiting.ask.callerId, now);
  return lead > MIN_DISPLACED_LEAD * waiting.workTokens;
}

/** Finds the request to give up: of the lowest priority, and of those the last. */
function findDisplaceable(
  state: ShardState,
  waiting: WaitingAsk,
  now: number,
): WaitingAsk | undefined {
  let found: WaitingAsk | undefined;
  for (const other of state.queue.items) {
    if (found !== undefined && other.ask.priority > found.ask.priority) continue;
    if (isDisplaceable(state, other, waiting, now)) found = other;
  }
  return found;
}

/** Removes a waiting request and refuses it. */
export function dropWaiting(
  state: ShardState,
  waiting: WaitingAsk,
  name: ResultName,
  detail: string,
  excessMs: number,
  now: number,
): AllocatorAction[] {
  if (!removeWaiting(state.queue, waiting)) return [];
  addUsage(state.shares, waiting.ask.callerId, -waiting.workTokens, now);
  return [refuseAsk(waiting.ask, name, detail, chooseRetryAt(state, excessMs, now))];
}

function makeRoom(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { queue } = state;
  const last = queue.items.at(-1);
  if (last === undefined || last.ask.priority >= ask.priority) return [];
  return dropWaiting(
    state,
    last,
    'queue-full',
    'work of a higher priority needs the queue',
    0,
    now,
  );
}

function checkBounds(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { queue } = state;
  const own = countWaitingOf(queue, ask.callerId);
  const isLargest = findLargestCaller(queue) === ask.callerId && queue.countByCaller.size > 1;
  const isFull = queue.items.length >= MAX_WAITING;
  if (own >= MAX_WAITING_PER_CALLER || (isFull && isLargest)) {
    const detail = 'the caller has too many waiting requests';
    return [refuseAsk(ask, 'share-exceeded', detail, chooseRetryAt(state, 0, now))];
  }
  if (!isFull) return [];
  const detail = 'too many requests wait for this model';
  return [refuseAsk(ask, 'queue-full', detail, chooseRetryAt(state, 0, now))];
}

/** Gives up others until the request can start in time; empty if that is not enough. */
function displaceFor(state: ShardState, waiting: WaitingAsk, now: number): AllocatorAction[] {
  const displaced: WaitingAsk[] = [];
  let lateMs = Infinity;
  while (lateMs > 0 && displaced.length < MAX_DISPLACED) {
    const other = findDisplaceable(state, waiting, now);
    if (other === undefined) break;
    removeWaiting(state.queue, other);
    displaced.push(other);
    lateMs = predictLateMs(state, waiting, now);
  }
  for (const other of displaced) addWaiting(state.queue, other);
  if (lateMs > 0) return [];
  return displaced.flatMap((other) => {
    const isLower = other.ask.priority < waiting.ask.priority;
    const name = isLower ? 'deadline-unreachable' : 'share-exceeded';
    const detail = isLower ? 'work of a higher priority came first' : 'another caller is due';
    return dropWaiting(state, other, name, detail, 0, now);
  });
}

/** Admits an ask to the queue or refuses it at once. */
export function admitAsk(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { pool, queue } = state;
  const needsPrefill = ask.resumeFrom === undefined;
  const isServed =
    hasEligible(pool.decode, ask) && (!needsPrefill || hasEligible(pool.prefill, ask));
  if (!isServed) {
    const retryAt = chooseRetryAt(state, MIN_RETRY_MS, now);
    return [refuseAsk(ask, 'no-upstream', 'no engine can serve the request now', retryAt)];
  }
  const waiting = makeWaiting(state, ask, now);
  addDemand(state.demand, ask.priority, waiting.cost, now);
  const actions = queue.items.length < MAX_WAITING ? [] : makeRoom(state, ask, now);
  const outOfBounds = checkBounds(state, ask, now);
  if (outOfBounds.length > 0) return [...actions, ...outOfBounds];
  addWaiting(queue, waiting);
  addUsage(state.shares, ask.callerId, waiting.workTokens, now);
  const lateMs = predictLateMs(state, waiting, now);
  const isMeasured = state.estimates.prefill.samples >= MIN_SAMPLES;
  if (lateMs <= 0 || (!isMeasured && now < ask.firstTokenDeadline)) return actions;
  const displaced = displaceFor(state, waiting, now);
  if (displaced.length > 0) return [...actions, ...displaced];
  const detail = 'the latency targets cannot be met now';
  return [...actions, ...dropWaiting(state, waiting, 'deadline-unreachable', detail, lateMs, now)];
}

/** Refuses waiting requests whose deadlines cannot be met any more. */
export function shedHopeless(state: ShardState, now: number): AllocatorAction[] {
  const { items } = state.queue;
  if (items.length === 0) return [];
  const isMeasured = state.estimates.prefill.samples >= MIN_SAMPLES;
  const measureLateMs = (waiting: WaitingAsk, startAt: number) =>
    (isMeasured ? startAt : now) - findLastStartAt(state, waiting);
  const starts = predictStarts(state, now, (item, startAt) => measureLateMs(item, startAt) > 0);
  const hopeless: [WaitingAsk, number][] = [];
  for (const [position, waiting] of items.entries()) {
    const lateMs = measureLateMs(waiting, starts[position] ?? now);
    if (lateMs > 0) hopeless.push([waiting, lateMs]);
  }
  const actions: AllocatorAction[] = [];
  const detail = 'the latency targets cannot be met any more';
  for (const [waiting, lateMs] of hopeless) {
    actions.push(...dropWaiting(state, waiting, 'deadline-unreachable', detail, lateMs, now));
  }
  return actions;
}
