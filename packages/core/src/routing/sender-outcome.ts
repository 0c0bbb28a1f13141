/** Decides what follows from the outcome of one send to a server. */

import { assertNever } from '@tarragonspool/protocol';
import type { RouteKind } from './routing-types.js';

/** How one send ended, as far as this VM knows. */
export type SendOutcome =
  /** The whole answer is there, or its head if it is forwarded as it arrives. */
  | { readonly kind: 'answered'; readonly status: number; readonly isSigned: boolean }
  /** No byte left, or the server itself says that it did not run the request. */
  | { readonly kind: 'not-run'; readonly reason: string }
  /** Bytes left and no usable answer came: the request may have run. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** What to do next. */
export type NextStep =
  | { readonly kind: 'forward' }
  | { readonly kind: 'retry' }
  /** Answer that the request has not run. */
  | { readonly kind: 'refuse' }
  /** Answer that nothing is promised. */
  | { readonly kind: 'fail' };

/** What the decision depends on besides the outcome. */
export type SendHistory = {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  /** Sends that may have run so far, this one included. */
  readonly runs: number;
  readonly maxAttempts: number;
  /** Whether time and the budget allow another send. */
  readonly mayRetry: boolean;
};

const FIRST_SERVER_ERROR = 500;
/** Statuses that promise that a request has not run; a server may mean something else by them. */
const PROMISES = new Set([408, 421, 429, 503]);

function mayRepeat({ kind, isResumable }: SendHistory): boolean {
  switch (kind) {
    case 'idempotent':
      return true;
    case 'non-idempotent':
      return false;
    case 'stream':
      return isResumable;
    default:
      return assertNever(kind);
  }
}

/** Decides what follows from an outcome. */
export function chooseNextStep(outcome: SendOutcome, history: SendHistory): NextStep {
  const mayRunAgain = mayRepeat(history) && history.runs < history.maxAttempts;
  switch (outcome.kind) {
    case 'answered': {
      const isFailure = outcome.status >= FIRST_SERVER_ERROR || PROMISES.has(outcome.status);
      if (!isFailure) return outcome.isSigned ? { kind: 'forward' } : { kind: 'fail' };
      if (mayRunAgain && history.mayRetry) return { kind: 'retry' };
      return PROMISES.has(outcome.status) || !outcome.isSigned
        ? { kind: 'fail' }
        : { kind: 'forward' };
    }
    case 'not-run':
      if (history.mayRetry) return { kind: 'retry' };
      // Only a request that ran nowhere before may be told not to have run.
      return history.runs === 0 ? { kind: 'refuse' } : { kind: 'fail' };
    case 'unknown':
      return mayRunAgain && history.mayRetry ? { kind: 'retry' } : { kind: 'fail' };
    default:
      return assertNever(outcome);
  }
}
