/**
 * Decides whether a live attempt may be moved: an entry VM requests a move away from an engine that
 * makes no progress. A move is granted or refused immediately and never waits in the queue.
 */

import type { ReservationRequest } from '@tarragonspool/protocol';
import { predictStepMs } from './engine-estimates.js';
import type { Engine, Reservation } from './engine-state.js';
import type { ShardState } from './shard-state.js';

/** Steps, and at least milliseconds, without progress after which streams count as stalled. */
const STALLED_STEPS = 2;
const MOVE_STALL_MS = 40;

/**
 * Returns whether the engine's streams have stopped while at least half of the other active engines
 * make progress.
 */
function isStalled(state: ShardState, engine: Engine, now: number): boolean {
  if (engine.isSuspect) return true;
  const stepMs = predictStepMs(state.estimates, Math.max(1, engine.decodingStreams));
  if (now - engine.lastProgressAt < Math.max(MOVE_STALL_MS, STALLED_STEPS * stepMs)) return false;
  let active = 0;
  let progressing = 0;
  for (const other of state.pool.decode) {
    if (other === engine || other.decodingStreams === 0) continue;
    active += 1;
    if (other.lastProgressAt > engine.lastProgressAt) progressing += 1;
  }
  return progressing * 2 >= active;
}

/** Returns whether the prefill has not started, so that a move wastes no work. */
function isQueued(engine: Engine, current: Reservation, now: number): boolean {
  const position = engine.prefills.indexOf(current);
  return position > 0 || (position === 0 && current.prefillStartAt > now);
}

function isPrefillMovable(state: ShardState, current: Reservation, now: number): boolean {
  const engine = current.prefillEngine;
  if (engine === undefined || current.stage !== 'prefill') return false;
  const isOverdue = now > current.prefillEndAt;
  if (!engine.isSuspect && !isOverdue) return false;
  if (isQueued(engine, current, now)) return true;
  const { grantedTokens, wastedTokens } = state.moves;
  const computedTokens = current.ask.promptTokens - current.expectedCachedTokens;
  return wastedTokens + computedTokens <= state.objective.maxWastedShare * grantedTokens;
}

/** Returns whether a move is expected to be better than waiting. */
export function isMoveWorthwhile(
  state: ShardState,
  move: ReservationRequest,
  current: Reservation,
  now: number,
): boolean {
  if (move.resumeFrom === undefined) return isPrefillMovable(state, current, now);
  const engine = current.decodeEngine;
  return engine === undefined || isStalled(state, engine, now);
}

/** Adds the work that a granted move wastes to the budget. */
export function recordMove(
  state: ShardState,
  move: ReservationRequest,
  moved: Reservation,
  now: number,
): void {
  const engine = moved.prefillEngine;
  if (move.resumeFrom !== undefined || engine === undefined || isQueued(engine, moved, now)) return;
  state.moves.wastedTokens += moved.ask.promptTokens - moved.expectedCachedTokens;
}
