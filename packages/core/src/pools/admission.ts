/** Decides on arrival, and while an ask waits, whether it is refused now rather than later. */

import { countFreePlaces, isServedFirst, isInTime } from './placing.js';
import {
  measureFreshRate,
  measureServiceRate,
  predictFirstEventMs,
  rememberRefused,
  isLikelyCut,
  type PoolState,
  type WaitingAsk,
} from './pool-state.js';
import type { PlaceAsk, PoolAction, RefusalReason } from './pool-types.js';

const MS_PER_S = 1_000;
const MIN_RETRY_AFTER_MS = 700;
const MAX_RETRY_AFTER_MS = 4_500;
/** Callers that were refused together return over this share of the time. */
const RETRY_SPREAD = 0.5;
/** A leftover rate below this is none, in starts a second. */
const LEAST_LEFTOVER_RATE = 0.25;
/** Share of the predicted rate that a wait is reckoned with. */
const CAUTION = 0.9;

function countWaiting(state: PoolState, isCounted: (ask: PlaceAsk) => boolean): number {
  let count = 0;
  for (const { ask } of state.waiting.values()) {
    if (isCounted(ask)) count += 1;
  }
  return count;
}

function measureLeftoverRate(state: PoolState, now: number): number {
  return measureServiceRate(state, now) - measureFreshRate(state, now);
}

/** Computes when a refused caller finds room: after what waits and what else is refused. */
function computeRetryAfterMs(state: PoolState, now: number): number {
  const leftover = Math.max(LEAST_LEFTOVER_RATE, measureLeftoverRate(state, now));
  const waitMs = (MS_PER_S * (state.waiting.size + 1)) / leftover;
  const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  const spread = 1 - RETRY_SPREAD / 2 + RETRY_SPREAD * state.takeFraction();
  return Math.min(MAX_RETRY_AFTER_MS, bounded * spread);
}

/** Another VM takes the caller at once. */
const OTHER_VM_RETRY_MS = 200;

/** Makes the refusal of an ask. */
export function buildRefusal(
  state: PoolState,
  ask: PlaceAsk,
  reason: RefusalReason,
  now: number,
): PoolAction {
  rememberRefused(state, ask, now);
  return {
    kind: 'refuse',
    ask,
    reason,
    retryAfterMs: reason === 'vm-stops' ? OTHER_VM_RETRY_MS : computeRetryAfterMs(state, now),
    freePlaces: countFreePlaces(state, now),
    waiting: state.waiting.size,
    freshRate: measureFreshRate(state, now),
    serviceRate: measureServiceRate(state, now),
  };
}

/** Predicts the wait of an ask behind those that go first. */
function predictWaitMs(state: PoolState, ask: PlaceAsk, now: number): number {
  const rate = CAUTION * measureServiceRate(state, now);
  if (rate <= 0) return Infinity;
  if (isInTime(state, ask, now)) {
    const ahead = countWaiting(
      state,
      (other) => isServedFirst(state, other, now) && other.aimAt <= ask.aimAt,
    );
    return (MS_PER_S * ahead) / rate;
  }
  const leftover = CAUTION * measureLeftoverRate(state, now);
  if (leftover < LEAST_LEFTOVER_RATE) return Infinity;
  return (MS_PER_S * state.waiting.size) / leftover;
}

/** Finds the reason to refuse an ask that has just been put into the queue. */
export function findRefusal(
  state: PoolState,
  { ask }: WaitingAsk,
  now: number,
): RefusalReason | undefined {
  // Its prompt has been read, or it has run: a refusal now would waste that.
  if (ask.isContinued) return undefined;
  const firstEventMs = predictFirstEventMs(state, ask);
  const waitMs = predictWaitMs(state, ask, now);
  const isOnTime = isInTime(state, ask, now);
  const limitAt = isOnTime ? ask.aimAt : ask.patienceEndsAt;
  return now + waitMs + firstEventMs > limitAt ? 'overloaded' : undefined;
}

/** Refuses the asks that can no longer end before their VM stops; their callers come back elsewhere. */
export function refuseCut(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (const { ask } of state.waiting.values()) {
    if (!isLikelyCut(state, ask, now)) continue;
    state.waiting.delete(ask.askId);
    actions.push(buildRefusal(state, ask, 'vm-stops', now));
  }
  return actions;
}

/** Lists the asks that have waited so long that their caller is about to leave. */
export function refuseOverdue(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (const { ask } of state.waiting.values()) {
    if (now + predictFirstEventMs(state, ask) <= ask.patienceEndsAt) continue;
    state.waiting.delete(ask.askId);
    actions.push(buildRefusal(state, ask, 'waited-too-long', now));
  }
  return actions;
}
