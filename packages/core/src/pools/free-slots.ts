/** Free slots of decode engines. */

import { findPermitTime } from '../routing/request-permits.js';
import { countUsableSlots, isServing, type EngineLoad } from './engine-load.js';
import { estimateAnswerTokens, type PoolState } from './pool-state.js';

/** Whether the limit that an engine may have named allows one more request now. */
export function hasPermit(
  { permits, keepsPermits }: PoolState,
  { engine }: EngineLoad,
  now: number,
): boolean {
  if (engine.requestsPerSecond === undefined) return true;
  return keepsPermits && findPermitTime(permits, engine, now) <= now;
}

/** Counts the free slots of decode engines that accept new work, as far as their memory allows. */
export function countFreeSlots(state: PoolState, now: number): number {
  const meanTokens = estimateAnswerTokens(state);
  let free = 0;
  for (const load of state.engines.values()) {
    if (!isServing(load, 'decode', now) || load.avoidUntil > now) continue;
    if (!hasPermit(state, load, now)) continue;
    free += Math.max(0, countUsableSlots(load, meanTokens) - load.runs.size);
  }
  return free;
}
