/** Creates, tracks and frees reservations, and updates the pool's estimates from their results. */

import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  HeldReservation,
  ReservationRequest,
  ReservationGrant,
  ReservationId,
} from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import {
  addAnswerSample,
  addRateSample,
  addSlotOccupancySample,
  DISPATCH_MS,
  FIXED_OVERHEAD_MS,
} from './engine-estimates.js';
import { type Engine, type Reservation, schedulePrefills } from './engine-state.js';
import { addGrantedWork } from './move-budget.js';
import { countPieces, type Placement } from './placement.js';
import { addCacheHitSample, addGrantedPrefixes } from './prefix-index.js';
import type { ShardState } from './shard-state.js';
import { updateSlownessFromDecode, updateSlownessFromPrefill } from './stragglers.js';

const GRANT_START_TIMEOUT_MS = 1_000;
/** How long a message about an ended attempt may still be in transit. */
const MAX_MESSAGE_DELAY_MS = 10_000;
/** An attempt without an end message counts as ended this long after its answer deadline. */
const EXPIRY_GRACE_MS = 2_000;
/**
 * A prefill time is not used as a sample if more than this share of it was predicted waiting for
 * the engine.
 */
const MAX_QUEUED_SHARE = 0.4;
const MIN_SAMPLED_TOKENS = 16;

function addReservation(state: ShardState, reservation: Reservation): void {
  const { grant, prefillEngine, decodeEngine, stage } = reservation;
  state.reservations.set(grant.reservationId, reservation);
  state.reservationsByAttempt.set(grant.attemptId, reservation);
  if (decodeEngine !== undefined) {
    decodeEngine.unaccounted.delete(grant.attemptId);
    decodeEngine.streams.set(grant.reservationId, reservation);
    decodeEngine.reservedPieces += reservation.pieces;
    if (stage === 'decode') decodeEngine.decodingStreams += 1;
  }
  if (prefillEngine === undefined || stage !== 'prefill') return;
  prefillEngine.prefills.push(reservation);
  schedulePrefills(prefillEngine, DISPATCH_MS);
}

function makeGrant(
  state: ShardState,
  request: ReservationRequest,
  placement: Placement,
  now: number,
): ReservationGrant {
  const { decodeEngine, prefillEngine, firstTokenAt, stepMs } = placement;
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  return {
    reservationId: `${state.options.vmId}-${Math.floor(now)}-${sequence}` as ReservationId,
    attemptId: request.attemptId,
    prefill: prefillEngine?.upstreamId ?? request.resumeFrom ?? decodeEngine.upstreamId,
    decode: decodeEngine.upstreamId,
    prefillAt: now,
    startDeadline: now + GRANT_START_TIMEOUT_MS,
    predictedFirstTokenAt: Math.ceil(firstTokenAt),
    predictedAnswerAt: Math.ceil(firstTokenAt + (request.maxTokens - 1) * stepMs),
  };
}

/** Reserves the engines of a placement and builds the grant. */
export function grantPlacement(
  state: ShardState,
  reservationRequest: ReservationRequest,
  placement: Placement,
  now: number,
): AllocatorAction {
  const { prefillEngine, decodeEngine } = placement;
  const grant = makeGrant(state, reservationRequest, placement, now);
  addReservation(state, {
    ask: reservationRequest,
    grant,
    grantedAt: now,
    prefillEngine,
    decodeEngine,
    pieces: placement.pieces,
    expectedCachedTokens: placement.expectedCachedTokens,
    prefillMs: placement.prefillMs,
    averagePrefillMs: placement.averagePrefillMs,
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
    addGrantedWork(state.moves, reservationRequest.promptTokens - placement.expectedCachedTokens);
    addGrantedPrefixes(state.prefixes, prefillEngine, reservationRequest.prefixes);
  }
  return { kind: 'grant', ask: reservationRequest, grant };
}

/** Adopts a reservation that a previous allocator granted. */
export function adoptReservation(state: ShardState, held: HeldReservation, now: number): void {
  const { ask: reservationRequest, grant, stage, tokens } = held;
  if (state.reservationsByAttempt.has(grant.attemptId)) return;
  if (state.endedAttempts.has(grant.attemptId)) return;
  const prefillMs = Math.max(0, grant.predictedFirstTokenAt - grant.prefillAt);
  addReservation(state, {
    ask: reservationRequest,
    grant,
    grantedAt: Math.min(now, grant.prefillAt),
    prefillEngine:
      reservationRequest.resumeFrom === undefined ? state.pool.byId.get(grant.prefill) : undefined,
    decodeEngine: state.pool.byId.get(grant.decode),
    pieces: countPieces(state, reservationRequest),
    expectedCachedTokens: 0,
    prefillMs,
    averagePrefillMs: prefillMs,
    linkWaitMs: 0,
    prefillStartAt: grant.prefillAt,
    prefillEndAt: grant.prefillAt + prefillMs,
    stage,
    tokens,
    movedAt: now,
    isEnded: false,
  });
}

function recordPrefillEnd(reservation: Reservation, endedAt: number): void {
  const engine = reservation.prefillEngine;
  if (engine === undefined) return;
  updateSlownessFromPrefill(engine, reservation, endedAt);
  const position = engine.prefills.indexOf(reservation);
  if (position < 0) return;
  engine.prefills.splice(position, 1);
  engine.idleAt = Math.max(engine.idleAt, endedAt);
  schedulePrefills(engine, DISPATCH_MS);
}

/**
 * Applies the progress of one attempt; messages that are outdated or about an unknown attempt
 * change nothing.
 */
export function applyProgress(state: ShardState, item: AttemptProgress, now: number): void {
  const reservation = state.reservations.get(item.reservationId);
  if (reservation === undefined || reservation.grant.attemptId !== item.attemptId) return;
  state.reportingVms.add(reservation.ask.vmId);
  const progressedAt = Math.min(now, item.movedAt);
  if (item.stage === 'prefill') return;
  if (reservation.stage === 'prefill') {
    recordPrefillEnd(reservation, progressedAt);
    reservation.stage = 'import';
    reservation.movedAt = progressedAt;
  }
  if (item.stage === 'import') return;
  const { decodeEngine } = reservation;
  if (reservation.stage === 'import') {
    reservation.stage = 'decode';
    reservation.movedAt = progressedAt;
    if (decodeEngine !== undefined) decodeEngine.decodingStreams += 1;
  }
  if (decodeEngine !== undefined) {
    updateSlownessFromDecode(state, decodeEngine, reservation, item.tokens, progressedAt);
  }
  reservation.tokens = Math.max(reservation.tokens, item.tokens);
  reservation.movedAt = Math.max(reservation.movedAt, progressedAt);
}

function removePrefill(engine: Engine, reservation: Reservation, now: number): void {
  const position = engine.prefills.indexOf(reservation);
  if (position < 0) return;
  engine.prefills.splice(position, 1);
  if (reservation.prefillStartAt <= now) engine.idleAt = Math.max(engine.idleAt, now + DISPATCH_MS);
  schedulePrefills(engine, DISPATCH_MS);
}

/** Frees the engines and memory of a reservation; a second call changes nothing. */
export function freeReservation(state: ShardState, reservation: Reservation, now: number): void {
  if (reservation.isEnded) return;
  reservation.isEnded = true;
  const { grant, prefillEngine, decodeEngine } = reservation;
  state.reservations.delete(grant.reservationId);
  if (state.reservationsByAttempt.get(grant.attemptId) === reservation) {
    state.reservationsByAttempt.delete(grant.attemptId);
  }
  if (prefillEngine !== undefined) removePrefill(prefillEngine, reservation, now);
  if (decodeEngine === undefined || !decodeEngine.streams.delete(grant.reservationId)) return;
  decodeEngine.reservedPieces -= reservation.pieces;
  if (reservation.stage === 'decode') decodeEngine.decodingStreams -= 1;
}

function addPrefillSamples(
  state: ShardState,
  reservation: Reservation,
  end: AttemptEnd,
  now: number,
): void {
  const { prefillEngine, ask: reservationRequest } = reservation;
  if (prefillEngine === undefined || end.prefillMs === undefined) return;
  const cachedTokens = end.cachedTokens ?? 0;
  addCacheHitSample(state.prefixes, prefillEngine, reservation.expectedCachedTokens, cachedTokens);
  const computedTokens = reservationRequest.promptTokens - cachedTokens;
  const queuedMs = Math.max(0, reservation.prefillStartAt - reservation.grantedAt - DISPATCH_MS);
  const isMostlyPrefill = queuedMs <= end.prefillMs * MAX_QUEUED_SHARE;
  if (!isMostlyPrefill || computedTokens < MIN_SAMPLED_TOKENS || prefillEngine.isSuspect) return;
  const computeMs = Math.max(1, end.prefillMs - queuedMs - FIXED_OVERHEAD_MS);
  addRateSample(state.estimates.prefill, computedTokens / computeMs, now);
}

function updateEstimates(
  state: ShardState,
  reservation: Reservation,
  end: AttemptEnd,
  now: number,
): void {
  const { estimates } = state;
  addPrefillSamples(state, reservation, end, now);
  const { ask: reservationRequest } = reservation;
  if (end.importMs !== undefined && reservationRequest.promptTokens >= MIN_SAMPLED_TOKENS) {
    const transferMs = Math.max(1, end.importMs - FIXED_OVERHEAD_MS - reservation.linkWaitMs);
    addRateSample(estimates.link, reservationRequest.promptTokens / transferMs, now);
  }
  if (end.outcome !== 'answered') return;
  addAnswerSample(estimates, end.tokens, reservationRequest.maxTokens);
  addSlotOccupancySample(estimates, now - reservation.grantedAt);
}

/** Records that an attempt has ended, so that delayed messages about it change nothing. */
export function recordEndedAttempt(state: ShardState, attemptId: AttemptId, now: number): void {
  state.endedAttempts.set(attemptId, now + MAX_MESSAGE_DELAY_MS);
  for (const engine of state.pool.decode) engine.unaccounted.delete(attemptId);
}

/**
 * Ends an attempt, updates the estimates and frees its reservation; duplicate or delayed messages
 * change nothing.
 */
export function endAttempt(state: ShardState, end: AttemptEnd, now: number): void {
  recordEndedAttempt(state, end.attemptId, now);
  const reservation =
    state.reservations.get(end.reservationId) ?? state.reservationsByAttempt.get(end.attemptId);
  if (reservation === undefined) return;
  if (end.prefillMs !== undefined && reservation.stage === 'prefill') {
    recordPrefillEnd(
      reservation,
      Math.min(now, reservation.grantedAt + DISPATCH_MS + end.prefillMs),
    );
  }
  updateEstimates(state, reservation, end, now);
  freeReservation(state, reservation, now);
}

/** Frees reservations without an end message after their deadline, and removes expired records. */
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
  for (const [attemptId, expiresAt] of state.endedAttempts) {
    if (expiresAt <= now) state.endedAttempts.delete(attemptId);
  }
}
