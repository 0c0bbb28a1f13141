/**
 * Decides on asks for requests that already have a live attempt: an entry VM wants to move it away
 * from an engine that does not come on. Grants or refuses at once; a move never waits in the queue.
 */

import type { ReservationAsk } from '@tarragonspool/protocol';
import { predictStepMs } from './engine-estimates.js';
import type { Engine, Reservation } from './engine-state.js';
import type { ShardState } from './shard-state.js';

const SILENT_STEPS = 2;
const MIN_SILENCE_MS = 40;
/** Whether streams of the engine have stopped while the pool goes on. */
function isStalled(state: ShardState, engine: Engine, now: number): boolean {
  if (engine.isSuspect) return true;
  const stepMs = predictStepMs(state.estimates, Math.max(1, engine.decoding));
  if (now - engine.lastMovedAt < Math.max(MIN_SILENCE_MS, SILENT_STEPS * stepMs)) return false;
  let active = 0;
  let moving = 0;
  for (const other of state.pool.decode) {
    if (other === engine || other.decoding === 0) continue;
    active += 1;
    if (other.lastMovedAt > engine.lastMovedAt) moving += 1;
  }
  return moving * 2 >= active;
}

/** Whether the prefill has not begun, so that a move throws nothing away. */
function isQueued(engine: Engine, reservation: Reservation, now: number): boolean {
  const position = engine.prefills.indexOf(reservation);
  return position > 0 || (position === 0 && reservation.prefillStartAt > now);
}

function isPrefillMovable(state: ShardState, live: Reservation, now: number): boolean {
  const engine = live.prefillEngine;
  if (engine === undefined || live.stage !== 'prefill') return false;
  const isLate = now > live.prefillEndAt;
  if (!engine.isSuspect && !isLate) return false;
  if (isQueued(engine, live, now)) return true;
  const { grantedTokens, wastedTokens } = state.moves;
  const work = live.ask.promptTokens - live.expectedCachedTokens;
  return wastedTokens + work <= state.objective.maxWastedShare * grantedTokens;
}

/** Whether the move is worth more than waiting. */
export function isMoveWanted(
  state: ShardState,
  ask: ReservationAsk,
  live: Reservation,
  now: number,
): boolean {
  if (ask.resumeFrom === undefined) return isPrefillMovable(state, live, now);
  const engine = live.decodeEngine;
  return engine === undefined || isStalled(state, engine, now);
}

/** Records the work that a granted move throws away. */
export function recordMove(
  state: ShardState,
  ask: ReservationAsk,
  live: Reservation,
  now: number,
): void {
  const engine = live.prefillEngine;
  if (ask.resumeFrom !== undefined || engine === undefined || isQueued(engine, live, now)) return;
  state.moves.wastedTokens += live.ask.promptTokens - live.expectedCachedTokens;
}
