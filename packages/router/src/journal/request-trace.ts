/** What became of one request, as `request explain` shows it. Times are milliseconds since the epoch. */

import type { RequestAction } from '@tarragonspool/core';
import {
  assertNever,
  type Refusal,
  type RequestId,
  type ServiceName,
  type UpstreamId,
} from '@tarragonspool/protocol';

/** One try at running the request. */
export type AttemptTrace = {
  readonly attemptId: string;
  readonly askedAt: number;
  grantedAt?: number;
  prefill?: UpstreamId;
  decode?: UpstreamId;
  prefilledAt?: number;
  endedAt?: number;
  outcome?: string;
  tokens?: number;
};

/** One request from its arrival on. */
export type RequestTrace = {
  readonly requestId: RequestId;
  readonly arrivedAt: number;
  readonly path: string;
  callerId?: string;
  service?: ServiceName;
  model?: string;
  firstTokenDeadline?: number;
  answerDeadline?: number;
  firstTokenAt?: number;
  endedAt?: number;
  /** Name of the result: "answered" or that of the refusal. */
  result?: string;
  ran?: Refusal['ran'];
  detail?: string;
  readonly attempts: AttemptTrace[];
};

/** Name of the result of a whole answer. */
export const ANSWERED_RESULT = 'answered';

const MAX_ATTEMPTS = 16;
const MAX_TEXT_LENGTH = 256;

function cutText(text: string): string {
  return text.slice(0, MAX_TEXT_LENGTH);
}

/** Makes the trace of a request that has just arrived. */
export function makeRequestTrace(
  requestId: RequestId,
  arrivedAt: number,
  path: string,
): RequestTrace {
  return { requestId, arrivedAt, path: cutText(path), attempts: [] };
}

/** Records the end of a request that was answered. */
export function recordAnswered(trace: RequestTrace, now: number): void {
  trace.endedAt = now;
  trace.result = ANSWERED_RESULT;
  trace.ran = 'ran';
}

/** Records the end of a request that was refused or failed. */
export function recordRefused(trace: RequestTrace, refusal: Refusal, now: number): void {
  trace.endedAt = now;
  trace.result = refusal.name;
  trace.ran = refusal.ran;
  trace.detail = cutText(refusal.detail);
}

/** Records a decision about a model request. */
export function recordAction(trace: RequestTrace, action: RequestAction, now: number): void {
  const attempt = trace.attempts.at(-1);
  switch (action.kind) {
    case 'ask':
      if (trace.attempts.length >= MAX_ATTEMPTS) return;
      trace.attempts.push({ attemptId: action.attemptId, askedAt: now });
      return;
    case 'start-prefill':
      if (attempt === undefined) return;
      attempt.grantedAt = now;
      attempt.prefill = action.grant.prefill;
      attempt.decode = action.grant.decode;
      return;
    case 'start-decode':
      if (attempt === undefined) return;
      attempt.decode = action.grant.decode;
      attempt.prefilledAt = now;
      return;
    case 'report-end':
      if (attempt === undefined) return;
      attempt.endedAt = now;
      attempt.outcome = action.end.outcome;
      attempt.tokens = action.end.tokens;
      return;
    case 'write-token':
      trace.firstTokenAt ??= now;
      return;
    case 'finish':
      recordAnswered(trace, now);
      return;
    case 'fail':
      recordRefused(trace, action.refusal, now);
      return;
    case 'cancel':
    case 'withdraw':
    case 'count-prefill':
      return;
    default:
      assertNever(action);
  }
}
