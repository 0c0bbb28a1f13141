/**
 * Drops waiting requests in favour of one of a higher priority or of a caller with less recent
 * usage.
 */

import type { ReservationRequest } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { measureOveruse } from '../shares/usage-shares.js';
import { predictDeadlineMissMs } from './deadline-misses.js';
import { getPoolSummary } from './pool-summary.js';
import { dropWaitingRequest } from './refusals.js';
import type { ShardState } from './shard-state.js';
import { addWaiting, removeWaiting, type WaitingRequest } from './waiting-queue.js';

/**
 * Another caller's request is displaced only if that caller leads by this many requests of the same
 * size.
 */
const MIN_OVERUSE_LEAD_REQUESTS = 3;
const MAX_DISPLACED = 4;
/** How many requests at the end of the queue are considered for displacement. */
const MAX_SCANNED_REQUESTS = 64;

function isDisplaceable(
  state: ShardState,
  other: WaitingRequest,
  waiting: WaitingRequest,
  now: number,
): boolean {
  if (other === waiting || other.ask.resumeFrom !== undefined) return false;
  if (other.ask.priority !== waiting.ask.priority) {
    return other.ask.priority < waiting.ask.priority;
  }
  if (other.ask.callerId === waiting.ask.callerId) return false;
  const overuseLeadTokens =
    measureOveruse(state.shares, other.ask.callerId, now) -
    measureOveruse(state.shares, waiting.ask.callerId, now);
  return overuseLeadTokens > MIN_OVERUSE_LEAD_REQUESTS * waiting.workTokens;
}

/** Finds the request to drop: the last one of the lowest priority. */
function findDisplaceable(
  state: ShardState,
  waiting: WaitingRequest,
  now: number,
): WaitingRequest | undefined {
  const { items } = state.queue;
  let found: WaitingRequest | undefined;
  const first = Math.max(0, items.length - MAX_SCANNED_REQUESTS);
  for (let position = items.length - 1; position >= first; position -= 1) {
    const other = items[position];
    if (other === undefined) continue;
    if (found !== undefined && other.ask.priority >= found.ask.priority) continue;
    if (isDisplaceable(state, other, waiting, now)) found = other;
  }
  return found;
}

/**
 * Drops other requests until this one can meet its deadlines; drops none and returns no actions if
 * that is not enough.
 */
export function dropOthersToAdmit(
  state: ShardState,
  waiting: WaitingRequest,
  ownMissMs: number,
  now: number,
): AllocatorAction[] {
  const engines = Math.max(1, getPoolSummary(state, now).prefillEngines);
  if (ownMissMs > (MAX_DISPLACED * waiting.prefillMs) / Math.min(engines, MAX_DISPLACED)) return [];
  const displaced: WaitingRequest[] = [];
  let missMs = ownMissMs;
  while (missMs > 0 && displaced.length < MAX_DISPLACED) {
    const other = findDisplaceable(state, waiting, now);
    if (other === undefined) break;
    removeWaiting(state.queue, other);
    displaced.push(other);
    missMs = predictDeadlineMissMs(state, waiting, now);
  }
  for (const other of displaced) addWaiting(state.queue, other);
  if (missMs > 0) return [];
  return displaced.flatMap((other) => {
    const hasLowerPriority = other.ask.priority < waiting.ask.priority;
    const name = hasLowerPriority ? 'deadline-unreachable' : 'share-exceeded';
    const detail = hasLowerPriority
      ? 'work of a higher priority came first'
      : 'a caller with less recent usage came first';
    return dropWaitingRequest(state, other, name, detail, 0, now);
  });
}

/** Drops one request of a lower priority if there is one, to admit this one to the full queue. */
export function makeQueueRoom(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] {
  let lowest: WaitingRequest | undefined;
  for (const other of state.queue.items) {
    if (lowest === undefined || other.ask.priority <= lowest.ask.priority) lowest = other;
  }
  if (lowest === undefined || lowest.ask.priority >= request.priority) return [];
  const detail = 'work of a higher priority displaced it from the full queue';
  return dropWaitingRequest(state, lowest, 'queue-full', detail, 0, now);
}
