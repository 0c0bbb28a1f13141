/** Refuses asks, as not run, and says when to ask again. */

import type { Refusal, ReservationAsk, ResultName } from '@tarragonspool/protocol';
import type { AllocatorAction } from './allocator-events.js';
import { addUsage } from './caller-shares.js';
import { takeFraction } from './random.js';
import type { ShardState } from './shard-state.js';
import { removeWaiting, type WaitingAsk } from './waiting-queue.js';

const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 10_000;

/** Builds the refusal of an ask that has not run. */
export function refuseAsk(
  ask: ReservationAsk,
  name: ResultName,
  detail: string,
  retryAt?: number,
): AllocatorAction {
  const { vmId, requestId, attemptId } = ask;
  const refusal: Refusal = {
    name,
    ran: 'not-run',
    detail,
    ...(retryAt === undefined ? {} : { retryAt }),
  };
  return { kind: 'refuse', vmId, requestId, attemptId, refusal };
}

/** Chooses when to ask again: after the predicted excess has drained, spread by jitter. */
export function chooseRetryAt(state: ShardState, excessMs: number, now: number): number {
  const bounded = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, excessMs));
  return Math.ceil(now + bounded * (1 + takeFraction(state.random)));
}

/** Removes a waiting request and refuses it. */
export function dropWaiting(
  state: ShardState,
  waiting: WaitingAsk,
  name: ResultName,
  detail: string,
  excessMs: number,
  now: number,
): AllocatorAction[] {
  if (!removeWaiting(state.queue, waiting)) return [];
  addUsage(state.shares, waiting.ask.callerId, -waiting.workTokens, now);
  return [refuseAsk(waiting.ask, name, detail, chooseRetryAt(state, excessMs, now))];
}
