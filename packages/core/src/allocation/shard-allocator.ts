/**
 * Allocator of one shard: queues requests, reserves prefill engine, link and decode slot together,
 * and immediately refuses requests that cannot meet their deadlines. Times are milliseconds since
 * the epoch.
 */

import {
  assertNever,
  type AttemptId,
  type EngineHold,
  type Incarnation,
  type LoadReport,
  type ReservationRequest,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import { admitRequest, shedUnreachable } from './admission.js';
import type { AllocatorAction, AllocatorEvent } from './allocator-events.js';
import { removeIdleUsers } from '../shares/usage-shares.js';
import { countTakenSlots, type Engine, updateEngines } from './engine-state.js';
import { checkGrant, checkState } from './invariants.js';
import { isMoveWorthwhile, recordMove } from './moves.js';
import { findPlacement, hasReadyPrefill, type NoPlacement } from './placement.js';
import { applyCacheEvents, removeEnginePrefixes } from './prefix-index.js';
import {
  adoptReservation,
  applyProgress,
  endAttempt,
  freeReservation,
  grantPlacement,
  recordEndedAttempt,
  sweepReservations,
} from './reservations.js';
import { refuseRequest } from './refusals.js';
import type { ShardState } from './shard-state.js';
import { updateSuspects } from './stragglers.js';
import { getFirstTokenDeadline, removeWaiting } from './waiting-queue.js';

const SWEEP_INTERVAL_MS = 1_000;
/** How many waiting requests may be skipped after one event. */
const MAX_SKIPS = 8;
/**
 * A request without a free decode slot counts as this many skips, since the next one is unlikely to
 * find a slot.
 */
const NO_DECODE_SKIPS = 4;
const TOKENS_PER_PIECE_SAMPLE_WEIGHT = 0.2;

function hasFreeSlot(state: ShardState, now: number): boolean {
  const borrowableSlots = state.objective.maxBorrowedSlots;
  for (const engine of state.pool.decode) {
    if (countTakenSlots(engine, now) < engine.slots + borrowableSlots) return true;
  }
  return false;
}

/** Grants the request if it can start now, else returns what is missing. */
function grantRequest(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] | NoPlacement {
  if (now > Math.min(getFirstTokenDeadline(request), request.answerDeadline)) return 'no-prefill';
  const placement = findPlacement(state, request, now);
  if (typeof placement === 'string') return placement;
  const action = grantPlacement(state, request, placement, now);
  const reservation = state.reservationsByAttempt.get(request.attemptId);
  if (reservation === undefined) return [action];
  return [action, ...checkGrant(state, reservation, now)];
}

/**
 * Grants all waiting requests that can start now, in queue order; one that cannot does not block
 * those behind it.
 */
function grantWaiting(state: ShardState, now: number): AllocatorAction[] {
  const actions: AllocatorAction[] = [];
  const { items } = state.queue;
  let position = 0;
  let skips = 0;
  while (position < items.length && skips < MAX_SKIPS && hasFreeSlot(state, now)) {
    const waiting = items[position];
    if (waiting === undefined) break;
    const needsPrefill = waiting.ask.resumeFrom === undefined;
    if (needsPrefill && !hasReadyPrefill(state, now)) break;
    const granted = grantRequest(state, waiting.ask, now);
    if (typeof granted !== 'string') {
      removeWaiting(state.queue, waiting);
      actions.push(...granted);
      continue;
    }
    position += 1;
    skips += granted === 'no-decode' ? NO_DECODE_SKIPS : 1;
  }
  return actions;
}

/**
 * Grants or refuses a move immediately; the first reservation lasts until the end of its attempt is
 * reported.
 */
function handleMove(
  state: ShardState,
  request: ReservationRequest,
  movesFrom: AttemptId,
  now: number,
): AllocatorAction[] {
  const reservation = state.reservationsByAttempt.get(movesFrom);
  const isWorthwhile =
    reservation !== undefined && isMoveWorthwhile(state, request, reservation, now);
  const actions = isWorthwhile ? grantRequest(state, request, now) : 'no-decode';
  if (reservation === undefined || typeof actions === 'string') {
    return [refuseRequest(request, 'no-upstream', 'no better engine is available for the attempt')];
  }
  recordMove(state, request, reservation, now);
  return actions;
}

function handleReservationRequest(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] {
  const { attemptId } = request;
  if (state.queue.byAttempt.has(attemptId) || state.endedAttempts.has(attemptId)) return [];
  const granted = state.reservationsByAttempt.get(attemptId);
  if (granted !== undefined && now > granted.ask.answerDeadline) return [];
  if (granted !== undefined) return [{ kind: 'grant', ask: granted.ask, grant: granted.grant }];
  if (request.movesFrom !== undefined) return handleMove(state, request, request.movesFrom, now);
  return [...admitRequest(state, request, now), ...grantWaiting(state, now)];
}

function withdrawRequest(state: ShardState, attemptId: AttemptId, now: number): void {
  recordEndedAttempt(state, attemptId, now);
  const waiting = state.queue.byAttempt.get(attemptId);
  if (waiting !== undefined) removeWaiting(state.queue, waiting);
  const reservation = state.reservationsByAttempt.get(attemptId);
  if (reservation !== undefined) freeReservation(state, reservation, now);
}

function freeVmReservations(
  state: ShardState,
  vmId: VmId,
  incarnation: Incarnation,
  now: number,
): void {
  const isOfVm = (request: ReservationRequest) =>
    request.vmId === vmId && request.incarnation <= incarnation;
  for (const waiting of [...state.queue.items]) {
    if (isOfVm(waiting.ask)) removeWaiting(state.queue, waiting);
  }
  for (const reservation of state.reservations.values()) {
    if (isOfVm(reservation.ask)) freeReservation(state, reservation, now);
  }
  state.reportingVms.delete(vmId);
}

function applyLoadReport(engine: Engine, report: LoadReport): void {
  const isFirst = engine.report === undefined;
  if (!isFirst && (engine.report?.measuredAt ?? 0) > report.measuredAt) return;
  engine.report = report;
  if (report.role === 'decode' && report.decodePlaces > 0) engine.slots = report.decodePlaces;
}

function updateTokensPerPiece(state: ShardState, hold: EngineHold): void {
  const reservation = state.reservationsByAttempt.get(hold.owner.attemptId);
  if (reservation === undefined || hold.kind !== 'decode' || hold.pieces < 2) return;
  const tokens = reservation.ask.promptTokens + reservation.ask.maxTokens;
  const sample = tokens / hold.pieces;
  const { estimates } = state;
  if (estimates.tokensPerPiece === 0) estimates.tokensPerPiece = sample;
  estimates.tokensPerPiece += TOKENS_PER_PIECE_SAMPLE_WEIGHT * (sample - estimates.tokensPerPiece);
}

/** Counts decode holds without a reservation as taken, until a later list does not contain them. */
function applyListedHolds(
  state: ShardState,
  engine: Engine,
  holds: readonly EngineHold[],
  now: number,
): void {
  engine.unaccounted.clear();
  engine.rebuildEndsAt = Math.min(engine.rebuildEndsAt, now);
  for (const hold of holds) {
    updateTokensPerPiece(state, hold);
    const { attemptId } = hold.owner;
    if (hold.kind !== 'decode' || state.endedAttempts.has(attemptId)) continue;
    const reservation = state.reservationsByAttempt.get(attemptId);
    if (reservation?.decodeEngine === engine) continue;
    const { pieces, owner } = hold;
    engine.unaccounted.set(attemptId, { pieces, deadline: owner.deadline });
  }
}

function findEngine(state: ShardState, upstreamId: UpstreamId): Engine | undefined {
  return state.pool.byId.get(upstreamId);
}

function runTick(state: ShardState, now: number): AllocatorAction[] {
  const isSweepDue = now >= state.sweptAt + SWEEP_INTERVAL_MS;
  if (isSweepDue) {
    state.sweptAt = now;
    sweepReservations(state, now);
    removeIdleUsers(state.shares, now);
  }
  updateSuspects(state, now);
  const actions = [...shedUnreachable(state, now), ...grantWaiting(state, now)];
  return isSweepDue ? [...actions, ...checkState(state)] : actions;
}

/** Applies one event to a shard and returns the actions that follow from it. */
export function handleShardEvent(state: ShardState, event: AllocatorEvent): AllocatorAction[] {
  const { now } = event;
  switch (event.kind) {
    case 'engines-listed':
      for (const engine of updateEngines(state.pool, event.engines, now)) {
        removeEnginePrefixes(state.prefixes, engine);
      }
      return grantWaiting(state, now);
    case 'load-reported': {
      const engine = findEngine(state, event.upstreamId);
      if (engine !== undefined) applyLoadReport(engine, event.report);
      return [];
    }
    case 'cache-changed': {
      const engine = findEngine(state, event.upstreamId);
      if (engine !== undefined) applyCacheEvents(state.prefixes, engine, event.events);
      return [];
    }
    case 'holds-listed': {
      const engine = findEngine(state, event.upstreamId);
      if (engine !== undefined) applyListedHolds(state, engine, event.holds, now);
      return [];
    }
    case 'asked':
      return handleReservationRequest(state, event.ask, now);
    case 'withdrawn':
      withdrawRequest(state, event.attemptId, now);
      return grantWaiting(state, now);
    case 'progressed':
      for (const item of event.items) applyProgress(state, item, now);
      return grantWaiting(state, now);
    case 'attempt-ended':
      for (const end of event.items) endAttempt(state, end, now);
      return grantWaiting(state, now);
    case 'held-announced':
      for (const held of event.items) {
        const waiting = state.queue.byAttempt.get(held.grant.attemptId);
        if (waiting !== undefined) removeWaiting(state.queue, waiting);
        adoptReservation(state, held, now);
      }
      return [];
    case 'vm-gone':
      freeVmReservations(state, event.vmId, event.incarnation, now);
      return grantWaiting(state, now);
    case 'ticked':
      return runTick(state, now);
    default:
      return assertNever(event);
  }
}
