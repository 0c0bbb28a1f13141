/** Turns what askers and allocators say to each other into messages of peers and back. */

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

/** An action that goes to an allocator. */
export type AskerSend = Exclude<
  ReservationClientAction,
  { kind: 'answer-granted' | 'answer-refused' }
>;

/** Makes the message to the VM that owns the shard. */
export function makeAskerMessage(action: AskerSend): PeerMessage {
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

/** Makes the event for an allocator on this VM. */
export function makeAllocatorEvent(action: AskerSend, now: number): AllocatorEvent {
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

/** What a peer said, as it concerns this VM's asker or its allocators. */
export type HeardMessage =
  | { readonly kind: 'ask'; readonly shardId: ShardId; readonly ask: ReservationRequest }
  | { readonly kind: 'asker-event'; readonly event: ReservationClientEvent }
  | {
      readonly kind: 'allocator-event';
      readonly shardId: ShardId;
      readonly event: AllocatorEvent;
    };

function makeHeard(shardId: ShardId, event: AllocatorEvent): HeardMessage {
  return { kind: 'allocator-event', shardId, event };
}

/** Finds out whom a peer's message concerns. */
export function parsePeerMessage(
  from: AllocatorAddress,
  said: AllocationPeerMessage,
  now: number,
): HeardMessage {
  switch (said.kind) {
    case 'ask':
      return said;
    case 'grant':
      return { kind: 'asker-event', event: { ...said, kind: 'granted', from, now } };
    case 'refuse':
      return { kind: 'asker-event', event: { ...said, kind: 'refused', from, now } };
    case 'queued':
      return { kind: 'asker-event', event: { ...said, from, now } };
    case 'withdraw':
      return makeHeard(said.shardId, { kind: 'withdrawn', attemptId: said.attemptId, now });
    case 'progress':
      return makeHeard(said.shardId, { kind: 'progressed', items: said.items, now });
    case 'end':
      return makeHeard(said.shardId, { kind: 'attempt-ended', items: said.items, now });
    case 'held':
      return makeHeard(said.shardId, { kind: 'held-announced', items: said.items, now });
    default:
      return assertNever(said);
  }
}
