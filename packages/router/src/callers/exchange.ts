/** One caller's request and answer, as the filter chain passes it on. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AllowRule } from '@tarragonspool/core';
import type { CallerId, IdempotencyKey, Refusal, RequestId } from '@tarragonspool/protocol';
import type { RequestTrace } from '../journal/request-trace.js';
import type { Task } from '../tasks/tasks.js';

/** A request on its way through the filters. Filters fill in what they find. */
export type Exchange = {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  /** Milliseconds since the epoch. */
  readonly arrivedAt: number;
  readonly path: string;
  /** Filters write down what they decide, for the journal and the burn report. */
  readonly trace: RequestTrace;
  callerId: CallerId | undefined;
  rule: AllowRule | undefined;
  body: Buffer | undefined;
  idempotencyKey: IdempotencyKey | undefined;
};

/** What a filter decides. */
export type FilterVerdict =
  | { readonly kind: 'continue' }
  | { readonly kind: 'refuse'; readonly refusal: Refusal }
  | { readonly kind: 'answered' };

/** One step of the chain. */
export type Filter = (exchange: Exchange) => Task<FilterVerdict>;

/** Lets the request go on to the next filter. */
export const CONTINUE: FilterVerdict = { kind: 'continue' };
/** Ends the chain: the response has been taken care of. */
export const ANSWERED: FilterVerdict = { kind: 'answered' };

/** Refuses a request that has done no work. */
export function refuse(name: Refusal['name'], detail: string, retryAt?: number): FilterVerdict {
  const refusal: Refusal = { name, ran: 'not-run', detail, ...(retryAt && { retryAt }) };
  return { kind: 'refuse', refusal };
}

/** Runs filters in order until one ends the chain. */
export function* runFilters(filters: readonly Filter[], exchange: Exchange): Task<FilterVerdict> {
  for (const filter of filters) {
    const verdict = yield* filter(exchange);
    if (verdict.kind !== 'continue') return verdict;
  }
  return ANSWERED;
}
