/** Cancels what engines hold, again and again until the engine confirms or the hold has lapsed. */

import type { AttemptId, UpstreamId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import type { Directory } from '../upstreams/directory.js';

/** A hold to cancel. */
export type CancelOrder = {
  readonly upstreamId: UpstreamId;
  readonly attemptId: AttemptId;
  /** When the engine drops the hold by itself. */
  readonly deadline: number;
};

/** What the cancel task receives. */
export type CancelMessage =
  | { readonly kind: 'cancel'; readonly order: CancelOrder }
  | { readonly kind: 'settled'; readonly order: CancelOrder; readonly isConfirmed: boolean }
  | { readonly kind: 'ticked'; readonly now: number };

/** Inbox of the cancel task. */
export type CancelInbox = Channel<CancelMessage>;

type PendingCancel = { readonly order: CancelOrder; nextTryAt: number; isUnderWay: boolean };

const INBOX_CAPACITY = 16_384;
const MAX_PENDING = 10_000;
const CALL_TIMEOUT_MS = 2_000;
const RETRY_INTERVAL_MS = 500;

/** Makes the inbox of the cancel task. */
export function makeCancelInbox(): CancelInbox {
  return makeChannel<CancelMessage>(INBOX_CAPACITY);
}

/** What the cancel task works with. */
export type CancelParts = {
  readonly directory: Directory;
  readonly metrics: Metrics;
  readonly logger: Logger;
};

/** Runs until the inbox closes. */
export function* runCancels(inbox: CancelInbox, parts: CancelParts): Task {
  const pending = new Map<string, PendingCancel>();

  function callEngine(entry: PendingCancel): void {
    const { order } = entry;
    const engine = parts.directory.engines.get(order.upstreamId);
    if (engine === undefined) return;
    entry.isUnderWay = true;
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
      parts.logger.warn({ ...order }, 'engines: cancel list full');
      return;
    }
    const entry = { order, nextTryAt: 0, isUnderWay: false };
    pending.set(key, entry);
    callEngine(entry);
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
    entry.isUnderWay = false;
    entry.nextTryAt = Date.now() + RETRY_INTERVAL_MS;
  }

  function retryDue(now: number): void {
    for (const [key, entry] of pending) {
      if (entry.isUnderWay) continue;
      if (now >= entry.order.deadline) {
        pending.delete(key);
        parts.metrics.cancels.inc({ result: 'lapsed' });
      } else if (now >= entry.nextTryAt) callEngine(entry);
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
