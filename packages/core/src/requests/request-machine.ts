/**
 * Life of one model request on its entry VM: ask for places, prefill, import, decode, answer; retry
 * or resume elsewhere when an engine fails or stalls. Decides only; the host owns sockets and
 * timers.
 */

import {
  assertNever,
  type DecodeFrame,
  type Refusal,
  type ReservationGrant,
} from '@tarragonspool/protocol';
import {
  askAgain,
  askWithoutExclusions,
  failRequest,
  isRetryable,
  retryDecode,
  retryPrefill,
} from './request-recovery.js';
import type { RequestAction, RequestEvent } from './request-messages.js';
import {
  cancelAllHolds,
  cancelHold,
  endAttempt,
  endMoved,
  getRanState,
  removeHold,
  setPhase,
  takeAttemptId,
  type RequestState,
} from './request-state.js';
import { addAnswer } from './retry-budget.js';
import {
  findImportStall,
  findPrefillStall,
  findTokenDelay,
  findTokenStall,
  updateGap,
} from './stall-rule.js';

const KV_LIFE_MS = 800;
const MAX_LATE_GRANTS = 3;
const MAX_RESCUES = 4;
const RESCUE_RETRY_MS = 500;
const MAX_UNUSED_ATTEMPTS = 32;
const MOVE_RETRY_MS = 100;

/** Starts the request by asking for places. */
export function startRequest(state: RequestState): RequestAction[] {
  const { attemptId } = state;
  return [{ kind: 'ask', attemptId, excluded: [], resumeFrom: undefined }];
}

function startPrefill(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  state.dispatches += 1;
  state.holds.push({ upstreamId: grant.prefill, attemptId: state.attemptId });
  setPhase(state, 'prefilling', now, findPrefillStall(grant, now));
  return [{ kind: 'start-prefill', grant }];
}

function startDecode(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  const { source } = state;
  if (source === undefined) return askAgain(state, now);
  state.dispatches += 1;
  state.sourceTries += 1;
  state.holds.push({ upstreamId: grant.decode, attemptId: state.attemptId });
  setPhase(state, 'importing', now, findImportStall(grant, now));
  return [{ kind: 'start-decode', grant, source, fromIndex: state.nextIndex }];
}

/** Gives back a grant that came too late and asks again, a few times. */
function returnLateGrant(state: RequestState, now: number): RequestAction[] {
  state.lateGrants += 1;
  const actions = endAttempt(state, 'unused', now);
  if (state.lateGrants < MAX_LATE_GRANTS) return [...actions, ...askAgain(state, now)];
  const detail = 'grants came too late';
  return [...actions, ...failRequest(state, 'reservation-lost', detail, now)];
}

/** Moves a stalled stream: the new engine imports from the one that stands still. */
function startRescue(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  const { grant: stalled, attemptId } = state;
  state.rescueId = undefined;
  if (stalled === undefined) return [];
  state.moved = { grant: stalled, attemptId };
  state.source = { upstreamId: stalled.decode, attemptId, expiresAt: Infinity };
  state.sourceTries = 0;
  state.excluded.push(stalled.decode);
  state.attemptId = grant.attemptId;
  state.grant = grant;
  return startDecode(state, grant, now);
}

function handleGranted(state: RequestState, grant: ReservationGrant, now: number): RequestAction[] {
  if (grant.attemptId === state.rescueId) return startRescue(state, grant, now);
  if (state.phase !== 'asking' || grant.attemptId !== state.attemptId) return [];
  state.grant = grant;
  if (now > grant.startDeadline) return returnLateGrant(state, now);
  if (state.source !== undefined) {
    if (now < state.source.expiresAt) return startDecode(state, grant, now);
    return [...endAttempt(state, 'unused', now), ...retryDecode(state, 'the cache lapsed', now)];
  }
  if (now >= grant.prefillAt) return startPrefill(state, grant, now);
  setPhase(state, 'holding', now);
  return [];
}

function handleRefused(state: RequestState, refusal: Refusal, now: number): RequestAction[] {
  if (state.source !== undefined) return retryDecode(state, 'no engine takes the cache', now);
  const isAlone = refusal.name === 'no-upstream' && state.excluded.length > 0;
  if (isAlone && !state.hasClearedExcluded) return askWithoutExclusions(state, now);
  if (state.nextIndex > 0) return failRequest(state, 'stream-interrupted', refusal.detail, now);
  const actions = cancelAllHolds(state);
  setPhase(state, 'ended', now);
  const ran = state.dispatches === 0 ? refusal.ran : getRanState(state);
  return [...actions, { kind: 'fail', refusal: { ...refusal, ran } }];
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
  state.openPrefillTokens = Math.max(0, result.promptTokens - result.cachedTokens);
  state.source = { upstreamId: grant.prefill, attemptId, expiresAt: now + KV_LIFE_MS };
  state.sourceTries = 0;
  return startDecode(state, grant, now);
}

/** Counts the prefill behind an import; a second one for the same request was redone work. */
function countImportedPrefill(state: RequestState): RequestAction[] {
  const tokens = state.openPrefillTokens;
  state.openPrefillTokens = 0;
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
  setPhase(state, 'decoding', now, findTokenDelay(state.gapMs, now));
  state.lastTokenAt = now;
  const actions = countImportedPrefill(state);
  if (source === undefined) return actions;
  if (state.moved !== undefined) {
    const { upstreamId, attemptId } = source;
    return [...actions, ...cancelHold(state, upstreamId, attemptId), ...endMoved(state)];
  }
  // The export released the memory of a prefill engine.
  removeHold(state, source.upstreamId, source.attemptId);
  return actions;
}

function withdrawRescue(state: RequestState): RequestAction[] {
  const { rescueId } = state;
  if (rescueId === undefined) return [];
  state.rescueId = undefined;
  state.unusedAttempts += 1;
  return [{ kind: 'withdraw', attemptId: rescueId }];
}

function handleToken(
  state: RequestState,
  frame: Extract<DecodeFrame, { kind: 'token' }>,
  now: number,
): RequestAction[] {
  const actions = [...handleImported(state, now), ...withdrawRescue(state)];
  if (frame.index < state.nextIndex) return actions;
  if (frame.index > state.nextIndex) {
    return [...actions, ...retryDecode(state, 'a token is missing', now)];
  }
  if (state.nextIndex > 0) state.gapMs = updateGap(state.gapMs, now - state.lastTokenAt);
  state.lastTokenAt = now;
  state.stallAt = findTokenDelay(state.gapMs, now);
  state.nextIndex += 1;
  const { attemptId, index, text } = frame;
  return [...actions, { kind: 'write-token', attemptId, index, text }];
}

function handleEnd(
  state: RequestState,
  frame: Extract<DecodeFrame, { kind: 'end' }>,
  now: number,
): RequestAction[] {
  if (state.phase !== 'decoding') return retryDecode(state, 'the answer ended early', now);
  if (frame.tokens !== state.nextIndex) return retryDecode(state, 'the answer is short', now);
  const { grant, attemptId } = state;
  if (grant !== undefined) removeHold(state, grant.decode, attemptId);
  const actions = [
    ...withdrawRescue(state),
    ...cancelAllHolds(state),
    ...endAttempt(state, 'answered', now),
  ];
  setPhase(state, 'ended', now);
  addAnswer(state.budget);
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

/**
 * Asks for another decode engine while the stream stands still; it goes on if it moves again. Of a
 * short delay the allocator judges, which sees other streams of the engine.
 */
function askForRescue(state: RequestState, now: number): RequestAction[] {
  const isStalled = now >= findTokenStall(state.gapMs, state.lastTokenAt);
  state.stallAt = now + (isStalled ? RESCUE_RETRY_MS : MOVE_RETRY_MS);
  if (state.rescueId !== undefined || state.grant === undefined) return [];
  if (state.attempt - state.unusedAttempts >= MAX_RESCUES) return [];
  if (!isStalled && state.unusedAttempts >= MAX_UNUSED_ATTEMPTS) return [];
  state.rescueId = takeAttemptId(state);
  const resumeFrom = state.grant.decode;
  const excluded = [...state.excluded, resumeFrom];
  const ask = { kind: 'ask', attemptId: state.rescueId, excluded, resumeFrom } as const;
  return [isStalled ? ask : { ...ask, movesFrom: state.attemptId }];
}

function handleStall(state: RequestState, now: number): RequestAction[] {
  if (state.phase === 'decoding') return askForRescue(state, now);
  if (!isRetryable(state, now)) {
    state.stallAt = now + RESCUE_RETRY_MS;
    return [];
  }
  switch (state.phase) {
    case 'prefilling':
      return retryPrefill(state, 'the prefill stalled', now);
    case 'importing':
      return retryDecode(state, 'the transfer stalled', now);
    default:
      return [];
  }
}

function getDeadline(state: RequestState): number {
  return state.dispatches > 0 ? state.lastDeadline : state.answerDeadline;
}

function handleTicked(state: RequestState, now: number): RequestAction[] {
  if (now >= getDeadline(state)) {
    const name = state.dispatches > 0 ? 'upstream-timeout' : 'deadline-unreachable';
    return failRequest(state, name, 'the answer deadline passed', now);
  }
  const { grant, source } = state;
  if (state.phase === 'holding' && grant !== undefined) {
    if (now > grant.startDeadline) return returnLateGrant(state, now);
    return now >= grant.prefillAt ? startPrefill(state, grant, now) : [];
  }
  if (state.phase === 'asking' && source !== undefined && now >= source.expiresAt) {
    return retryDecode(state, 'the cache lapsed', now);
  }
  return now >= state.stallAt ? handleStall(state, now) : [];
}

/** Finds when the request wants to be ticked next. */
export function getNextTick(state: RequestState): number {
  const times = [getDeadline(state), state.stallAt];
  if (state.phase === 'holding' && state.grant !== undefined) times.push(state.grant.prefillAt);
  if (state.phase === 'asking' && state.source !== undefined) times.push(state.source.expiresAt);
  return Math.min(...times);
}

/** Decides what to do about one event. */
export function handleRequestEvent(state: RequestState, event: RequestEvent): RequestAction[] {
  if (state.phase === 'ended') return [];
  const { now } = event;
  switch (event.kind) {
    case 'granted':
      return handleGranted(state, event.grant, now);
    case 'refused':
      if (event.attemptId === state.rescueId) {
        state.rescueId = undefined;
        state.unusedAttempts += 1;
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
