/**
 * Predicts by how much a request would miss its deadlines. Times are milliseconds since the epoch.
 */

import {
  measureAdmissibleShare,
  measureCheaperShare,
  measureHigherPriorityShare,
} from './demand.js';
import type { QueueForecast } from './forecast-types.js';
import { getPoolSummary } from './pool-summary.js';
import type { ShardState } from './shard-state.js';
import { predictStarts } from './start-forecast.js';
import { findPosition, type WaitingRequest } from './waiting-queue.js';

/** Bound on the share of higher priorities, so that the predicted wait stays finite. */
const MAX_HIGHER_PRIORITY_SHARE = 0.9;
/**
 * Share of its slack that a request is predicted to wait: above the first, costly requests start to
 * be refused; from the second on, with full selectivity.
 */
const MIN_COSTLY_SLACK_USE = 0.2;
const FULL_COSTLY_SLACK_USE = 0.6;
/**
 * While higher priorities arrive, a request is admitted only if it can start within this share of
 * its slack.
 */
const DISPLACEABLE_SLACK_SHARE = 0.6;
const MIN_HIGHER_PRIORITY_SHARE = 0.02;
/** Longest queue that is forecast again for every request. */
const MAX_EXACT_QUEUE_LENGTH = 64;
/** How long a forecast of a long queue is reused. */
const MAX_AGE_MS = 10;

/**
 * Returns the latest start of a request that is already admitted: it may use up its safety margin.
 */
export function findLatestStartWithoutMargin(state: ShardState, waiting: WaitingRequest): number {
  return waiting.latestStartAt + waiting.prefillMs * state.objective.safetyMarginShare;
}

/**
 * Returns whether a request costs too much for the remaining capacity of the pool. Only requests
 * that would wait long are checked, so that no engine idles.
 */
function isTooCostly(
  state: ShardState,
  waiting: WaitingRequest,
  slackUse: number,
  now: number,
): boolean {
  const { selectivity } = state.objective;
  if (selectivity === 0 || slackUse <= MIN_COSTLY_SLACK_USE) return false;
  const { priority } = waiting.ask;
  const admissibleShare = measureAdmissibleShare(state.demand, priority, now);
  if (admissibleShare >= 1) return false;
  const ramp = (slackUse - MIN_COSTLY_SLACK_USE) / (FULL_COSTLY_SLACK_USE - MIN_COSTLY_SLACK_USE);
  const strictness = Math.min(1, ramp) * selectivity;
  return (
    measureCheaperShare(state.demand, priority, waiting.cost) >
    1 - strictness * (1 - admissibleShare)
  );
}

/**
 * Returns by how much (ms) a start misses the request's own deadlines; above zero also if it costs
 * too much.
 */
function measureOwnMissMs(
  state: ShardState,
  waiting: WaitingRequest,
  startAt: number,
  now: number,
): number {
  const higherPriorityShare = measureHigherPriorityShare(state.demand, waiting.ask.priority, now);
  const waitMs = (startAt - now) / (1 - Math.min(MAX_HIGHER_PRIORITY_SHARE, higherPriorityShare));
  const slackShare = higherPriorityShare > MIN_HIGHER_PRIORITY_SHARE ? DISPLACEABLE_SLACK_SHARE : 1;
  const allowedMs = (waiting.latestStartAt - now) * slackShare;
  if (waitMs > allowedMs) return waitMs - allowedMs;
  return isTooCostly(state, waiting, waitMs / allowedMs, now) ? waitMs : 0;
}

function predictExactMissMs(state: ShardState, waiting: WaitingRequest, now: number): number {
  const { items } = state.queue;
  const starts = predictStarts(state, now);
  const position = findPosition(state.queue, waiting);
  let missMs = measureOwnMissMs(state, waiting, starts[position] ?? Infinity, now);
  for (let behind = position + 1; behind < starts.length; behind += 1) {
    const other = items[behind];
    if (other === undefined || other.ask.priority < waiting.ask.priority) continue;
    missMs = Math.max(
      missMs,
      (starts[behind] ?? Infinity) - findLatestStartWithoutMargin(state, other),
    );
  }
  return missMs;
}

function makeForecast(state: ShardState, now: number): QueueForecast {
  const { items } = state.queue;
  const starts = predictStarts(state, now);
  const ranks = new Float64Array(items.length);
  const slacks = new Float64Array(items.length);
  let leastSlackMs = Infinity;
  for (let position = items.length - 1; position >= 0; position -= 1) {
    const item = items[position];
    if (item === undefined) continue;
    ranks[position] = item.rankAt;
    leastSlackMs = Math.min(
      leastSlackMs,
      findLatestStartWithoutMargin(state, item) - (starts[position] ?? now),
    );
    slacks[position] = leastSlackMs;
  }
  return { computedAt: now, ranks, starts, slacks };
}

function getForecast(state: ShardState, now: number): QueueForecast {
  const cached = state.forecast;
  if (cached !== undefined && Math.abs(now - cached.computedAt) < MAX_AGE_MS) return cached;
  const made = makeForecast(state, now);
  state.forecast = made;
  return made;
}

function findRankPosition(ranks: Float64Array, rankAt: number): number {
  let low = 0;
  let high = ranks.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((ranks[middle] ?? 0) <= rankAt) low = middle + 1;
    else high = middle;
  }
  return low;
}

function predictApproximateMissMs(state: ShardState, waiting: WaitingRequest, now: number): number {
  const { ranks, starts, slacks } = getForecast(state, now);
  const position = findRankPosition(ranks, waiting.rankAt);
  const startAt = starts[Math.min(position, starts.length - 1)] ?? now;
  const missMs = measureOwnMissMs(state, waiting, startAt, now);
  const delayMs = waiting.prefillMs / Math.max(1, getPoolSummary(state, now).prefillEngines);
  return Math.max(missMs, delayMs - (slacks[position] ?? Infinity));
}

/**
 * Predicts by how much (ms) the request, or one of at least its priority that it would delay,
 * misses its deadlines; at most zero if all can meet them.
 */
export function predictDeadlineMissMs(
  state: ShardState,
  waiting: WaitingRequest,
  now: number,
): number {
  return state.queue.items.length <= MAX_EXACT_QUEUE_LENGTH
    ? predictExactMissMs(state, waiting, now)
    : predictApproximateMissMs(state, waiting, now);
}
