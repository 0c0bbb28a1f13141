/**
 * Requests that wait for places, by latest start: each level of priority puts a request before those
 * that must start some time sooner. Times are milliseconds since the epoch.
 */

import type { AttemptId, CallerId, ReservationAsk } from '@tarragonspool/protocol';
import type { WorkCost } from './demand.js';

/** One request that waits. */
export type WaitingAsk = {
  readonly ask: ReservationAsk;
  readonly sequence: number;
  readonly arrivedAt: number;
  /** Position in the queue: latest start, sooner by priority and later beyond a caller's share. */
  readonly rankAt: number;
  /** Latest start of the prefill that meets both deadlines. */
  readonly latestStartAt: number;
  readonly prefillMs: number;
  readonly workTokens: number;
  readonly cost: WorkCost;
};

/** All requests that wait, in order. */
export type WaitingQueue = {
  readonly items: WaitingAsk[];
  readonly byAttempt: Map<AttemptId, WaitingAsk>;
  readonly countByCaller: Map<CallerId, number>;
};

/** Most requests that may wait. */
export const MAX_WAITING = 4_096;

/** When the first token is due. After a failed attempt, the whole answer is what is left to save. */
export function getFirstTokenDeadline(ask: ReservationAsk): number {
  const isFirstAttempt = ask.resumeFrom === undefined && ask.excluded.length === 0;
  return isFirstAttempt ? ask.firstTokenDeadline : ask.answerDeadline;
}

/** Makes an empty queue. */
export function makeWaitingQueue(): WaitingQueue {
  return { items: [], byAttempt: new Map(), countByCaller: new Map() };
}

/** Whether `a` is served before `b`. */
function isBefore(a: WaitingAsk, b: WaitingAsk): boolean {
  if (a.rankAt !== b.rankAt) return a.rankAt < b.rankAt;
  return a.sequence < b.sequence;
}

/** Finds where a request stands or would stand. */
export function findPosition(queue: WaitingQueue, waiting: WaitingAsk): number {
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

/** Adds a request. */
export function addWaiting(queue: WaitingQueue, waiting: WaitingAsk): void {
  const { attemptId, callerId } = waiting.ask;
  queue.items.splice(findPosition(queue, waiting), 0, waiting);
  queue.byAttempt.set(attemptId, waiting);
  queue.countByCaller.set(callerId, (queue.countByCaller.get(callerId) ?? 0) + 1);
}

/** Removes a request; false if it was not there. */
export function removeWaiting(queue: WaitingQueue, waiting: WaitingAsk): boolean {
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
export function countWaitingOf(queue: WaitingQueue, callerId: CallerId): number {
  return queue.countByCaller.get(callerId) ?? 0;
}
