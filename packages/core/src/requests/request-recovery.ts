/**
 * Recovery of a request after an engine failure: import the KV cache on another engine, start over
 * with a new prefill, or fail.
 */

import type { AttemptEnd, ResultName } from '@tarragonspool/protocol';
import type { RequestAction } from './request-messages.js';
import {
  cancelAllHolds,
  cancelHold,
  countWastedPrefill,
  endAttempt,
  endMovedAttempt,
  getExecutionStatus,
  setPhase,
  makeNextAttemptId,
  type RequestState,
} from './request-state.js';
import { takeRetry } from './retry-budget.js';

const MAX_USED_GRANTS = 6;
const MAX_IMPORT_TRIES = 3;

function findAttemptOutcome(state: RequestState, name: ResultName): AttemptEnd['outcome'] {
  if (name === 'caller-gone') return 'cancelled';
  switch (state.phase) {
    case 'prefilling':
      return 'prefill-failed';
    case 'importing':
    case 'decoding':
      return 'decode-failed';
    default:
      return 'unused';
  }
}

function countAbandonedPrefill(state: RequestState): RequestAction[] {
  if (state.phase !== 'prefilling') return [];
  return [{ kind: 'count-prefill', fate: 'abandoned', tokens: state.promptTokens }];
}

function withdrawReservationRequests(state: RequestState): RequestAction[] {
  const actions: RequestAction[] = [];
  if (state.standbyId !== undefined) actions.push({ kind: 'withdraw', attemptId: state.standbyId });
  state.standbyId = undefined;
  if (state.phase === 'asking') actions.push({ kind: 'withdraw', attemptId: state.attemptId });
  return actions;
}

/** Ends the request without an answer and frees everything that engines hold for it. */
export function failRequest(
  state: RequestState,
  name: ResultName,
  detail: string,
  now: number,
): RequestAction[] {
  const ran = getExecutionStatus(state);
  const actions = [
    ...withdrawReservationRequests(state),
    ...countAbandonedPrefill(state),
    ...countWastedPrefill(state),
    ...cancelAllHolds(state),
    ...endAttempt(state, findAttemptOutcome(state, name), now),
    ...endMovedAttempt(state),
  ];
  setPhase(state, 'ended', now);
  return [...actions, { kind: 'fail', refusal: { name, ran, detail } }];
}

function failUpstream(state: RequestState, detail: string, now: number): RequestAction[] {
  const name = state.nextIndex === 0 ? 'upstream-failed' : 'stream-interrupted';
  return failRequest(state, name, detail, now);
}

/** Requests a reservation for a new attempt, which imports the KV cache in `source`, if any. */
export function requestReservation(state: RequestState, now: number): RequestAction[] {
  state.attemptId = makeNextAttemptId(state);
  setPhase(state, 'asking', now);
  const { attemptId, source } = state;
  const excluded = [...state.excluded];
  const resumeFrom = source?.upstreamId;
  return [{ kind: 'ask', attemptId, excluded, resumeFrom, movesFrom: undefined }];
}

function canImportFromSource(state: RequestState, now: number): boolean {
  const { source, movedAttempt, importTries } = state;
  if (source === undefined || now >= source.expiresAt) return false;
  // A stalled engine may not be able to export its KV cache either.
  return importTries < (movedAttempt === undefined ? MAX_IMPORT_TRIES : 1);
}

function canRetry(state: RequestState, now: number): boolean {
  if (state.isOnce === true && state.dispatches > 0) return false;
  // An answer that the caller has in part is worth finishing after its deadline; one that has not
  // begun is not.
  const deadline = state.nextIndex > 0 ? state.lastDeadline : state.answerDeadline;
  return state.usedGrants < MAX_USED_GRANTS && now < deadline;
}

/** Whether the request could try another engine if it left its current one. */
export function isRetryable(state: RequestState, now: number): boolean {
  if (!canRetry(state, now)) return false;
  if (state.phase === 'importing' && canImportFromSource(state, now)) return true;
  return state.budget.available >= 1;
}

/** Starts over with a new prefill; takes a retry from the budget if this repeats work. */
function retryFromPrefill(
  state: RequestState,
  detail: string,
  now: number,
  isOutsideBudget = false,
): RequestAction[] {
  if (!canRetry(state, now) || !(isOutsideBudget || takeRetry(state.budget))) {
    return failUpstream(state, detail, now);
  }
  const actions = [
    ...countWastedPrefill(state),
    ...cancelAllHolds(state),
    ...endMovedAttempt(state),
  ];
  state.source = undefined;
  return [...actions, ...requestReservation(state, now)];
}

/** Ends an attempt whose prefill failed and starts over with other engines. */
export function retryPrefill(
  state: RequestState,
  detail: string,
  now: number,
  didNoWork = false,
): RequestAction[] {
  const { grant } = state;
  if (grant !== undefined) state.excluded.push(grant.prefill);
  const actions = [
    ...withdrawReservationRequests(state),
    ...(didNoWork ? [] : countAbandonedPrefill(state)),
    ...cancelAllHolds(state),
    ...endAttempt(state, 'prefill-failed', now),
  ];
  return [...actions, ...retryFromPrefill(state, detail, now, didNoWork)];
}

/** Cancels a delayed prefill, which the attempt of another grant replaces. */
export function cancelPrefill(state: RequestState, now: number): RequestAction[] {
  const { grant, attemptId } = state;
  if (grant === undefined) return [];
  state.excluded.push(grant.prefill);
  return [
    ...countAbandonedPrefill(state),
    ...cancelHold(state, grant.prefill, attemptId),
    ...endAttempt(state, 'cancelled', now),
  ];
}

/** Requests a reservation without exclusions, once no engine outside them is left. */
export function retryWithoutExclusions(state: RequestState, now: number): RequestAction[] {
  state.hasClearedExcluded = true;
  state.excluded = [];
  return requestReservation(state, now);
}

/**
 * Ends the attempt to decode, if there is one. Imports the KV cache on another engine if the cache
 * is still available, else starts over with a new prefill.
 */
export function retryDecode(state: RequestState, detail: string, now: number): RequestAction[] {
  const { grant, attemptId, phase } = state;
  const actions = withdrawReservationRequests(state);
  if (grant !== undefined) {
    const isSourceAtFault = phase === 'importing' && state.movedAttempt !== undefined;
    if (!isSourceAtFault) state.excluded.push(grant.decode);
    actions.push(...cancelHold(state, grant.decode, attemptId));
    actions.push(...endAttempt(state, 'decode-failed', now));
  }
  const isImportRetried =
    phase === 'importing' && canImportFromSource(state, now) && canRetry(state, now);
  if (isImportRetried) return [...actions, ...requestReservation(state, now)];
  return [...actions, ...retryFromPrefill(state, detail, now)];
}
