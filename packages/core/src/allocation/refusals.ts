/** Refuses requests that have not run and chooses when the caller may retry. */

import type { Refusal, ReservationRequest, ResultName } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { addUsage } from '../shares/usage-shares.js';
import { takeFraction } from './random.js';
import type { ShardState } from './shard-state.js';
import { removeWaiting, type WaitingRequest } from './waiting-queue.js';

const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 10_000;

/** Builds the refusal of a request that has not run. */
export function refuseRequest(
  request: ReservationRequest,
  name: ResultName,
  detail: string,
  retryAt?: number,
): AllocatorAction {
  const { vmId, requestId, attemptId } = request;
  const refusal: Refusal = {
    name,
    ran: 'not-run',
    detail,
    ...(retryAt === undefined ? {} : { retryAt }),
  };
  return { kind: 'refuse', vmId, requestId, attemptId, refusal };
}

/**
 * Chooses the time of a retry: after the excess work (ms) should have drained, plus random jitter.
 */
export function chooseRetryAt(state: ShardState, excessMs: number, now: number): number {
  const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs));
  return Math.ceil(now + boundedMs * (1 + takeFraction(state.random)));
}

/** Removes a request from the queue, takes its usage back and refuses it. */
export function dropWaitingRequest(
  state: ShardState,
  waiting: WaitingRequest,
  name: ResultName,
  detail: string,
  excessMs: number,
  now: number,
): AllocatorAction[] {
  if (!removeWaiting(state.queue, waiting)) return [];
  addUsage(state.shares, waiting.ask.callerId, -waiting.workTokens, now);
  return [refuseRequest(waiting.ask, name, detail, chooseRetryAt(state, excessMs, now))];
}
