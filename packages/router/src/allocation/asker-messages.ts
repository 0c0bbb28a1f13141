/** Turns what the asker sends into a message to a peer or an event of a local allocator. */

import type { AllocatorEvent, AskerAction } from '@tarragonspool/core';
import { assertNever, type PeerMessage } from '@tarragonspool/protocol';

/** An action that goes to an allocator. */
export type AskerSend = Exclude<AskerAction, { kind: 'answer-granted' | 'answer-refused' }>;

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
