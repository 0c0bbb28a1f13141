/**
 * Forecasts when each waiting request starts its prefill: every one in turn takes the engine that is
 * free first, and a decode place as places come free. Times are milliseconds since the epoch.
 */

import { HOP_MS } from './engine-estimates.js';
import type { Engine } from './engine-state.js';
import { getPoolSummary } from './pool-summary.js';
import type { ShardState } from './shard-state.js';
import type { WaitingAsk } from './waiting-queue.js';

/** Moves the root of a binary heap to where it belongs. */
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

function canServe(engine: Engine, waiting: WaitingAsk): boolean {
  return engine.models.includes(waiting.ask.target.model);
}

function listFreeTimes(engines: readonly Engine[], sample: WaitingAsk, now: number): Float64Array {
  const times: number[] = [];
  for (const engine of engines) {
    if (engine.isLeaving || engine.isSuspect || !canServe(engine, sample)) continue;
    times.push(Math.max(now + HOP_MS, engine.freeAt));
  }
  return Float64Array.from(times).sort();
}

/**
 * Start times of the waiting requests, in queue order; Infinity where no engine serves one. One for
 * which `isDropped` holds takes no time from those behind it.
 */
export function predictStarts(
  state: ShardState,
  now: number,
  isDropped: (waiting: WaitingAsk, startAt: number) => boolean = () => false,
): Float64Array {
  const { items } = state.queue;
  const starts = new Float64Array(items.length);
  const [first] = items;
  if (first === undefined) return starts;
  const heap = listFreeTimes(state.pool.prefill, first, now);
  const { freePlaces, takenPlaces } = getPoolSummary(state, now);
  // By Little's law, this is how often a place comes free.
  const msPerPlace = state.estimates.hold.meanMs / Math.max(1, takenPlaces);
  let served = 0;
  for (const [position, waiting] of items.entries()) {
    const placeAt = now + Math.max(0, served + 1 - freePlaces) * msPerPlace;
    const earliestAt = placeAt - waiting.prefillMs;
    if (waiting.ask.resumeFrom !== undefined) {
      starts[position] = placeAt;
      served += 1;
      continue;
    }
    if (heap.length === 0) {
      starts[position] = Infinity;
      continue;
    }
    const startAt = Math.max(heap[0] ?? Infinity, earliestAt);
    starts[position] = startAt;
    if (isDropped(waiting, startAt)) continue;
    served += 1;
    heap[0] = startAt + waiting.prefillMs;
    sinkRoot(heap);
  }
  return starts;
}
