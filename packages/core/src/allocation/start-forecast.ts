/**
 * Predicts when each waiting request starts its prefill: in queue order, each takes the engine that
 * is free first and the next decode slot that becomes free. Times are milliseconds since the epoch.
 */

import { DISPATCH_MS } from './engine-estimates.js';
import type { Engine } from './engine-state.js';
import { getPoolSummary } from './pool-summary.js';
import type { ShardState } from './shard-state.js';
import type { WaitingRequest } from './waiting-queue.js';

/** Sifts the root of a binary min-heap down to restore the heap order. */
function sinkRoot(heap: Float64Array): void {
  const { length } = heap;
  let parent = 0;
  for (;;) {
    let child = 2 * parent + 1;
    if (child >= length) return;
    if (child + 1 < length && (heap[child + 1] ?? 0) < (heap[child] ?? 0)) child += 1;
    const parentAt = heap[parent] ?? 0;
    const childAt = heap[child] ?? 0;
    if (parentAt <= childAt) return;
    heap[parent] = childAt;
    heap[child] = parentAt;
    parent = child;
  }
}

function canServe(engine: Engine, waiting: WaitingRequest): boolean {
  return engine.models.includes(waiting.ask.target.model);
}

function listPrefillFreeTimes(
  engines: readonly Engine[],
  waiting: WaitingRequest,
  now: number,
): Float64Array {
  const times: number[] = [];
  for (const engine of engines) {
    if (engine.isLeaving || engine.isSuspect || !canServe(engine, waiting)) continue;
    times.push(Math.max(now + DISPATCH_MS, engine.prefillsEndAt));
  }
  return Float64Array.from(times).sort();
}

/**
 * Predicts the start times of the waiting requests, in queue order; Infinity where no engine serves
 * one. A request for which `isDropped` returns true takes no engine time from those behind it.
 */
export function predictStarts(
  state: ShardState,
  now: number,
  isDropped: (waiting: WaitingRequest, startAt: number) => boolean = () => false,
): Float64Array {
  const { items } = state.queue;
  const starts = new Float64Array(items.length);
  const [first] = items;
  if (first === undefined) return starts;
  const freeTimes = listPrefillFreeTimes(state.pool.prefill, first, now);
  const { freePlaces: freeSlotCount, takenSlots } = getPoolSummary(state, now);
  // By Little's law, a slot becomes free once in this time.
  const msPerFreedSlot = state.estimates.slotOccupancy.meanMs / Math.max(1, takenSlots);
  let served = 0;
  for (const [position, waiting] of items.entries()) {
    const slotFreeAt = now + Math.max(0, served + 1 - freeSlotCount) * msPerFreedSlot;
    const earliestAt = slotFreeAt - waiting.prefillMs;
    if (waiting.ask.resumeFrom !== undefined) {
      starts[position] = slotFreeAt;
      served += 1;
      continue;
    }
    if (freeTimes.length === 0) {
      starts[position] = Infinity;
      continue;
    }
    const startAt = Math.max(freeTimes[0] ?? Infinity, earliestAt);
    starts[position] = startAt;
    if (isDropped(waiting, startAt)) continue;
    served += 1;
    freeTimes[0] = startAt + waiting.prefillMs;
    sinkRoot(freeTimes);
  }
  return starts;
}
