/**
 * Allocator of one shard: queues asks, reserves prefill engine, link and decode place together, and
 * refuses at once what cannot meet its deadlines. Times are milliseconds since the epoch.
 */

import {
  assertNever,
  type AttemptId,
  type EngineHold,
  type Incarnation,
  type LoadReport,
  type ReservationAsk,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import { admitAsk, shedHopeless } from './admission.js';
import type { AllocatorAction, AllocatorEvent } from './allocator-events.js';
import { removeIdleCallers } from './caller-shares.js';
import { countTakenPlaces, updateEngines, type Engine } from './engine-state.js';
import { checkGrant, checkState } from './invariants.js';
import { isMoveWanted, recordMove } from './moves.js';
import { findPlacement, hasReadyPrefill, type NoPlacement } from './placement.js';
import { applyCacheEvents, removeEnginePrefixes } from './prefix-knowledge.js';
import {
  adoptHeld,
  applyProgress,
  endAttempt,
  freeReservation,
  grantPlacement,
  recordEnded,
  sweepReservations,
} from './reservations.js';
import { refuseAsk } from './refusals.js';
import type { ShardState } from './shard-state.js';
import { judgeEngines } from './stragglers.js';
import { getFirstTokenDeadline, removeWaiting } from './waiting-queue.js';

const SWEEP_INTERVAL_MS = 1_000;
/** Waiting requests that may be passed over after one event. */
const MAX_FAILURES = 8;
/** One for which no decode place is free counts more: the next is hardly better off. */
const NO_DECODE_FAILURES = 4;
const PIECES_WEIGHT = 0.2;

function hasFreePlace(state: ShardState, now: number): boolean {
  const borrowed = state.objective.maxBorrowedPlaces;
  for (const engine of state.pool.decode) {
    if (countTakenPlaces(engine, now) < engine.places + borrowed) return true;
  }
  return false;
}

/** Grants the ask if it can start now, else says what is missing. */
function grantAsk(
  state: ShardState,
  ask: ReservationAsk,
  now: number,
): AllocatorAction[] | NoPlacement {
  if (now > Math.min(getFirstTokenDeadline(ask), ask.answerDeadline)) return 'no-prefill';
  const placement = findPlacement(state, ask, now);
  if (typeof placement === 'string') return placement;
  const action = grantPlacement(state, ask, placement, now);
  const reservation = state.reservationsByAttempt.get(ask.attemptId);
  if (reservation === undefined) return [action];
  return [action, ...checkGrant(state, reservation, now)];
}

/** Grants whatever can start now, in queue order; one that cannot holds up nobody else. */
function grantWaiting(state: ShardState, now: number): AllocatorAction[] {
  const actions: AllocatorAction[] = [];
  const { items } = state.queue;
  let position = 0;
  let failures = 0;
  while (position < items.length && failures < MAX_FAILURES && hasFreePlace(state, now)) {
    const waiting = items[position];
    if (waiting === undefined) break;
    const needsPrefill = waiting.ask.resumeFrom === undefined;
    if (needsPrefill && !hasReadyPrefill(state, now)) break;
    const granted = grantAsk(state, waiting.ask, now);
    if (typeof granted !== 'string') {
      removeWaiting(state.queue, waiting);
      actions.push(...granted);
      continue;
    }
    position += 1;
    failures += granted === 'no-decode' ? NO_DECODE_FAILURES : 1;
  }
  return actions;
}

/** Moves an attempt at once or not at all; its first reservation lives until its end is told. */
function handleMove(
  state: ShardState,
  ask: ReservationAsk,
  movesFrom: AttemptId,
  now: number,
): AllocatorAction[] {
  const live = state.reservationsByAttempt.get(movesFrom);
  const isWanted = live !== undefined && isMoveWanted(state, ask, live, now);
  const actions = isWanted ? grantAsk(state, ask, now) : 'no-decode';
  if (live === undefined || typeof actions === 'string') {
    return [refuseAsk(ask, 'no-upstream', 'the attempt is better off where it is')];
  }
  recordMove(state, ask, live, now);
  return actions;
}

function handleAsk(state: ShardState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const { attemptId } = ask;
  if (state.queue.byAttempt.has(attemptId) || state.endedUntil.has(attemptId)) return [];
  const live = state.reservationsByAttempt.get(attemptId);
  if (live !== undefined && now > live.ask.answerDeadline) return [];
  if (live !== undefined) return [{ kind: 'grant', ask: live.ask, grant: live.grant }];
  if (ask.movesFrom !== undefined) return handleMove(state, ask, ask.movesFrom, now);
  return [...admitAsk(state, ask, now), ...grantWaiting(state, now)];
}

function withdrawAsk(state: ShardState, attemptId: AttemptId, now: number): void {
  recordEnded(state, attemptId, now);
  const waiting = state.queue.byAttempt.get(attemptId);
  if (waiting !== undefined) removeWaiting(state.queue, waiting);
  const reservation = state.reservationsByAttempt.get(attemptId);
  if (reservation !== undefined) freeReservation(state, reservation, now);
}

function freeVm(state: ShardState, vmId: VmId, incarnation: Incarnation, now: number): void {
  const isOfVm = (ask: ReservationAsk) => ask.vmId === vmId && ask.incarnation <= incarnation;
  for (const waiting of [...state.queue.items]) {
    if (isOfVm(waiting.ask)) removeWaiting(state.queue, waiting);
  }
  for (const reservation of state.reservations.values()) {
    if (isOfVm(reservation.ask)) freeReservation(state, reservation, now);
  }
  state.reportingVms.delete(vmId);
}

function applyReport(engine: Engine, report: LoadReport): void {
  const isFirst = engine.report === undefined;
  if (!isFirst && (engine.report?.measuredAt ?? 0) > report.measuredAt) return;
  engine.report = report;
  if (report.role === 'decode' && report.decodePlaces > 0) engine.places = report.decodePlaces;
}

function learnPieces(state: ShardState, hold: EngineHold): void {
  const reservation = state.reservationsByAttempt.get(hold.owner.attemptId);
  if (reservation === undefined || hold.kind !== 'decode' || hold.pieces < 2) return;
  const tokens = reservation.ask.promptTokens + reservation.ask.maxTokens;
  const sample = tokens / hold.pieces;
  const { estimates } = state;
  if (estimates.tokensPerPiece === 0) estimates.tokensPerPiece = sample;
  estimates.tokensPerPiece += PIECES_WEIGHT * (sample - estimates.tokensPerPiece);
}

/** Counts holds that belong to no reservation as taken, until a later list lacks them. */
function applyHolds(
  state: ShardState,
  engine: Engine,
  holds: readonly EngineHold[],
  now: number,
): void {
  engine.unaccounted.clear();
  engine.unknownUntil = Math.min(engine.unknownUntil, now);
  for (const hold of holds) {
    learnPieces(state, hold);
    const { attemptId } = hold.owner;
    if (hold.kind !== 'decode' || state.endedUntil.has(attemptId)) continue;
    const live = state.reservationsByAttempt.get(attemptId);
    if (live?.decodeEngine === engine) continue;
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
    removeIdleCallers(state.shares, now);
  }
  judgeEngines(state, now);
  const actions = [...shedHopeless(state, now), ...grantWaiting(state, now)];
  return isSweepDue ? [...actions, ...checkState(state)] : actions;
}

/** Decides what to do about one event. */
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
      if (engine !== undefined) applyReport(engine, event.report);
      return [];
    }
    case 'cache-changed': {
      const engine = findEngine(state, event.upstreamId);
      if (engine !== undefined) applyCacheEvents(state.prefixes, engine, event.events);
      return [];
    }
    case 'holds-listed': {
      const engine = findEngine(state, event.upstreamId);
      if (engine !== undefined) applyHolds(state, engine, event.holds, now);
      return [];
    }
    case 'asked':
      return handleAsk(state, event.ask, now);
    case 'withdrawn':
      withdrawAsk(state, event.attemptId, now);
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
        adoptHeld(state, held, now);
      }
      return [];
    case 'vm-gone':
      freeVm(state, event.vmId, event.incarnation, now);
      return grantWaiting(state, now);
    case 'ticked':
      return runTick(state, now);
    default:
      return assertNever(event);
  }
}
