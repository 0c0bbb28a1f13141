/** The cancel task: cancels holds on engines, and retries until the engine confirms or the hold lapses. */

import type { AttemptId, UpstreamId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import type { Directory } from '../upstreams/directory.js';

/** A hold to cancel. */
export type CancelOrder = {
  readonly upstreamId: UpstreamId;
  readonly attemptId: AttemptId;
  /** When the engine drops the hold by itself, in milliseconds since the epoch. */
  readonly deadline: number;
};

/** Messages to the cancel task. */
export type CancelMessage =
  | { readonly kind: 'cancel'; readonly order: CancelOrder }
  | { readonly kind: 'settled'; readonly order: CancelOrder; readonly isConfirmed: boolean }
  | { readonly kind: 'ticked'; readonly now: number };

/** Inbox of the cancel task. */
export type CancelInbox = Channel<CancelMessage>;

type PendingCancel = { readonly order: CancelOrder; nextTryAt: number; isInFlight: boolean };

const INBOX_CAPACITY = 16_384;
const MAX_PENDING = 10_000;
const CALL_TIMEOUT_MS = 2_000;
const RETRY_INTERVAL_MS = 500;

/** Makes the inbox of the cancel task. */
export function makeCancelInbox(): CancelInbox {
  return makeChannel<CancelMessage>(INBOX_CAPACITY);
}

/** Dependencies of the cancel task. */
export type CancelParts = {
  readonly directory: Directory;
  readonly metrics: Metrics;
  readonly logger: Logger;
};

/** Runs the cancel task until its inbox closes. */
export function* runCancels(inbox: CancelInbox, parts: CancelParts): Task {
  const pending = new Map<string, PendingCancel>();

  function sendCancel(entry: PendingCancel): void {
    const { order } = entry;
    const engine = parts.directory.engines.get(order.upstreamId);
    if (engine === undefined) return;
    entry.isInFlight = true;
    const settle = (isConfirmed: boolean): void => {
      offer(inbox, { kind: 'settled', order, isConfirmed });
    };
    engine.client.cancel(order.attemptId, Date.now() + CALL_TIMEOUT_MS).then(settle, () => {
      settle(false);
    });
  }

  function addOrder(order: CancelOrder): void {
    const key = `${order.upstreamId}|${order.attemptId}`;
    if (pending.has(key)) return;
    if (pending.size >= MAX_PENDING) {
      parts.metrics.cancels.inc({ result: 'dropped' });
      parts.logger.warn(
        { ...order },
        'engines: list of pending cancels is full, hold not cancelled',
      );
      return;
    }
    const entry = { order, nextTryAt: 0, isInFlight: false };
    pending.set(key, entry);
    sendCancel(entry);
  }

  function settleOrder(order: CancelOrder, isConfirmed: boolean): void {
    const key = `${order.upstreamId}|${order.attemptId}`;
    const entry = pending.get(key);
    if (entry === undefined) return;
    if (isConfirmed) {
      pending.delete(key);
      parts.metrics.cancels.inc({ result: 'confirmed' });
      return;
    }
    entry.isInFlight = false;
    entry.nextTryAt = Date.now() + RETRY_INTERVAL_MS;
  }

  function retryDue(now: number): void {
    for (const [key, entry] of pending) {
      if (entry.isInFlight) continue;
      if (now >= entry.order.deadline) {
        pending.delete(key);
        parts.metrics.cancels.inc({ result: 'lapsed' });
      } else if (now >= entry.nextTryAt) sendCancel(entry);
    }
  }

  for (;;) {
    const message = yield* receive(inbox);
    if (message === undefined) return;
    if (message.kind === 'cancel') addOrder(message.order);
    else if (message.kind === 'settled') settleOrder(message.order, message.isConfirmed);
    else retryDue(message.now);
    parts.metrics.pendingCancels.set(pending.size);
  }
}
