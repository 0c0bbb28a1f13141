/** Owns the allocator's state on this VM and carries its grants and refusals to requests. */

import {
  handleAllocatorEvent,
  makeAllocatorState,
  type AllocatorAction,
  type AllocatorEvent,
  type AllocatorOptions,
  type RequestEvent,
} from '@tarragonspool/core';
import { assertNever, type AttemptId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import type { Directory } from '../upstreams/directory.js';

/** What the allocation task receives. */
export type AllocationMessage =
  | AllocatorEvent
  | {
      /** Names the request task that waits for the answer to an ask. */
      readonly kind: 'await-answer';
      readonly attemptId: AttemptId;
      readonly requestInbox: Channel<RequestEvent>;
    };

/** Inbox of the allocation task. */
export type AllocationInbox = Channel<AllocationMessage>;

const INBOX_CAPACITY = 16_384;
const CANCEL_TIMEOUT_MS = 2_000;

/** Makes the inbox of the allocation task. */
export function makeAllocationInbox(): AllocationInbox {
  return makeChannel<AllocationMessage>(INBOX_CAPACITY);
}

type Waiting = Map<AttemptId, Channel<RequestEvent>>;

function answerRequest(waiting: Waiting, attemptId: AttemptId, event: RequestEvent): void {
  const requestInbox = waiting.get(attemptId);
  waiting.delete(attemptId);
  if (requestInbox !== undefined) offer(requestInbox, event);
}

function performAction(action: AllocatorAction, waiting: Waiting, directory: Directory): void {
  const now = Date.now();
  switch (action.kind) {
    case 'grant':
      answerRequest(waiting, action.ask.attemptId, { kind: 'granted', grant: action.grant, now });
      return;
    case 'refuse': {
      const { attemptId, refusal } = action;
      answerRequest(waiting, attemptId, { kind: 'refused', attemptId, refusal, now });
      return;
    }
    case 'cancel-hold':
      directory.engines
        .get(action.upstreamId)
        ?.client.cancel(action.attemptId, now + CANCEL_TIMEOUT_MS)
        .catch(() => undefined);
      return;
    case 'report-violation':
      throw new Error(`${action.invariant}: ${action.detail}`);
    default:
      assertNever(action);
  }
}

/** Runs until the inbox closes. */
export function* runAllocation(
  inbox: AllocationInbox,
  options: AllocatorOptions,
  directory: Directory,
  logger: Logger,
): Task {
  const state = makeAllocatorState(options);
  const waiting: Waiting = new Map();
  for (;;) {
    const message = yield* receive(inbox);
    if (message === undefined) return;
    if (message.kind === 'await-answer') {
      waiting.set(message.attemptId, message.requestInbox);
      continue;
    }
    const actions = handleAllocatorEvent(state, message);
    if (actions.length > 0) logger.debug({ event: message.kind }, 'allocation: event handled');
    for (const action of actions) performAction(action, waiting, directory);
  }
}
