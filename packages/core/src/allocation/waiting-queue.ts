/**
 * Queue of requests that wait for engines, ordered by latest start; each level of priority ranks a
 * request as if it had to start a fixed time earlier. Times are milliseconds since the epoch.
 */

import type { AttemptId, CallerId, ReservationRequest } from '@tarragonspool/protocol';
import type { WorkCost } from './demand.js';

/** One waiting request with its predicted needs. */
export type WaitingRequest = {
  readonly ask: ReservationRequest;
  readonly sequence: number;
  readonly arrivedAt: number;
  /** Sort key: the latest start, earlier by priority and later for a caller above its share. */
  readonly rankAt: number;
  /**
   * Latest start of the prefill that meets both deadlines with the safety margin. For a request
   * with an earlier attempt: latest start that meets the answer deadline, without the margin.
   */
  readonly latestStartAt: number;
  readonly prefillMs: number;
  readonly workTokens: number;
  readonly cost: WorkCost;
};

/** All waiting requests, in queue order. */
export type WaitingQueue = {
  readonly items: WaitingRequest[];
  readonly byAttempt: Map<AttemptId, WaitingRequest>;
  readonly countByCaller: Map<CallerId, number>;
};

/** Most requests that may wait on one shard. */
export const MAX_WAITING_REQUESTS = 4_096;

/**
 * Returns the deadline of the first token. After a failed attempt this is the answer deadline,
 * since only the complete answer can still meet its target.
 */
export function getFirstTokenDeadline(request: ReservationRequest): number {
  const isFirstAttempt = request.resumeFrom === undefined && request.excluded.length === 0;
  return isFirstAttempt ? request.firstTokenDeadline : request.answerDeadline;
}

/** Makes an empty queue. */
export function makeWaitingQueue(): WaitingQueue {
  return { items: [], byAttempt: new Map(), countByCaller: new Map() };
}

/** Returns whether `a` is served before `b`. */
function isBefore(a: WaitingRequest, b: WaitingRequest): boolean {
  if (a.rankAt !== b.rankAt) return a.rankAt < b.rankAt;
  return a.sequence < b.sequence;
}

/** Finds the position at which a request is or would be inserted. */
export function findPosition(queue: WaitingQueue, waiting: WaitingRequest): number {
  let low = 0;
  let high = queue.items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const item = queue.items[middle];
    if (item !== undefined && isBefore(item, waiting)) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Adds a request at its position. */
export function addWaiting(queue: WaitingQueue, waiting: WaitingRequest): void {
  const { attemptId, callerId } = waiting.ask;
  queue.items.splice(findPosition(queue, waiting), 0, waiting);
  queue.byAttempt.set(attemptId, waiting);
  queue.countByCaller.set(callerId, (queue.countByCaller.get(callerId) ?? 0) + 1);
}

/** Removes a request; returns false if it was not in the queue. */
export function removeWaiting(queue: WaitingQueue, waiting: WaitingRequest): boolean {
  const { attemptId, callerId } = waiting.ask;
  if (queue.byAttempt.get(attemptId) !== waiting) return false;
  queue.byAttempt.delete(attemptId);
  queue.items.splice(findPosition(queue, waiting), 1);
  const count = (queue.countByCaller.get(callerId) ?? 1) - 1;
  if (count > 0) queue.countByCaller.set(callerId, count);
  else queue.countByCaller.delete(callerId);
  return true;
}

/** Counts the waiting requests of one caller. */
export function countWaitingOfCaller(queue: WaitingQueue, callerId: CallerId): number {
  return queue.countByCaller.get(callerId) ?? 0;
}
