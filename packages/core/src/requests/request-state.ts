/** State of one model request on its entry VM. Times are milliseconds since the epoch. */

import type {
  AttemptEnd,
  AttemptId,
  ExecutionStatus,
  RequestId,
  ReservationGrant,
  UpstreamId,
} from '@tarragonspool/protocol';
import type { AllocationObjective } from '../allocation/allocator-events.js';
import type { KvLocation, RequestAction } from './request-messages.js';
import type { RetryBudget } from './retry-budget.js';

/** An engine that may hold memory for an attempt. */
export type AttemptHold = { readonly upstreamId: UpstreamId; readonly attemptId: AttemptId };

/** Options of a new request. Times are milliseconds since the epoch. */
export type RequestOptions = {
  readonly requestId: RequestId;
  readonly promptTokens: number;
  /** When the answer is due; an answer that has no tokens yet is not retried after it. */
  readonly answerDeadline: number;
  /** When the request is aborted once an order may have been sent; before, `answerDeadline` applies. */
  readonly lastDeadline: number;
  readonly maxTokens: number;
  readonly objective: AllocationObjective;
  readonly budget: RetryBudget;
  /** Whether the request must run at most once: no further order after one may have been sent. */
  readonly isOnce?: boolean;
  /** Distinguishes attempts of two submissions with the same request id. */
  readonly runId?: string;
};

/** State of a request in progress. */
export type RequestState = RequestOptions & {
  /**
   * `asking`: waits for a reservation. `scheduled`: has a grant and waits for its `prefillAt`.
   */
  phase: 'asking' | 'scheduled' | 'prefilling' | 'importing' | 'decoding' | 'ended';
  attemptNumber: number;
  /** Number of grants for which work was ordered. */
  usedGrants: number;
  attemptId: AttemptId;
  grant: ReservationGrant | undefined;
  /** Attempt for which a reservation is requested, to replace a stalled one. */
  standbyId: AttemptId | undefined;
  /** When a standby attempt was last requested; zero if never. */
  standbyRequestedAt: number;
  /** Attempt whose stream moves away; its engine holds the KV cache until the import. */
  movedAttempt: { readonly grant: ReservationGrant; readonly attemptId: AttemptId } | undefined;
  /** Location of the KV cache that the decode engine imports. */
  source: KvLocation | undefined;
  /** Number of times that a decode engine was ordered to import this KV cache. */
  importTries: number;
  /** Engines that may hold memory for this request. */
  holds: AttemptHold[];
  /** Number of orders that may have been sent, at least in part. */
  dispatches: number;
  /** Whether an engine has returned a result. */
  hasRun: boolean;
  /** Whether a prefill of this request has been counted as used. */
  hasUsedPrefill: boolean;
  /** Prefilled tokens that are not yet counted as used or wasted. */
  uncountedPrefillTokens: number;
  /** Number of grants that passed their start deadline before any work was ordered. */
  expiredGrants: number;
  /** Index of the next token to write to the caller. */
  nextIndex: number;
  /** Engines that failed this request. */
  excluded: UpstreamId[];
  hasClearedExcluded: boolean;
  phaseStartedAt: number;
  /** When to check whether the phase has stalled. */
  stallCheckAt: number;
  lastTokenAt: number;
  prefillMs: number | undefined;
  importMs: number | undefined;
  cachedTokens: number | undefined;
};

type AttemptIdParts = Pick<RequestOptions, 'requestId' | 'runId'>;

function makeAttemptId({ requestId, runId }: AttemptIdParts, attemptNumber: number): AttemptId {
  const prefix = runId === undefined ? requestId : `${requestId}.${runId}`;
  return `${prefix}.${attemptNumber}` as AttemptId;
}

/** Makes the state of a new request. */
export function makeRequestState(options: RequestOptions, now: number): RequestState {
  return {
    ...options,
    phase: 'asking',
    attemptNumber: 1,
    usedGrants: 0,
    attemptId: makeAttemptId(options, 1),
    grant: undefined,
    standbyId: undefined,
    standbyRequestedAt: 0,
    movedAttempt: undefined,
    source: undefined,
    importTries: 0,
    holds: [],
    dispatches: 0,
    hasRun: false,
    hasUsedPrefill: false,
    uncountedPrefillTokens: 0,
    expiredGrants: 0,
    nextIndex: 0,
    excluded: [],
    hasClearedExcluded: false,
    phaseStartedAt: now,
    stallCheckAt: Infinity,
    lastTokenAt: now,
    prefillMs: undefined,
    importMs: undefined,
    cachedTokens: undefined,
  };
}

/** Increments the attempt number and makes the id of the new attempt. */
export function makeNextAttemptId(state: RequestState): AttemptId {
  state.attemptNumber += 1;
  return makeAttemptId(state, state.attemptNumber);
}

/** Enters a phase, which is first checked for a stall at `stallCheckAt`. */
export function setPhase(
  state: RequestState,
  phase: RequestState['phase'],
  now: number,
  stallCheckAt = Infinity,
): void {
  state.phase = phase;
  state.phaseStartedAt = now;
  state.stallCheckAt = stallCheckAt;
}

/** Returns whether the request ran, as far as this VM knows. */
export function getExecutionStatus(state: RequestState): ExecutionStatus {
  if (state.hasRun) return 'ran';
  return state.dispatches > 0 ? 'unknown' : 'not-run';
}

/** Removes a hold that the engine has released; returns whether there was one. */
export function removeHold(
  state: RequestState,
  upstreamId: UpstreamId,
  attemptId: AttemptId,
): boolean {
  const at = state.holds.findIndex(
    (hold) => hold.upstreamId === upstreamId && hold.attemptId === attemptId,
  );
  if (at >= 0) state.holds.splice(at, 1);
  return at >= 0;
}

/** Cancels the hold of one engine for one attempt, if there is one. */
export function cancelHold(
  state: RequestState,
  upstreamId: UpstreamId,
  attemptId: AttemptId,
): RequestAction[] {
  if (!removeHold(state, upstreamId, attemptId)) return [];
  return [{ kind: 'cancel', upstreamId, attemptId }];
}

/** Cancels all holds of the request. */
export function cancelAllHolds(state: RequestState): RequestAction[] {
  const actions: RequestAction[] = [];
  for (const hold of state.holds) actions.push({ kind: 'cancel', ...hold });
  state.holds = [];
  return actions;
}

/** Counts the prefilled tokens not counted so far as wasted. */
export function countWastedPrefill(state: RequestState): RequestAction[] {
  const tokens = state.uncountedPrefillTokens;
  state.uncountedPrefillTokens = 0;
  return tokens > 0 ? [{ kind: 'count-prefill', fate: 'wasted', tokens }] : [];
}

/** Reports the end of the current attempt and clears its grant. */
export function endAttempt(
  state: RequestState,
  outcome: AttemptEnd['outcome'],
  now: number,
): RequestAction[] {
  const { grant, attemptId } = state;
  if (grant === undefined) return [];
  state.grant = undefined;
  const end: AttemptEnd = {
    reservationId: grant.reservationId,
    attemptId,
    outcome,
    ...(state.prefillMs === undefined ? {} : { prefillMs: state.prefillMs }),
    ...(state.cachedTokens === undefined ? {} : { cachedTokens: state.cachedTokens }),
    ...(state.importMs === undefined ? {} : { importMs: state.importMs }),
    ...(state.phase === 'decoding' ? { decodeMs: now - state.phaseStartedAt } : {}),
    tokens: state.nextIndex,
  };
  state.prefillMs = undefined;
  state.cachedTokens = undefined;
  state.importMs = undefined;
  return [{ kind: 'report-end', end }];
}

/** Reports the end of an attempt whose stream was moved to another engine. */
export function endMovedAttempt(state: RequestState): RequestAction[] {
  const { movedAttempt } = state;
  if (movedAttempt === undefined) return [];
  state.movedAttempt = undefined;
  const { reservationId } = movedAttempt.grant;
  const { attemptId } = movedAttempt;
  const outcome = 'decode-failed';
  return [
    { kind: 'report-end', end: { reservationId, attemptId, outcome, tokens: state.nextIndex } },
  ];
}
