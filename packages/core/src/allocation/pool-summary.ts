/** Counts over a whole pool, kept for a few milliseconds since decisions come much more often. */

import { countTakenPlaces } from './engine-state.js';
import type { PoolSummary } from './forecast-types.js';
import type { ShardState } from './shard-state.js';

const KEPT_MS = 5;

function makeSummary(state: ShardState, now: number): PoolSummary {
  let prefillEngines = 0;
  for (const engine of state.pool.prefill) {
    if (!engine.isLeaving && !engine.isSuspect) prefillEngines += 1;
  }
  let decodeEngines = 0;
  let places = 0;
  let takenPlaces = 0;
  let freePlaces = 0;
  for (const engine of state.pool.decode) {
    if (engine.isLeaving || engine.isSuspect) continue;
    const taken = countTakenPlaces(engine, now);
    decodeEngines += 1;
    places += engine.places;
    takenPlaces += taken;
    freePlaces += Math.max(0, engine.places - taken);
  }
  return { madeAt: now, prefillEngines, decodeEngines, places, takenPlaces, freePlaces };
}

/** Returns counts that are at most a few milliseconds old. */
export function getPoolSummary(state: ShardState, now: number): PoolSummary {
  const known = state.summary;
  if (known !== undefined && Math.abs(now - known.madeAt) < KEPT_MS) return known;
  const made = makeSummary(state, now);
  state.summary = made;
  return made;
}
