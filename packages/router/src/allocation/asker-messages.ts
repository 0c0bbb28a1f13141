/** Converts messages between reservation clients and allocators to messages between peers and back. */

import type {
  AllocatorEvent,
  ReservationClientAction,
  ReservationClientEvent,
  AllocatorAddress,
} from '@tarragonspool/core';
import {
  assertNever,
  type PeerMessage,
  type ReservationRequest,
  type ShardId,
} from '@tarragonspool/protocol';
import type { AllocationPeerMessage } from './allocation-messages.js';

/** Action of the reservation client that is sent to an allocator. */
export type SendAction = Exclude<
  ReservationClientAction,
  { kind: 'answer-granted' | 'answer-refused' }
>;

/** Makes the message of an action to the VM that owns the shard. */
export function makeAllocatorMessage(action: SendAction): PeerMessage {
  const { shardId } = action;
  switch (action.kind) {
    case 'send-ask':
      return { kind: 'ask', shardId, ask: action.ask };
    case 'send-withdraw':
      return { kind: 'withdraw', shardId, attemptId: action.attemptId };
    case 'send-held':
      return { kind: 'held', shardId, items: action.items };
    case 'send-end':
      return { kind: 'end', shardId, items: action.items };
    case 'send-progress':
      return { kind: 'progress', shardId, items: action.items };
    default:
      return assertNever(action);
  }
}

/** Makes the event of an action for an allocator on this VM. */
export function makeAllocatorEvent(action: SendAction, now: number): AllocatorEvent {
  switch (action.kind) {
    case 'send-ask':
      return { kind: 'asked', ask: action.ask, now };
    case 'send-withdraw':
      return { kind: 'withdrawn', attemptId: action.attemptId, now };
    case 'send-held':
      return { kind: 'held-announced', items: action.items, now };
    case 'send-end':
      return { kind: 'attempt-ended', items: action.items, now };
    case 'send-progress':
      return { kind: 'progressed', items: action.items, now };
    default:
      return assertNever(action);
  }
}

/** A peer's message, converted for this VM's reservation client or its allocators. */
export type ReceivedMessage =
  | { readonly kind: 'ask'; readonly shardId: ShardId; readonly ask: ReservationRequest }
  | { readonly kind: 'asker-event'; readonly event: ReservationClientEvent }
  | {
      readonly kind: 'allocator-event';
      readonly shardId: ShardId;
      readonly event: AllocatorEvent;
    };

function wrapAllocatorEvent(shardId: ShardId, event: AllocatorEvent): ReceivedMessage {
  return { kind: 'allocator-event', shardId, event };
}

/** Converts a peer's message for the reservation client or the allocator that it is for. */
export function parsePeerMessage(
  from: AllocatorAddress,
  message: AllocationPeerMessage,
  now: number,
): ReceivedMessage {
  switch (message.kind) {
    case 'ask':
      return message;
    case 'grant':
      return { kind: 'asker-event', event: { ...message, kind: 'granted', from, now } };
    case 'refuse':
      return { kind: 'asker-event', event: { ...message, kind: 'refused', from, now } };
    case 'queued':
      return { kind: 'asker-event', event: { ...message, from, now } };
    case 'withdraw':
      return wrapAllocatorEvent(message.shardId, {
        kind: 'withdrawn',
        attemptId: message.attemptId,
        now,
      });
    case 'progress':
      return wrapAllocatorEvent(message.shardId, { kind: 'progressed', items: message.items, now });
    case 'end':
      return wrapAllocatorEvent(message.shardId, {
        kind: 'attempt-ended',
        items: message.items,
        now,
      });
    case 'held':
      return wrapAllocatorEvent(message.shardId, {
        kind: 'held-announced',
        items: message.items,
        now,
      });
    default:
      return assertNever(message);
  }
}
