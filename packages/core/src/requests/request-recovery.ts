/** What a request does when an engine failed it: use the KV cache elsewhere, start over, or fail. */

import type { AttemptEnd, ResultName } from '@tarragonspool/protocol';
import type { RequestAction } from './request-messages.js';
import {
  cancelAllHolds,
  cancelHold,
  countWaste,
  endAttempt,
  endMoved,
  getRanState,
  setPhase,
  takeAttemptId,
  type RequestState,
} from './request-state.js';
import { takeRetry } from './retry-budget.js';

const MAX_ATTEMPTS = 6;
const MAX_SOURCE_TRIES = 3;

function findOutcome(state: RequestState, name: ResultName): AttemptEnd['outcome'] {
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

function countAbandoned(state: RequestState): RequestAction[] {
  if (state.phase !== 'prefilling') return [];
  return [{ kind: 'count-prefill', fate: 'abandoned', tokens: state.promptTokens }];
}

function withdrawAsks(state: RequestState): RequestAction[] {
  const actions: RequestAction[] = [];
  if (state.rescueId !== undefined) actions.push({ kind: 'withdraw', attemptId: state.rescueId });
  state.rescueId = undefined;
  if (state.phase === 'asking') actions.push({ kind: 'withdraw', attemptId: state.attemptId });
  return actions;
}

/** Ends the request without an answer and frees all that it holds. */
export function failRequest(
  state: RequestState,
  name: ResultName,
  detail: string,
  now: number,
): RequestAction[] {
  const ran = getRanState(state);
  const actions = [
    ...withdrawAsks(state),
    ...countAbandoned(state),
    ...countWaste(state),
    ...cancelAllHolds(state),
    ...endAttempt(state, findOutcome(state, name), now),
    ...endMoved(state),
  ];
  setPhase(state, 'ended', now);
  return [...actions, { kind: 'fail', refusal: { name, ran, detail } }];
}

function failUpstream(state: RequestState, detail: string, now: number): RequestAction[] {
  const name = state.nextIndex === 0 ? 'upstream-failed' : 'stream-interrupted';
  return failRequest(state, name, detail, now);
}

/** Asks for places under a new attempt; the KV cache in `source`, if any, is to be used. */
export function askAgain(state: RequestState, now: number): RequestAction[] {
  state.attemptId = takeAttemptId(state);
  setPhase(state, 'asking', now);
  const { attemptId, source } = state;
  const excluded = [...state.excluded];
  return [{ kind: 'ask', attemptId, excluded, resumeFrom: source?.upstreamId }];
}

function isSourceUsable(state: RequestState, now: number): boolean {
  const { source, moved, sourceTries } = state;
  if (source === undefined || now >= source.expiresAt) return false;
  // An engine that stands still may not be able to export either.
  return sourceTries < (moved === undefined ? MAX_SOURCE_TRIES : 1);
}

function isRetryLeft(state: RequestState, now: number): boolean {
  if (state.isOnce === true && state.dispatches > 0) return false;
  // An answer that the caller has in part is worth finishing late; one that has not begun is not.
  const deadline = state.nextIndex > 0 ? state.lastDeadline : state.answerDeadline;
  return state.attempt - state.unusedAttempts < MAX_ATTEMPTS && now < deadline;
}

/** Whether leaving a stalled engine would be followed by another try. */
export function isRetryable(state: RequestState, now: number): boolean {
  if (!isRetryLeft(state, now)) return false;
  if (state.phase === 'importing' && isSourceUsable(state, now)) return true;
  return state.budget.available >= 1;
}

/** Starts over with a new prefill; one that redoes work takes from the retry budget. */
function startOver(
  state: RequestState,
  detail: string,
  now: number,
  isFree = false,
): RequestAction[] {
  if (!isRetryLeft(state, now) || !(isFree || takeRetry(state.budget))) {
    return failUpstream(state, detail, now);
  }
  const actions = [...countWaste(state), ...cancelAllHolds(state), ...endMoved(state)];
  state.source = undefined;
  return [...actions, ...askAgain(state, now)];
}

/** Leaves the engines of an attempt whose prefill failed and starts over. */
export function retryPrefill(
  state: RequestState,
  detail: string,
  now: number,
  isUnstarted = false,
): RequestAction[] {
  const { grant } = state;
  if (grant !== undefined) state.excluded.push(grant.prefill);
  const actions = [
    ...(isUnstarted ? [] : countAbandoned(state)),
    ...cancelAllHolds(state),
    ...endAttempt(state, 'prefill-failed', now),
  ];
  return [...actions, ...startOver(state, detail, now, isUnstarted)];
}

/** Asks once more without exclusions where no other engine is left. */
export function askWithoutExclusions(state: RequestState, now: number): RequestAction[] {
  state.hasClearedExcluded = true;
  state.excluded = [];
  return askAgain(state, now);
}

/** Leaves the decode engine; uses the KV cache elsewhere while it lives, else starts over. */
export function retryDecode(state: RequestState, detail: string, now: number): RequestAction[] {
  const { grant, attemptId, phase } = state;
  const actions = withdrawAsks(state);
  if (grant !== undefined) {
    const isSourceAtFault = phase === 'importing' && state.moved !== undefined;
    if (!isSourceAtFault) state.excluded.push(grant.decode);
    actions.push(...cancelHold(state, grant.decode, attemptId));
    actions.push(...endAttempt(state, 'decode-failed', now));
  }
  const isReused = phase === 'importing' && isSourceUsable(state, now) && isRetryLeft(state, now);
  if (isReused) return [...actions, ...askAgain(state, now)];
  return [...actions, ...startOver(state, detail, now)];
}
