/**
 * Totals over a whole pool, cached for a few milliseconds because decisions are much more frequent.
 */

import { countTakenSlots } from './engine-state.js';
import type { PoolSummary } from './forecast-types.js';
import type { ShardState } from './shard-state.js';

const SUMMARY_MAX_AGE_MS = 5;

function makeSummary(state: ShardState, now: number): PoolSummary {
  let prefillEngines = 0;
  for (const engine of state.pool.prefill) {
    if (!engine.isLeaving && !engine.isSuspect) prefillEngines += 1;
  }
  let decodeEngines = 0;
  let slots = 0;
  let takenSlots = 0;
  let freeSlotCount = 0;
  for (const engine of state.pool.decode) {
    if (engine.isLeaving || engine.isSuspect) continue;
    const taken = countTakenSlots(engine, now);
    decodeEngines += 1;
    slots += engine.slots;
    takenSlots += taken;
    freeSlotCount += Math.max(0, engine.slots - taken);
  }
  return {
    computedAt: now,
    prefillEngines,
    decodeEngines,
    slots,
    takenSlots,
    freePlaces: freeSlotCount,
  };
}

/** Returns totals that are less than `SUMMARY_MAX_AGE_MS` old. */
export function getPoolSummary(state: ShardState, now: number): PoolSummary {
  const cached = state.summary;
  if (cached !== undefined && Math.abs(now - cached.computedAt) < SUMMARY_MAX_AGE_MS) return cached;
  const made = makeSummary(state, now);
  state.summary = made;
  return made;
}
