/** State of one model request on its entry VM. Times are milliseconds since the epoch. */

import type {
  AttemptEnd,
  AttemptId,
  RanState,
  RequestId,
  ReservationGrant,
  UpstreamId,
} from '@tarragonspool/protocol';
import type { AllocationObjective } from '../allocation/allocator-events.js';
import type { KvLocation, RequestAction } from './request-messages.js';
import type { RetryBudget } from './retry-budget.js';

/** Something that an engine may hold for an attempt. */
export type AttemptHold = { readonly upstreamId: UpstreamId; readonly attemptId: AttemptId };

/** What a new request is made of. Times are milliseconds since the epoch. */
export type RequestOptions = {
  readonly requestId: RequestId;
  readonly promptTokens: number;
  /** When the answer is due; no work starts for it later. */
  readonly answerDeadline: number;
  /** When an answer under way is given up. */
  readonly lastDeadline: number;
  readonly maxTokens: number;
  readonly objective: AllocationObjective;
  readonly budget: RetryBudget;
  /** Whether nothing may be ordered again once an order has been sent. */
  readonly isOnce?: boolean;
  /** Keeps attempts of two submissions of one request id apart. */
  readonly runId?: string;
};

/** What a request needs to know of itself. */
export type RequestState = RequestOptions & {
  /** `holding` waits for the time at which the grant lets the prefill start. */
  phase: 'asking' | 'holding' | 'prefilling' | 'importing' | 'decoding' | 'ended';
  attempt: number;
  /** Grants that were used. */
  grants: number;
  attemptId: AttemptId;
  grant: ReservationGrant | undefined;
  /** Ask for other places while an engine does not come on. */
  rescueId: AttemptId | undefined;
  rescueAskedAt: number;
  /** Attempt whose stream is being moved; its engine holds the KV cache until the import. */
  moved: { readonly grant: ReservationGrant; readonly attemptId: AttemptId } | undefined;
  /** KV cache that the decode engine imports. */
  source: KvLocation | undefined;
  /** How often the KV cache was offered to a decode engine. */
  sourceTries: number;
  holds: AttemptHold[];
  /** Orders of which a byte may have left. */
  dispatches: number;
  /** Whether an engine has shown a result. */
  hasRun: boolean;
  hasUsedPrefill: boolean;
  /** Prefilled tokens that are not yet counted as used or wasted. */
  openPrefillTokens: number;
  lateGrants: number;
  nextIndex: number;
  /** Engines that failed this request. */
  excluded: UpstreamId[];
  hasClearedExcluded: boolean;
  phaseStartedAt: number;
  /** When to look whether the phase is stalled. */
  stallAt: number;
  lastTokenAt: number;
  prefillMs: number | undefined;
  importMs: number | undefined;
  cachedTokens: number | undefined;
};

type AttemptNames = Pick<RequestOptions, 'requestId' | 'runId'>;

function makeAttemptId({ requestId, runId }: AttemptNames, attempt: number): AttemptId {
  const prefix = runId === undefined ? requestId : `${requestId}.${runId}`;
  return `${prefix}.${attempt}` as AttemptId;
}

/** Makes the state of a new request. */
export function makeRequestState(options: RequestOptions, now: number): RequestState {
  return {
    ...options,
    phase: 'asking',
    attempt: 1,
    grants: 0,
    attemptId: makeAttemptId(options, 1),
    grant: undefined,
    rescueId: undefined,
    rescueAskedAt: 0,
    moved: undefined,
    source: undefined,
    sourceTries: 0,
    holds: [],
    dispatches: 0,
    hasRun: false,
    hasUsedPrefill: false,
    openPrefillTokens: 0,
    lateGrants: 0,
    nextIndex: 0,
    excluded: [],
    hasClearedExcluded: false,
    phaseStartedAt: now,
    stallAt: Infinity,
    lastTokenAt: now,
    prefillMs: undefined,
    importMs: undefined,
    cachedTokens: undefined,
  };
}

/** Makes the id of one more attempt. */
export function takeAttemptId(state: RequestState): AttemptId {
  state.attempt += 1;
  return makeAttemptId(state, state.attempt);
}

/** Enters a phase, which counts as stalled at `stallAt`. */
export function setPhase(
  state: RequestState,
  phase: RequestState['phase'],
  now: number,
  stallAt = Infinity,
): void {
  state.phase = phase;
  state.phaseStartedAt = now;
  state.stallAt = stallAt;
}

/** Says what may truthfully be said of the work so far. */
export function getRanState(state: RequestState): RanState {
  if (state.hasRun) return 'ran';
  return state.dispatches > 0 ? 'unknown' : 'not-run';
}

/** Forgets a hold that the engine has given up. */
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

/** Cancels one hold, if there is one. */
export function cancelHold(
  state: RequestState,
  upstreamId: UpstreamId,
  attemptId: AttemptId,
): RequestAction[] {
  if (!removeHold(state, upstreamId, attemptId)) return [];
  return [{ kind: 'cancel', upstreamId, attemptId }];
}

/** Cancels every hold. */
export function cancelAllHolds(state: RequestState): RequestAction[] {
  const actions: RequestAction[] = [];
  for (const hold of state.holds) actions.push({ kind: 'cancel', ...hold });
  state.holds = [];
  return actions;
}

/** Counts prefilled tokens that nobody will use. */
export function countWaste(state: RequestState): RequestAction[] {
  const tokens = state.openPrefillTokens;
  state.openPrefillTokens = 0;
  return tokens > 0 ? [{ kind: 'count-prefill', fate: 'wasted', tokens }] : [];
}

/** Reports the end of the current attempt and gives up its grant. */
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

/** Reports the end of an attempt whose stream was moved away. */
export function endMoved(state: RequestState): RequestAction[] {
  const { moved } = state;
  if (moved === undefined) return [];
  state.moved = undefined;
  const { reservationId } = moved.grant;
  const { attemptId } = moved;
  const outcome = 'decode-failed';
  return [
    { kind: 'report-end', end: { reservationId, attemptId, outcome, tokens: state.nextIndex } },
  ];
}
