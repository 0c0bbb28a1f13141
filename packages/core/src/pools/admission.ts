/** Decides which slot requests to refuse early, on arrival and while they wait. */

import { countFreeSlots } from './placing.js';
import { measureArrivalRate } from './rank-rates.js';
import { addReturn, countReturns } from './retry-returns.js';
import {
  countSlots,
  measureServiceRate,
  predictFirstEventMs,
  rememberRefused,
  isLikelyInterrupted,
  type PoolState,
} from './pool-state.js';
import {
  canMeetTarget,
  compareSpareOrder,
  isServedBefore,
  isServedFirst,
} from './service-order.js';
import { predictSpareStart } from './spare-slots.js';
import { buildSlotForecast, takeStart } from './slot-forecast.js';
import { measureArrivalsBefore } from './tenant-shares.js';
import type { SlotRequest, PoolAction, RefusalReason } from './pool-types.js';

const MS_PER_S = 1_000;
/** Bounds of Retry-After for callers that are refused for lack of slots. */
const MIN_RETRY_AFTER_MS = 700;
const MAX_RETRY_AFTER_MS = 4_500;
/** Callers wait no longer after a refusal than this share of the time until their last deadline. */
const MAX_RETRY_SHARE = 1 / 3;
/**
 * Callers whose turn would come later are spread over up to this share of that time, so that they do
 * not retry all at once.
 */
const MAX_RETRY_SPREAD = 0.5;
/** They are spread over all of it once the callers told to come back number this share of the slots. */
const FULL_SPREAD_SHARE = 0.1;
/** Random part of a retry time, for the same reason. */
const RETRY_JITTER = 0.2;
/** Spare slots are searched for no further ahead than this. */
const RETRY_SEARCH_MS = 10_000;
/**
 * Factor on the predicted wait of a request that is to be on time: the forecast is right on average,
 * so that without it half of those at the edge of their target would be decided a second time.
 */
const WAIT_SAFETY_FACTOR = 1.05;
/** Time before the caller's deadline by which a request that waits for a spare slot must start. */
const SPARE_MARGIN_MS = 300;
/** Interval at which it is decided again whether a request that waits for a spare slot may go on waiting. */
const REVIEW_INTERVAL_MS = 500;

function countWaiting(state: PoolState, isCounted: (slotRequest: SlotRequest) => boolean): number {
  let count = 0;
  for (const { ask: slotRequest } of state.waiting.values()) {
    if (isCounted(slotRequest)) count += 1;
  }
  return count;
}

/**
 * Computes when a refused caller should retry, in milliseconds: once a spare slot is expected after
 * the requests of its own and higher ranks that wait, and after the refused callers whose
 * Retry-After ends earlier. Callers wait no longer than a share of the time until their last deadline.
 */
function computeRetryAfterMs(state: PoolState, slotRequest: SlotRequest, now: number): number {
  const { rank, deadlineAt = Infinity } = slotRequest;
  const returns = countReturns(state.returns, rank, now);
  const ahead = countWaiting(state, (other) => other.rank <= rank) + returns;
  const limitAt = now + RETRY_SEARCH_MS;
  const search = { ahead, belowRank: rank + 1, expectsBurstEnd: true, limitAt };
  const spareMs = predictSpareStart(state, slotRequest, search, now) - now;
  const limitMs = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, MAX_RETRY_SHARE * (deadlineAt - now)),
  );
  const fraction = state.takeFraction();
  const turnMs = Math.max(MIN_RETRY_AFTER_MS, spareMs) * (1 + RETRY_JITTER * fraction);
  if (turnMs <= limitMs) return turnMs;
  const latestMs = limitMs * (1 - (RETRY_JITTER * limitMs) / Math.min(RETRY_SEARCH_MS, turnMs));
  const spread =
    MAX_RETRY_SPREAD *
    Math.min(1, returns / (FULL_SPREAD_SHARE * Math.max(1, countSlots(state, now))));
  return latestMs * (1 - spread * fraction);
}

/** Another VM can take the caller's retry at once. */
const OTHER_VM_RETRY_MS = 200;

/** Builds the refusal of a slot request, and records it so that a retry is recognized. */
export function buildRefusal(
  state: PoolState,
  slotRequest: SlotRequest,
  reason: RefusalReason,
  now: number,
): PoolAction {
  rememberRefused(state, slotRequest, now);
  const retryAfterMs =
    reason === 'vm-stops' ? OTHER_VM_RETRY_MS : computeRetryAfterMs(state, slotRequest, now);
  addReturn(state.returns, slotRequest.rank, now + retryAfterMs, now);
  return {
    kind: 'refuse',
    ask: slotRequest,
    reason,
    retryAfterMs,
    freePlaces: countFreeSlots(state, now),
    waiting: state.waiting.size,
    freshRate: measureArrivalRate(state.ranks, now),
    serviceRate: measureServiceRate(state, now),
  };
}

/**
 * Predicts when a request that can still meet its target starts, after those that are served before
 * it; the search ends at `limitAt`.
 */
function predictStart(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
  limitAt: number,
): number {
  const forecast = buildSlotForecast(state, slotRequest, now);
  for (const { ask: other } of state.waiting.values()) {
    if (other === slotRequest || !isServedFirst(state, other, now)) continue;
    if (isServedBefore(state, other, slotRequest, now)) takeStart(forecast, other);
  }
  // Arrivals of higher ranks, and of tenants that use less, are served before it during the wait.
  const ratePerMs =
    (measureArrivalRate(state.ranks, now, slotRequest.rank) +
      measureArrivalsBefore(state.tenants, slotRequest, now)) /
    MS_PER_S;
  const typical = { promptTokens: state.promptTokens, needsPrefill: true };
  let startAt = takeStart(forecast, slotRequest);
  for (let passed = 1; passed <= ratePerMs * (startAt - now); passed += 1) {
    if (startAt > limitAt) break;
    startAt = takeStart(forecast, typical);
  }
  return startAt;
}

/** Whether a request that waits is expected to meet its target. */
function isOnTimeStartLikely(state: PoolState, slotRequest: SlotRequest, now: number): boolean {
  if (!canMeetTarget(state, slotRequest, now)) return false;
  const latestAt = slotRequest.aimAt - predictFirstEventMs(state, slotRequest);
  const waitMs = predictStart(state, slotRequest, now, latestAt) - now;
  return now + WAIT_SAFETY_FACTOR * waitMs <= latestAt;
}

/** Whether spare slots are expected to reach a request before its caller's deadline. */
function isSpareStartLikely(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
  isWaiting: boolean,
): boolean {
  const firstEventMs = predictFirstEventMs(state, slotRequest);
  const latestAt = slotRequest.patienceEndsAt - SPARE_MARGIN_MS - firstEventMs;
  const ahead = countWaiting(
    state,
    (other) =>
      other !== slotRequest &&
      (isServedFirst(state, other, now) || compareSpareOrder(state, other, slotRequest, now) <= 0),
  );
  // A short rise of arrivals does not refuse a request that has been let wait.
  const search = { ahead, expectsBurstEnd: isWaiting, limitAt: latestAt };
  return predictSpareStart(state, slotRequest, search, now) <= latestAt;
}

/** Finds the reason to refuse a request that waits; undefined if it may wait on. */
export function findRefusal(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
  isWaiting = false,
): RefusalReason | undefined {
  // Engines have already prefilled the prompt or begun the answer: a refusal would waste that work.
  if (slotRequest.isContinued) return undefined;
  if (isOnTimeStartLikely(state, slotRequest, now)) return undefined;
  return isSpareStartLikely(state, slotRequest, now, isWaiting) ? undefined : 'overloaded';
}

/** Whether an engine of the pool may decode a request, as far as its version goes. */
export function hasDecodeEngine(state: PoolState, { softwareVersion }: SlotRequest): boolean {
  for (const { engine } of state.engines.values()) {
    if (engine.stage !== 'decode' || engine.isLeaving) continue;
    if ((softwareVersion ?? engine.softwareVersion) === engine.softwareVersion) return true;
  }
  return false;
}

/** Refuses the waiting requests that no engine of the pool may decode any more. */
export function refuseWithoutEngine(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (const { ask: slotRequest } of state.waiting.values()) {
    if (hasDecodeEngine(state, slotRequest)) continue;
    state.waiting.delete(slotRequest.askId);
    actions.push(buildRefusal(state, slotRequest, 'no-engine', now));
  }
  return actions;
}

/**
 * Refuses the waiting requests whose answers would not end before their VM stops; callers retry at
 * another VM.
 */
export function refuseInterrupted(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (const { ask: slotRequest } of state.waiting.values()) {
    if (!isLikelyInterrupted(state, slotRequest, now)) continue;
    state.waiting.delete(slotRequest.askId);
    actions.push(buildRefusal(state, slotRequest, 'vm-stops', now));
  }
  return actions;
}

/**
 * Refuses the waiting requests that have lost their chance to be on time, or still have none, and
 * are not expected to get a spare slot before the caller's deadline.
 */
export function refuseUnservable(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (const waiting of state.waiting.values()) {
    const { ask: slotRequest } = waiting;
    if (canMeetTarget(state, slotRequest, now)) continue;
    if (!waiting.wasOnTime && now - waiting.decidedAt < REVIEW_INTERVAL_MS) continue;
    const reason = findRefusal(state, slotRequest, now, !waiting.wasOnTime);
    waiting.wasOnTime = false;
    waiting.decidedAt = now;
    if (reason === undefined) continue;
    state.waiting.delete(slotRequest.askId);
    actions.push(buildRefusal(state, slotRequest, reason, now));
  }
  return actions;
}

/**
 * Refuses the waiting requests that can no longer get a first event before the caller's deadline.
 */
export function refuseExpired(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (const { ask: slotRequest } of state.waiting.values()) {
    if (now + predictFirstEventMs(state, slotRequest) <= slotRequest.patienceEndsAt) continue;
    state.waiting.delete(slotRequest.askId);
    actions.push(buildRefusal(state, slotRequest, 'waited-too-long', now));
  }
  return actions;
}
