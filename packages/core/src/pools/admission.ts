/** Decides which slot requests to refuse early, on arrival and while they wait. */

import {
  canMeetTarget,
  countFreeSlots,
  isServedBefore,
  isServedFirst,
  predictSpareStart,
} from './placing.js';
import { measureArrivalRate } from './rank-rates.js';
import {
  measureServiceRate,
  predictFirstEventMs,
  rememberRefused,
  isLikelyInterrupted,
  type PoolState,
  type WaitingSlotRequest,
} from './pool-state.js';
import { buildSlotForecast, takeStart } from './slot-forecast.js';
import type { SlotRequest, PoolAction, RefusalReason } from './pool-types.js';

const MS_PER_S = 1_000;
const MIN_RETRY_AFTER_MS = 700;
const MAX_RETRY_AFTER_MS = 4_500;
/**
 * Width of the random spread of retry times, relative to the computed time, so that callers do not
 * retry all at once.
 */
const RETRY_SPREAD = 0.5;
/** Spare rates below this count as none, in answers started per second. */
const MIN_SPARE_RATE = 0.25;
/** Factor on a predicted wait: answers that last longer than expected delay every later start. */
const WAIT_SAFETY_FACTOR = 1.1;

function countWaiting(state: PoolState, isCounted: (slotRequest: SlotRequest) => boolean): number {
  let count = 0;
  for (const { ask: slotRequest } of state.waiting.values()) {
    if (isCounted(slotRequest)) count += 1;
  }
  return count;
}

/**
 * Returns the answers per second that the pool can start beyond those for arrivals of the given
 * ranks that can meet their target.
 */
function measureSpareRate(state: PoolState, now: number, belowRank = Infinity): number {
  return measureServiceRate(state, now) - measureArrivalRate(state.ranks, now, belowRank);
}

/**
 * Computes when a refused caller should retry: once the requests of its own and higher ranks that
 * wait, and its own, can be served; in milliseconds.
 */
function computeRetryAfterMs(state: PoolState, slotRequest: SlotRequest, now: number): number {
  const { rank } = slotRequest;
  const spareRate = Math.max(MIN_SPARE_RATE, measureSpareRate(state, now, rank + 1));
  const ahead = countWaiting(state, (other) => other.rank <= rank);
  const waitMs = (MS_PER_S * (ahead + 1)) / spareRate;
  const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  const spread = 1 - RETRY_SPREAD / 2 + RETRY_SPREAD * state.takeFraction();
  return Math.min(MAX_RETRY_AFTER_MS, bounded * spread);
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
  return {
    kind: 'refuse',
    ask: slotRequest,
    reason,
    retryAfterMs:
      reason === 'vm-stops' ? OTHER_VM_RETRY_MS : computeRetryAfterMs(state, slotRequest, now),
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
  // Arrivals of higher ranks during the wait are served before this request as well.
  const ratePerMs = measureArrivalRate(state.ranks, now, slotRequest.rank) / MS_PER_S;
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
function isSpareStartLikely(state: PoolState, slotRequest: SlotRequest, now: number): boolean {
  const latestAt = slotRequest.patienceEndsAt - predictFirstEventMs(state, slotRequest);
  const ahead = countWaiting(
    state,
    (other) =>
      other !== slotRequest &&
      (isServedFirst(state, other, now) || other.patienceEndsAt <= slotRequest.patienceEndsAt),
  );
  const waitMs = predictSpareStart(state, slotRequest, ahead, now, latestAt) - now;
  return now + WAIT_SAFETY_FACTOR * waitMs <= latestAt;
}

/** Finds the reason to refuse a request that has just been queued; undefined if it may wait. */
export function findRefusal(
  state: PoolState,
  { ask: slotRequest }: WaitingSlotRequest,
  now: number,
): RefusalReason | undefined {
  // Engines have already prefilled the prompt or begun the answer: a refusal would waste that work.
  if (slotRequest.isContinued) return undefined;
  if (isOnTimeStartLikely(state, slotRequest, now)) return undefined;
  return isSpareStartLikely(state, slotRequest, now) ? undefined : 'overloaded';
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
