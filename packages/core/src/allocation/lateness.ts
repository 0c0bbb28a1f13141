/** Predicts whether a request would start too late. Times are milliseconds since the epoch. */

import { measureFit, measureShareAbove, rankCost } from './demand.js';
import type { QueueForecast } from './forecast-types.js';
import { getPoolSummary } from './pool-summary.js';
import type { ShardState } from './shard-state.js';
import { predictStarts } from './start-forecast.js';
import { findPosition, type WaitingAsk } from './waiting-queue.js';

const MAX_RESERVED_SHARE = 0.9;
/** Share of its slack that a request may wait before its cost matters, and from which it matters fully. */
const EASY_PRESSURE = 0.2;
const FULL_PRESSURE = 0.6;
/** Where greater priorities are in demand, a request is promised a start within this share of its slack. */
const DISPLACEABLE_SLACK_SHARE = 0.6;
const MIN_SHARE_ABOVE = 0.02;
/** Longest queue that is forecast anew for every ask. */
const MAX_EXACT = 64;
const KEPT_MS = 10;

/** Latest start of an admitted request: its safety margin may be used up. */
export function findLastStartAt(state: ShardState, waiting: WaitingAsk): number {
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
  const { selectivity } = state.objective;
  if (selectivity === 0 || pressure <= EASY_PRESSURE) return false;
  const { priority } = waiting.ask;
  const fit = measureFit(state.demand, priority, now);
  if (fit >= 1) return false;
  const ramp = (pressure - EASY_PRESSURE) / (FULL_PRESSURE - EASY_PRESSURE);
  const strictness = Math.min(1, ramp) * selectivity;
  return rankCost(state.demand, priority, waiting.cost) > 1 - strictness * (1 - fit);
}

/** How late a start is for the request itself; above zero also if it costs too much. */
function measureOwnLateMs(
  state: ShardState,
  waiting: WaitingAsk,
  startAt: number,
  now: number,
): number {
  const above = measureShareAbove(state.demand, waiting.ask.priority, now);
  const waitMs = (startAt - now) / (1 - Math.min(MAX_RESERVED_SHARE, above));
  const slackShare = above > MIN_SHARE_ABOVE ? DISPLACEABLE_SLACK_SHARE : 1;
  const allowedMs = (waiting.latestStartAt - now) * slackShare;
  if (waitMs > allowedMs) return waitMs - allowedMs;
  return isTooCostly(state, waiting, waitMs / allowedMs, now) ? waitMs : 0;
}

function predictExactLateMs(state: ShardState, waiting: WaitingAsk, now: number): number {
  const { items } = state.queue;
  const starts = predictStarts(state, now);
  const position = findPosition(state.queue, waiting);
  let lateMs = measureOwnLateMs(state, waiting, starts[position] ?? Infinity, now);
  for (let behind = position + 1; behind < starts.length; behind += 1) {
    const other = items[behind];
    if (other === undefined || other.ask.priority < waiting.ask.priority) continue;
    lateMs = Math.max(lateMs, (starts[behind] ?? Infinity) - findLastStartAt(state, other));
  }
  return lateMs;
}

function makeForecast(state: ShardState, now: number): QueueForecast {
  const { items } = state.queue;
  const starts = predictStarts(state, now);
  const ranks = new Float64Array(items.length);
  const slacks = new Float64Array(items.length);
  let least = Infinity;
  for (let position = items.length - 1; position >= 0; position -= 1) {
    const item = items[position];
    if (item === undefined) continue;
    ranks[position] = item.rankAt;
    least = Math.min(least, findLastStartAt(state, item) - (starts[position] ?? now));
    slacks[position] = least;
  }
  return { madeAt: now, ranks, starts, slacks };
}

function getForecast(state: ShardState, now: number): QueueForecast {
  const known = state.forecast;
  if (known !== undefined && Math.abs(now - known.madeAt) < KEPT_MS) return known;
  const made = makeForecast(state, now);
  state.forecast = made;
  return made;
}

function findRank(ranks: Float64Array, rankAt: number): number {
  let low = 0;
  let high = ranks.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((ranks[middle] ?? 0) <= rankAt) low = middle + 1;
    else high = middle;
  }
  return low;
}

function predictRoughLateMs(state: ShardState, waiting: WaitingAsk, now: number): number {
  const { ranks, starts, slacks } = getForecast(state, now);
  const position = findRank(ranks, waiting.rankAt);
  const startAt = starts[Math.min(position, starts.length - 1)] ?? now;
  const lateMs = measureOwnLateMs(state, waiting, startAt, now);
  const delayMs = waiting.prefillMs / Math.max(1, getPoolSummary(state, now).prefillEngines);
  return Math.max(lateMs, delayMs - (slacks[position] ?? Infinity));
}

/**
 * How late the request, or one of its priority that it would push back, is predicted to start; at most
 * zero if none is late.
 */
export function predictLateMs(state: ShardState, waiting: WaitingAsk, now: number): number {
  return state.queue.items.length <= MAX_EXACT
    ? predictExactLateMs(state, waiting, now)
    : predictRoughLateMs(state, waiting, now);
}
