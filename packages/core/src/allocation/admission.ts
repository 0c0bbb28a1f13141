/**
 * Decides at once whether a request can meet its deadlines. One that cannot is refused before any
 * work; one that was admitted is refused later only if work of a higher priority displaced it.
 */

import type { ReservationAsk } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { addUsage } from './caller-shares.js';
import { addDemand } from './demand.js';
import { dropOthersFor, makeRoom } from './displacement.js';
import { MIN_SAMPLES } from './engine-estimates.js';
import { isEligible, type Engine } from './engine-state.js';
import { findLastStartAt, predictLateMs } from './lateness.js';
import { chooseRetryAt, dropWaiting, refuseAsk } from './refusals.js';
import { findLargestCaller, type ShardState } from './shard-state.js';
import { predictStarts } from './start-forecast.js';
import { makeWaiting } from './waiting-ask.js';
import {
  addWaiting,
  countWaitingOf,
  getFirstTokenDeadline,
  MAX_WAITING,
  type WaitingAsk,
} from './waiting-queue.js';

const MAX_WAITING_PER_CALLER = 1_024;

function hasEligible(engines: readonly Engine[], ask: ReservationAsk): boolean {
  for (const engine of engines) {
    if (isEligible(engine, ask)) return true;
  }
  return false;
}

function checkServed(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { pool } = state;
  const needsPrefill = ask.resumeFrom === undefined;
  const hasPrefill = !needsPrefill || hasEligible(pool.prefill, ask);
  if (hasPrefill && hasEligible(pool.decode, ask)) return [];
  const detail = 'no engine can serve the request now';
  return [refuseAsk(ask, 'no-upstream', detail, chooseRetryAt(state, 0, now))];
}

function checkBounds(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { queue } = state;
  const own = countWaitingOf(queue, ask.callerId);
  const isFull = queue.items.length >= MAX_WAITING;
  const isLargest =
    isFull && queue.countByCaller.size > 1 && findLargestCaller(queue) === ask.callerId;
  if (own >= MAX_WAITING_PER_CALLER || isLargest) {
    const detail = 'the caller has too many waiting requests';
    return [refuseAsk(ask, 'share-exceeded', detail, chooseRetryAt(state, 0, now))];
  }
  if (!isFull) return [];
  const detail = 'too many requests wait for this model';
  return [refuseAsk(ask, 'queue-full', detail, chooseRetryAt(state, 0, now))];
}

/** Admits an ask to the queue or refuses it at once. */
export function admitAsk(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { queue } = state;
  const unserved = checkServed(state, ask, now);
  if (unserved.length > 0) return unserved;
  const waiting = makeWaiting(state, ask, now);
  addDemand(state.demand, ask.priority, waiting.cost, now);
  const actions = queue.items.length < MAX_WAITING ? [] : makeRoom(state, ask, now);
  const outOfBounds = checkBounds(state, ask, now);
  if (outOfBounds.length > 0) return [...actions, ...outOfBounds];
  addWaiting(queue, waiting);
  addUsage(state.shares, ask.callerId, waiting.workTokens, now);
  const lateMs = predictLateMs(state, waiting, now);
  const isMeasured = state.estimates.prefill.samples >= MIN_SAMPLES;
  if (lateMs <= 0 || (!isMeasured && now < getFirstTokenDeadline(ask))) return actions;
  const displaced = dropOthersFor(state, waiting, lateMs, now);
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
