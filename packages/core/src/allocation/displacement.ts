/** Gives up waiting requests for one of a greater priority, or of a caller that is due. */

import type { ReservationAsk } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { measureOveruse } from './caller-shares.js';
import { predictLateMs } from './lateness.js';
import { getPoolSummary } from './pool-summary.js';
import { dropWaiting } from './refusals.js';
import type { ShardState } from './shard-state.js';
import { addWaiting, removeWaiting, type WaitingAsk } from './waiting-queue.js';

/** Requests of the asker's size by which another caller must be ahead to be displaced. */
const MIN_DISPLACED_LEAD = 3;
const MAX_DISPLACED = 4;
/** Requests at the end of the queue among which the one to give up is looked for. */
const MAX_SCANNED = 64;

function isDisplaceable(
  state: ShardState,
  other: WaitingAsk,
  waiting: WaitingAsk,
  now: number,
): boolean {
  if (other === waiting || other.ask.resumeFrom !== undefined) return false;
  if (other.ask.priority !== waiting.ask.priority) {
    return other.ask.priority < waiting.ask.priority;
  }
  if (other.ask.callerId === waiting.ask.callerId) return false;
  const lead =
    measureOveruse(state.shares, other.ask.callerId, now) -
    measureOveruse(state.shares, waiting.ask.callerId, now);
  return lead > MIN_DISPLACED_LEAD * waiting.workTokens;
}

/** Finds the request to give up: of the lowest priority, and of those the last. */
function findDisplaceable(
  state: ShardState,
  waiting: WaitingAsk,
  now: number,
): WaitingAsk | undefined {
  const { items } = state.queue;
  let found: WaitingAsk | undefined;
  const first = Math.max(0, items.length - MAX_SCANNED);
  for (let position = items.length - 1; position >= first; position -= 1) {
    const other = items[position];
    if (other === undefined) continue;
    if (found !== undefined && other.ask.priority >= found.ask.priority) continue;
    if (isDisplaceable(state, other, waiting, now)) found = other;
  }
  return found;
}

/** Gives up others until the request can start in time; empty if that is not enough. */
export function dropOthersFor(
  state: ShardState,
  waiting: WaitingAsk,
  neededMs: number,
  now: number,
): AllocatorAction[] {
  const engines = Math.max(1, getPoolSummary(state, now).prefillEngines);
  if (neededMs > (MAX_DISPLACED * waiting.prefillMs) / Math.min(engines, MAX_DISPLACED)) return [];
  const displaced: WaitingAsk[] = [];
  let lateMs = neededMs;
  while (lateMs > 0 && displaced.length < MAX_DISPLACED) {
    const other = findDisplaceable(state, waiting, now);
    if (other === undefined) break;
    removeWaiting(state.queue, other);
    displaced.push(other);
    lateMs = predictLateMs(state, waiting, now);
  }
  for (const other of displaced) addWaiting(state.queue, other);
  if (lateMs > 0) return [];
  return displaced.flatMap((other) => {
    const isLower = other.ask.priority < waiting.ask.priority;
    const name = isLower ? 'deadline-unreachable' : 'share-exceeded';
    const detail = isLower ? 'work of a higher priority came first' : 'another caller is due';
    return dropWaiting(state, other, name, detail, 0, now);
  });
}

/** Gives up one request of a lower priority where the queue is full. */
export function makeRoom(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  let lowest: WaitingAsk | undefined;
  for (const other of state.queue.items) {
    if (lowest === undefined || other.ask.priority <= lowest.ask.priority) lowest = other;
  }
  if (lowest === undefined || lowest.ask.priority >= ask.priority) return [];
  const detail = 'work of a higher priority needs the queue';
  return dropWaiting(state, lowest, 'queue-full', detail, 0, now);
}
