/**
 * State machine of one model request on its entry VM: it reserves engines, orders the prefill, the
 * import of the KV cache and the decode, and retries or resumes on other engines when one fails or
 * stalls. Returns actions only; the host owns sockets and timers.
 */

import {
  assertNever,
  type DecodeFrame,
  type Refusal,
  type ReservationGrant,
} from '@tarragonspool/protocol';
import {
  requestReservation,
  retryWithoutExclusions,
  cancelPrefill,
  failRequest,
  retryDecode,
  retryPrefill,
} from './request-recovery.js';
import type { RequestAction, RequestEvent } from './request-messages.js';
import {
  cancelAllHolds,
  cancelHold,
  endAttempt,
  endMovedAttempt,
  getExecutionStatus,
  removeHold,
  setPhase,
  type RequestState,
} from './request-state.js';
import { handleStallCheck } from './request-stalls.js';
import { addRetryCredit } from './retry-budget.js';
import { findImportStallTime, findPrefillCheckTime, findTokenCheckTime } from './stall-rule.js';

const KV_LIFETIME_MS = 800;
const MAX_EXPIRED = 3;

/** Starts the request by requesting a reservation. */
export function startRequest(state: RequestState): RequestAction[] {
  const { attemptId } = state;
  return [{ kind: 'ask', attemptId, excluded: [], resumeFrom: undefined, movesFrom: undefined }];
}

function startPrefill(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  state.dispatches += 1;
  state.holds.push({ upstreamId: grant.prefill, attemptId: state.attemptId });
  state.usedGrants += 1;
  setPhase(state, 'prefilling', now, findPrefillCheckTime(grant, now));
  return [{ kind: 'start-prefill', grant }];
}

function startDecode(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  const { source } = state;
  if (source === undefined) return requestReservation(state, now);
  state.dispatches += 1;
  // A prefill under this grant has already counted it.
  if (state.phase !== 'prefilling') state.usedGrants += 1;
  state.importTries += 1;
  state.holds.push({ upstreamId: grant.decode, attemptId: state.attemptId });
  setPhase(state, 'importing', now, findImportStallTime(grant, now));
  return [{ kind: 'start-decode', grant, source, fromIndex: state.nextIndex }];
}

/** Releases a grant that is past its start deadline and requests another, up to a limit. */
function releaseExpiredGrant(state: RequestState, now: number): RequestAction[] {
  state.expiredGrants += 1;
  const actions = endAttempt(state, 'unused', now);
  if (state.expiredGrants < MAX_EXPIRED) return [...actions, ...requestReservation(state, now)];
  const detail = 'too many grants were past their start deadline';
  return [...actions, ...failRequest(state, 'reservation-lost', detail, now)];
}

/** Starts the prefill of a grant, or waits until its `prefillAt`. */
function schedulePrefill(
  state: RequestState,
  grant: ReservationGrant,
  now: number,
): RequestAction[] {
  if (now >= grant.prefillAt) return startPrefill(state, grant, now);
  setPhase(state, 'scheduled', now);
  return [];
}

/** Moves a stalled stream: the new engine imports the KV cache from the stalled one. */
function moveStream(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  const { grant: stalledGrant, attemptId } = state;
  if (stalledGrant === undefined) return [];
  state.movedAttempt = { grant: stalledGrant, attemptId };
  state.source = { upstreamId: stalledGrant.decode, attemptId, expiresAt: Infinity };
  state.importTries = 0;
  state.excluded.push(stalledGrant.decode);
  state.attemptId = grant.attemptId;
  state.grant = grant;
  return startDecode(state, grant, now);
}

/** Replaces a stalled attempt by the standby attempt, which has been granted. */
function startStandby(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  state.standbyId = undefined;
  if (now > grant.startDeadline) return [{ kind: 'withdraw', attemptId: grant.attemptId }];
  if (state.phase === 'prefilling') {
    const actions = cancelPrefill(state, now);
    state.attemptId = grant.attemptId;
    state.grant = grant;
    return [...actions, ...schedulePrefill(state, grant, now)];
  }
  return moveStream(state, grant, now);
}

function handleGranted(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  if (grant.attemptId === state.standbyId) return startStandby(state, grant, now);
  if (state.phase !== 'asking' || grant.attemptId !== state.attemptId) return [];
  state.grant = grant;
  if (now > grant.startDeadline) return releaseExpiredGrant(state, now);
  if (state.source !== undefined) {
    if (now < state.source.expiresAt) return startDecode(state, grant, now);
    return [
      ...endAttempt(state, 'unused', now),
      ...retryDecode(state, 'the KV cache expired before its import', now),
    ];
  }
  return schedulePrefill(state, grant, now);
}

function handleRefused(state: RequestState, refusal: Refusal, now: number): RequestAction[] {
  if (state.source !== undefined) return retryDecode(state, 'no engine can import the cache', now);
  const hasNoOtherEngine = refusal.name === 'no-upstream' && state.excluded.length > 0;
  if (hasNoOtherEngine && !state.hasClearedExcluded) return retryWithoutExclusions(state, now);
  if (state.nextIndex > 0) return failRequest(state, 'stream-interrupted', refusal.detail, now);
  const actions = cancelAllHolds(state);
  setPhase(state, 'ended', now);
  const ran = state.dispatches === 0 ? refusal.ran : getExecutionStatus(state);
  return [...actions, { kind: 'fail', refusal: { ...refusal, ran } }];
}

function withdrawStandby(state: RequestState): RequestAction[] {
  const { standbyId } = state;
  if (standbyId === undefined) return [];
  state.standbyId = undefined;
  return [{ kind: 'withdraw', attemptId: standbyId }];
}

function handlePrefilled(
  state: RequestState,
  event: Extract<RequestEvent, { kind: 'prefilled' }>,
): RequestAction[] {
  const { grant, attemptId } = state;
  if (state.phase !== 'prefilling' || event.attemptId !== attemptId) return [];
  if (grant === undefined) return [];
  const { now, result } = event;
  state.hasRun = true;
  state.prefillMs = now - state.phaseStartedAt;
  state.cachedTokens = result.cachedTokens;
  state.uncountedPrefillTokens = Math.max(0, result.promptTokens - result.cachedTokens);
  state.source = { upstreamId: grant.prefill, attemptId, expiresAt: now + KV_LIFETIME_MS };
  state.importTries = 0;
  return [...withdrawStandby(state), ...startDecode(state, grant, now)];
}

/**
 * Counts the prefill whose KV cache was imported. A second one for the same request repeated work
 * and counts as wasted.
 */
function countImportedPrefill(state: RequestState): RequestAction[] {
  const tokens = state.uncountedPrefillTokens;
  state.uncountedPrefillTokens = 0;
  if (tokens === 0) return [];
  const fate = state.hasUsedPrefill ? 'wasted' : 'used';
  state.hasUsedPrefill = true;
  return [{ kind: 'count-prefill', fate, tokens }];
}

function handleImported(state: RequestState, now: number): RequestAction[] {
  const { source } = state;
  if (state.phase !== 'importing') return [];
  state.hasRun = true;
  state.importMs = now - state.phaseStartedAt;
  state.source = undefined;
  setPhase(state, 'decoding', now, findTokenCheckTime(now));
  state.lastTokenAt = now;
  const actions = countImportedPrefill(state);
  if (source === undefined) return actions;
  if (state.movedAttempt !== undefined) {
    const { upstreamId, attemptId } = source;
    return [...actions, ...cancelHold(state, upstreamId, attemptId), ...endMovedAttempt(state)];
  }
  // The prefill engine released its memory with the export.
  removeHold(state, source.upstreamId, source.attemptId);
  return actions;
}

function handleToken(
  state: RequestState,
  frame: Extract<DecodeFrame, { kind: 'token' }>,
  now: number,
): RequestAction[] {
  // A token implies that the import is done.
  const actions = [...handleImported(state, now), ...withdrawStandby(state)];
  if (frame.index < state.nextIndex) return actions;
  if (frame.index > state.nextIndex) {
    return [...actions, ...retryDecode(state, 'the stream skipped a token', now)];
  }
  state.lastTokenAt = now;
  state.stallCheckAt = findTokenCheckTime(now);
  state.nextIndex += 1;
  const { attemptId, index, text } = frame;
  return [...actions, { kind: 'write-token', attemptId, index, text }];
}

function handleEnd(
  state: RequestState,
  frame: Extract<DecodeFrame, { kind: 'end' }>,
  now: number,
): RequestAction[] {
  if (state.phase !== 'decoding') return retryDecode(state, 'the answer ended before import', now);
  if (frame.tokens !== state.nextIndex) return retryDecode(state, 'the answer is incomplete', now);
  const { grant, attemptId } = state;
  if (grant !== undefined) removeHold(state, grant.decode, attemptId);
  const actions = [
    ...withdrawStandby(state),
    ...cancelAllHolds(state),
    ...endAttempt(state, 'answered', now),
  ];
  setPhase(state, 'ended', now);
  addRetryCredit(state.budget);
  const { finishReason, tokens } = frame;
  return [...actions, { kind: 'finish', finishReason, tokens }];
}

function handleFrame(state: RequestState, frame: DecodeFrame, now: number): RequestAction[] {
  const isStreaming = state.phase === 'importing' || state.phase === 'decoding';
  if (frame.attemptId !== state.attemptId || !isStreaming) return [];
  switch (frame.kind) {
    case 'imported':
      return handleImported(state, now);
    case 'token':
      return handleToken(state, frame, now);
    case 'end':
      return handleEnd(state, frame, now);
    case 'error':
      return retryDecode(state, frame.error, now);
    default:
      return assertNever(frame);
  }
}

function handlePrefillFailed(
  state: RequestState,
  event: Extract<RequestEvent, { kind: 'prefill-failed' }>,
): RequestAction[] {
  const { attemptId, failure, detail, now } = event;
  if (state.phase !== 'prefilling' || attemptId !== state.attemptId) return [];
  if (failure === 'unsent') state.dispatches -= 1;
  if (failure !== 'broken' && state.grant !== undefined) {
    removeHold(state, state.grant.prefill, attemptId);
  }
  return retryPrefill(state, detail, now, failure !== 'broken');
}

function handleDecodeFailed(
  state: RequestState,
  event: Extract<RequestEvent, { kind: 'decode-failed' }>,
): RequestAction[] {
  const { attemptId, failure, detail, now } = event;
  const isStreaming = state.phase === 'importing' || state.phase === 'decoding';
  if (!isStreaming || attemptId !== state.attemptId) return [];
  if (failure !== 'broken' && state.grant !== undefined) {
    removeHold(state, state.grant.decode, attemptId);
  }
  return retryDecode(state, detail, now);
}

function getDeadline(state: RequestState): number {
  return state.dispatches > 0 ? state.lastDeadline : state.answerDeadline;
}

function handleTicked(state: RequestState, now: number): RequestAction[] {
  if (now >= getDeadline(state)) {
    const name = state.dispatches > 0 ? 'upstream-timeout' : 'deadline-unreachable';
    return failRequest(state, name, 'the deadline of the request passed', now);
  }
  const { grant, source } = state;
  if (state.phase === 'scheduled' && grant !== undefined) {
    if (now > grant.startDeadline) return releaseExpiredGrant(state, now);
    return now >= grant.prefillAt ? startPrefill(state, grant, now) : [];
  }
  if (state.phase === 'asking' && source !== undefined && now >= source.expiresAt) {
    return retryDecode(state, 'the KV cache expired before its import', now);
  }
  return now >= state.stallCheckAt ? handleStallCheck(state, now) : [];
}

/** Finds when the request needs its next tick, in epoch milliseconds. */
export function findNextRequestTick(state: RequestState): number {
  const times = [getDeadline(state), state.stallCheckAt];
  if (state.phase === 'scheduled' && state.grant !== undefined) times.push(state.grant.prefillAt);
  if (state.phase === 'asking' && state.source !== undefined) times.push(state.source.expiresAt);
  return Math.min(...times);
}

/** Handles one event and returns the resulting actions. */
export function handleRequestEvent(state: RequestState, event: RequestEvent): RequestAction[] {
  if (state.phase === 'ended') return [];
  const { now } = event;
  switch (event.kind) {
    case 'granted':
      return handleGranted(state, event.grant, now);
    case 'refused':
      if (event.attemptId === state.standbyId) {
        state.standbyId = undefined;
        return [];
      }
      if (state.phase !== 'asking' || event.attemptId !== state.attemptId) return [];
      return handleRefused(state, event.refusal, now);
    case 'prefilled':
      return handlePrefilled(state, event);
    case 'prefill-failed':
      return handlePrefillFailed(state, event);
    case 'frame':
      return handleFrame(state, event.frame, now);
    case 'decode-failed':
      return handleDecodeFailed(state, event);
    case 'caller-gone':
      return failRequest(state, 'caller-gone', 'the caller closed the connection', now);
    case 'ticked':
      return handleTicked(state, now);
    default:
      return assertNever(event);
  }
}
