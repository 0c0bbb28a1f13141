/** Makes, follows and ends reservations, and learns from them. */

import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  HeldReservation,
  ReservationAsk,
  ReservationGrant,
  ReservationId,
} from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import {
  addAnswerSample,
  addHoldSample,
  addRateSample,
  HOP_MS,
  OVERHEAD_MS,
} from './engine-estimates.js';
import { scheduleEngine, type Engine, type Reservation } from './engine-state.js';
import { addGrantedWork } from './move-budget.js';
import { countPieces, type Placement } from './placement.js';
import { addCacheSample, addGrantedPrefixes } from './prefix-knowledge.js';
import type { ShardState } from './shard-state.js';
import { notifyDecodeProgress, notifyPrefillEnd } from './stragglers.js';

const GRANT_START_MS = 1_000;
/** How long a message about an ended attempt may still be under way. */
const LATE_MESSAGE_MS = 10_000;
/** After its answer deadline, an attempt that nobody ended is over. */
const EXPIRY_GRACE_MS = 2_000;
/** Waiting for the engine beyond this share of a prefill makes its time no use as a sample. */
const MAX_QUEUED_SHARE = 0.4;
const MIN_SAMPLE_TOKENS = 16;

function addReservation(state: ShardState, reservation: Reservation): void {
  const { grant, prefillEngine, decodeEngine, stage } = reservation;
  state.reservations.set(grant.reservationId, reservation);
  state.reservationsByAttempt.set(grant.attemptId, reservation);
  if (decodeEngine !== undefined) {
    decodeEngine.unaccounted.delete(grant.attemptId);
    decodeEngine.streams.set(grant.reservationId, reservation);
    decodeEngine.piecesHeld += reservation.pieces;
    if (stage === 'decode') decodeEngine.decoding += 1;
  }
  if (prefillEngine === undefined || stage !== 'prefill') return;
  prefillEngine.prefills.push(reservation);
  scheduleEngine(prefillEngine, HOP_MS);
}

function makeGrant(
  state: ShardState,
  ask: ReservationAsk,
  placement: Placement,
  now: number,
): ReservationGrant {
  const { decodeEngine, prefillEngine, firstTokenAt, stepMs } = placement;
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return {
    reservationId: `${state.options.vmId}-${Math.floor(now)}-${sequence}` as ReservationId,
    attemptId: ask.attemptId,
    prefill: prefillEngine?.upstreamId ?? ask.resumeFrom ?? decodeEngine.upstreamId,
    decode: decodeEngine.upstreamId,
    prefillAt: now,
    startDeadline: now + GRANT_START_MS,
    predictedFirstTokenAt: Math.ceil(firstTokenAt),
    predictedAnswerAt: Math.ceil(firstTokenAt + (ask.maxTokens - 1) * stepMs),
  };
}

/** Reserves a placement and builds its grant. */
export function grantPlacement(
  state: ShardState,
  ask: ReservationAsk,
  placement: Placement,
  now: number,
): AllocatorAction {
  const { prefillEngine, decodeEngine } = placement;
  const grant = makeGrant(state, ask, placement, now);
  addReservation(state, {
    ask,
    grant,
    grantedAt: now,
    prefillEngine,
    decodeEngine,
    pieces: placement.pieces,
    expectedCachedTokens: placement.expectedCachedTokens,
    prefillMs: placement.prefillMs,
    usualPrefillMs: placement.usualPrefillMs,
    linkWaitMs: placement.linkWaitMs,
    prefillStartAt: now,
    prefillEndAt: placement.prefillEndAt,
    stage: prefillEngine === undefined ? 'import' : 'prefill',
    tokens: 0,
    movedAt: now,
    isEnded: false,
  });
  if (prefillEngine !== undefined) {
    prefillEngine.linkFreeAt = placement.importEndAt;
    addGrantedWork(state.moves, ask.promptTokens - placement.expectedCachedTokens);
    addGrantedPrefixes(state.prefixes, prefillEngine, ask.prefixes);
  }
  return { kind: 'grant', ask, grant };
}

/** Takes over a reservation that an earlier allocator granted. */
export function adoptHeld(state: ShardState, held: HeldReservation, now: number): void {
  const { ask, grant, stage, tokens } = held;
  if (state.reservationsByAttempt.has(grant.attemptId)) return;
  if (state.endedUntil.has(grant.attemptId)) return;
  const prefillMs = Math.max(0, grant.predictedFirstTokenAt - grant.prefillAt);
  addReservation(state, {
    ask,
    grant,
    grantedAt: Math.min(now, grant.prefillAt),
    prefillEngine: ask.resumeFrom === undefined ? state.pool.byId.get(grant.prefill) : undefined,
    decodeEngine: state.pool.byId.get(grant.decode),
    pieces: countPieces(state, ask),
    expectedCachedTokens: 0,
    prefillMs,
    usualPrefillMs: prefillMs,
    linkWaitMs: 0,
    prefillStartAt: grant.prefillAt,
    prefillEndAt: grant.prefillAt + prefillMs,
    stage,
    tokens,
    movedAt: now,
    isEnded: false,
  });
}

function endPrefill(reservation: Reservation, endedAt: number): void {
  const engine = reservation.prefillEngine;
  if (engine === undefined) return;
  notifyPrefillEnd(engine, reservation, endedAt);
  const position = engine.prefills.indexOf(reservation);
  if (position < 0) return;
  engine.prefills.splice(position, 1);
  engine.idleAt = Math.max(engine.idleAt, endedAt);
  scheduleEngine(engine, HOP_MS);
}

/** Follows one attempt; messages that are late or about an unknown attempt change nothing. */
export function applyProgress(state: ShardState, item: AttemptProgress, now: number): void {
  const reservation = state.reservations.get(item.reservationId);
  if (reservation === undefined || reservation.grant.attemptId !== item.attemptId) return;
  state.reportingVms.add(reservation.ask.vmId);
  const movedAt = Math.min(now, item.movedAt);
  if (item.stage === 'prefill') return;
  if (reservation.stage === 'prefill') {
    endPrefill(reservation, movedAt);
    reservation.stage = 'import';
    reservation.movedAt = movedAt;
  }
  if (item.stage === 'import') return;
  const { decodeEngine } = reservation;
  if (reservation.stage === 'import') {
    reservation.stage = 'decode';
    reservation.movedAt = movedAt;
    if (decodeEngine !== undefined) decodeEngine.decoding += 1;
  }
  if (decodeEngine !== undefined) {
    notifyDecodeProgress(state, decodeEngine, reservation, item.tokens, movedAt);
  }
  reservation.tokens = Math.max(reservation.tokens, item.tokens);
  reservation.movedAt = Math.max(reservation.movedAt, movedAt);
}

function freePrefill(engine: Engine, reservation: Reservation, now: number): void {
  const position = engine.prefills.indexOf(reservation);
  if (position < 0) return;
  engine.prefills.splice(position, 1);
  if (reservation.prefillStartAt <= now) engine.idleAt = Math.max(engine.idleAt, now + HOP_MS);
  scheduleEngine(engine, HOP_MS);
}

/** Frees everything that a reservation holds; a second call changes nothing. */
export function freeReservation(state: ShardState, reservation: Reservation, now: number): void {
  if (reservation.isEnded) return;
  reservation.isEnded = true;
  const { grant, prefillEngine, decodeEngine } = reservation;
  state.reservations.delete(grant.reservationId);
  if (state.reservationsByAttempt.get(grant.attemptId) === reservation) {
    state.reservationsByAttempt.delete(grant.attemptId);
  }
  if (prefillEngine !== undefined) freePrefill(prefillEngine, reservation, now);
  if (decodeEngine === undefined || !decodeEngine.streams.delete(grant.reservationId)) return;
  decodeEngine.piecesHeld -= reservation.pieces;
  if (reservation.stage === 'decode') decodeEngine.decoding -= 1;
}

function learnPrefill(
  state: ShardState,
  reservation: Reservation,
  end: AttemptEnd,
  now: number,
): void {
  const { prefillEngine, ask } = reservation;
  if (prefillEngine === undefined || end.prefillMs === undefined) return;
  const cachedTokens = end.cachedTokens ?? 0;
  addCacheSample(state.prefixes, prefillEngine, reservation.expectedCachedTokens, cachedTokens);
  const computed = ask.promptTokens - cachedTokens;
  const queuedMs = Math.max(0, reservation.prefillStartAt - reservation.grantedAt - HOP_MS);
  const isClear = queuedMs <= end.prefillMs * MAX_QUEUED_SHARE;
  if (!isClear || computed < MIN_SAMPLE_TOKENS || prefillEngine.isSuspect) return;
  const ms = Math.max(1, end.prefillMs - queuedMs - OVERHEAD_MS);
  addRateSample(state.estimates.prefill, computed / ms, now);
}

function learnFromEnd(
  state: ShardState,
  reservation: Reservation,
  end: AttemptEnd,
  now: number,
): void {
  const { estimates } = state;
  learnPrefill(state, reservation, end, now);
  const { ask } = reservation;
  if (end.importMs !== undefined && ask.promptTokens >= MIN_SAMPLE_TOKENS) {
    const ms = Math.max(1, end.importMs - OVERHEAD_MS - reservation.linkWaitMs);
    addRateSample(estimates.link, ask.promptTokens / ms, now);
  }
  if (end.outcome !== 'answered') return;
  addAnswerSample(estimates, end.tokens, ask.maxTokens);
  addHoldSample(estimates, now - reservation.grantedAt);
}

/** Remembers that an attempt is over, so that late messages about it change nothing. */
export function recordEnded(state: ShardState, attemptId: AttemptId, now: number): void {
  state.endedUntil.set(attemptId, now + LATE_MESSAGE_MS);
  for (const engine of state.pool.decode) engine.unaccounted.delete(attemptId);
}

/** Ends an attempt; messages that arrive twice or late change nothing. */
export function endAttempt(state: ShardState, end: AttemptEnd, now: number): void {
  recordEnded(state, end.attemptId, now);
  const reservation =
    state.reservations.get(end.reservationId) ?? state.reservationsByAttempt.get(end.attemptId);
  if (reservation === undefined) return;
  if (end.prefillMs !== undefined && reservation.stage === 'prefill') {
    endPrefill(reservation, Math.min(now, reservation.grantedAt + HOP_MS + end.prefillMs));
  }
  learnFromEnd(state, reservation, end, now);
  freeReservation(state, reservation, now);
}

/** Frees reservations whose end never arrived. */
export function sweepReservations(state: ShardState, now: number): void {
  for (const reservation of state.reservations.values()) {
    if (now <= reservation.ask.answerDeadline + EXPIRY_GRACE_MS) continue;
    freeReservation(state, reservation, now);
  }
  for (const { unaccounted } of state.pool.decode) {
    for (const [attemptId, { deadline }] of unaccounted) {
      if (now > deadline + EXPIRY_GRACE_MS) unaccounted.delete(attemptId);
    }
  }
  for (const [attemptId, until] of state.endedUntil) {
    if (until <= now) state.endedUntil.delete(attemptId);
  }
}
