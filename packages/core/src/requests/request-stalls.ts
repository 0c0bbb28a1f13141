/** Decides what becomes of attempts that make no progress. Times are epoch milliseconds. */

import type { AttemptId } from '@tarragonspool/protocol';
import { isRetryable, retryDecode, retryPrefill } from './request-recovery.js';
import type { RequestAction } from './request-messages.js';
import { makeNextAttemptId, type RequestState } from './request-state.js';
import { findNextCheckTime, findPrefillStallTime } from './stall-rule.js';
import { adviseRecovery, type AttemptView } from '../allocation/recovery.js';

/** A request that has used up this many grants gets no standby attempt. */
const MAX_USED_GRANTS_FOR_STANDBY = 4;
/** A stream without a token for this long is certainly stuck. */
const STUCK_STREAM_MS = 600;

/**
 * Requests a reservation for a standby attempt while the stalled one continues; the request is
 * withdrawn if the stalled one makes progress first.
 */
function requestStandby(
  state: RequestState,
  movesFrom: AttemptId | undefined,
  now: number,
): RequestAction[] {
  const { grant, phase } = state;
  if (grant === undefined || state.standbyId !== undefined) return [];
  if (state.usedGrants >= MAX_USED_GRANTS_FOR_STANDBY) return [];
  state.standbyId = makeNextAttemptId(state);
  state.standbyRequestedAt = now;
  const attemptId = state.standbyId;
  const resumeFrom = phase === 'decoding' ? grant.decode : undefined;
  const excluded = [...state.excluded, resumeFrom ?? grant.prefill];
  return [{ kind: 'ask', attemptId, excluded, resumeFrom, movesFrom }];
}

function checkRecovery(
  state: RequestState,
  stage: AttemptView['stage'],
  now: number,
): RequestAction[] {
  const { grant, promptTokens, maxTokens, nextIndex: tokens, standbyRequestedAt: askedAt } = state;
  if (grant === undefined) return [];
  state.stallCheckAt = findNextCheckTime(now);
  const movedAt = stage === 'decode' ? state.lastTokenAt : state.phaseStartedAt;
  const view = { grant, stage, promptTokens, maxTokens, tokens, movedAt, askedAt };
  const advice = adviseRecovery(view, state.objective, now);
  if (advice === 'wait') return [];
  if (stage === 'prefill') return state.isOnce ? [] : requestStandby(state, state.attemptId, now);
  // A stream that is certainly stuck requests a reservation like any other request: without
  // `movesFrom`, the allocator does not judge whether the move is worthwhile.
  const isStuck = now >= movedAt + STUCK_STREAM_MS;
  return requestStandby(state, isStuck ? undefined : state.attemptId, now);
}

/** Handles a check of an attempt that may have stalled: it is retried, or a standby is requested. */
export function handleStallCheck(state: RequestState, now: number): RequestAction[] {
  switch (state.phase) {
    case 'prefilling': {
      const { grant, phaseStartedAt } = state;
      const isStalled = grant !== undefined && now >= findPrefillStallTime(grant, phaseStartedAt);
      if (isStalled && isRetryable(state, now)) {
        return retryPrefill(state, 'the prefill stalled', now);
      }
      return checkRecovery(state, 'prefill', now);
    }
    case 'importing':
      // The first check of an import is at the time when it counts as stalled.
      if (isRetryable(state, now)) return retryDecode(state, 'the KV import stalled', now);
      state.stallCheckAt = findNextCheckTime(now);
      return [];
    case 'decoding':
      return checkRecovery(state, 'decode', now);
    default:
      return [];
  }
}
