/**
 * Decides on arrival whether a reservation request can meet its deadlines. One that cannot is
 * refused before any work is done. One that was admitted is refused later only if its deadlines
 * have become unreachable, or if a request of a higher priority or of a caller with less recent
 * usage displaces it.
 */

import type { ReservationRequest } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { addUsage } from '../shares/usage-shares.js';
import { addDemand } from './demand.js';
import { dropOthersToAdmit, makeQueueRoom } from './displacement.js';
import { MIN_SAMPLES_TO_REFUSE } from './engine-estimates.js';
import { type Engine, isEligible } from './engine-state.js';
import { findLatestStartWithoutMargin, predictDeadlineMissMs } from './deadline-misses.js';
import { chooseRetryAt, dropWaitingRequest, refuseRequest } from './refusals.js';
import { findLargestCaller, type ShardState } from './shard-state.js';
import { predictStarts } from './start-forecast.js';
import { makeWaitingRequest } from './waiting-request.js';
import {
  addWaiting,
  countWaitingOfCaller,
  getFirstTokenDeadline,
  MAX_WAITING_REQUESTS,
  type WaitingRequest,
} from './waiting-queue.js';

const MAX_WAITING_REQUESTS_PER_CALLER = 1_024;

function hasEligibleEngine(engines: readonly Engine[], request: ReservationRequest): boolean {
  for (const engine of engines) {
    if (isEligible(engine, request)) return true;
  }
  return false;
}

function checkServingEngines(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] {
  const { pool } = state;
  const needsPrefill = request.resumeFrom === undefined;
  const hasPrefillEngine = !needsPrefill || hasEligibleEngine(pool.prefill, request);
  if (hasPrefillEngine && hasEligibleEngine(pool.decode, request)) return [];
  const detail = 'no engine can serve the request now';
  return [refuseRequest(request, 'no-upstream', detail, chooseRetryAt(state, 0, now))];
}

function checkQueueBounds(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] {
  const { queue } = state;
  const ownCount = countWaitingOfCaller(queue, request.callerId);
  const isFull = queue.items.length >= MAX_WAITING_REQUESTS;
  const isLargestCaller =
    isFull && queue.countByCaller.size > 1 && findLargestCaller(queue) === request.callerId;
  if (ownCount >= MAX_WAITING_REQUESTS_PER_CALLER || isLargestCaller) {
    const detail = 'the caller has too many waiting requests';
    return [refuseRequest(request, 'share-exceeded', detail, chooseRetryAt(state, 0, now))];
  }
  if (!isFull) return [];
  const detail = 'too many requests wait for this model';
  return [refuseRequest(request, 'queue-full', detail, chooseRetryAt(state, 0, now))];
}

/** Admits a request to the queue, or refuses it immediately. */
export function admitRequest(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] {
  const { queue } = state;
  const unservedRefusals = checkServingEngines(state, request, now);
  if (unservedRefusals.length > 0) return unservedRefusals;
  const waiting = makeWaitingRequest(state, request, now);
  addDemand(state.demand, request.priority, waiting.cost, now);
  const actions =
    queue.items.length < MAX_WAITING_REQUESTS ? [] : makeQueueRoom(state, request, now);
  const boundRefusals = checkQueueBounds(state, request, now);
  if (boundRefusals.length > 0) return [...actions, ...boundRefusals];
  addWaiting(queue, waiting);
  addUsage(state.shares, request.callerId, waiting.workTokens, now);
  const missMs = predictDeadlineMissMs(state, waiting, now);
  const isRateMeasured = state.estimates.prefill.samples >= MIN_SAMPLES_TO_REFUSE;
  if (missMs <= 0 || (!isRateMeasured && now < getFirstTokenDeadline(request))) return actions;
  const displacementActions = dropOthersToAdmit(state, waiting, missMs, now);
  if (displacementActions.length > 0) return [...actions, ...displacementActions];
  const detail = 'the latency targets cannot be met now';
  return [
    ...actions,
    ...dropWaitingRequest(state, waiting, 'deadline-unreachable', detail, missMs, now),
  ];
}

/** Refuses waiting requests that can no longer meet their deadlines. */
export function shedUnreachable(state: ShardState, now: number): AllocatorAction[] {
  const { items } = state.queue;
  if (items.length === 0) return [];
  const isRateMeasured = state.estimates.prefill.samples >= MIN_SAMPLES_TO_REFUSE;
  const measureMissMs = (waiting: WaitingRequest, startAt: number) =>
    (isRateMeasured ? startAt : now) - findLatestStartWithoutMargin(state, waiting);
  const starts = predictStarts(state, now, (item, startAt) => measureMissMs(item, startAt) > 0);
  const unreachable: [WaitingRequest, number][] = [];
  for (const [position, waiting] of items.entries()) {
    const missMs = measureMissMs(waiting, starts[position] ?? now);
    if (missMs > 0) unreachable.push([waiting, missMs]);
  }
  const actions: AllocatorAction[] = [];
  const detail = 'the latency targets cannot be met any more';
  for (const [waiting, missMs] of unreachable) {
    actions.push(
      ...dropWaitingRequest(state, waiting, 'deadline-unreachable', detail, missMs, now),
    );
  }
  return actions;
}
