/** Messages to the allocation task. */

import type {
  AllocatorEvent,
  AttemptPosition,
  ListedEngine,
  RequestEvent,
  ShardEngine,
} from '@tarragonspool/core';
import type {
  AttemptEnd,
  AttemptId,
  Incarnation,
  PeerMessage,
  ReservationRequest,
  VmId,
} from '@tarragonspool/protocol';
import { makeChannel, type Channel } from '../tasks/tasks.js';

/** Messages between entry VMs that the allocation task handles. */
export type AllocationPeerMessage = Extract<
  PeerMessage,
  { kind: 'ask' | 'grant' | 'refuse' | 'queued' | 'withdraw' | 'progress' | 'end' | 'held' }
>;

/** Result of polling an engine. */
export type EnginePollResult = Extract<
  AllocatorEvent,
  { kind: 'load-reported' | 'cache-changed' | 'holds-listed' }
>;

/** Message to the allocation task. Times are milliseconds since the epoch. */
export type AllocationMessage =
  | {
      readonly kind: 'ask';
      readonly ask: ReservationRequest;
      /** Inbox that receives the grant or refusal. */
      readonly requestInbox: Channel<RequestEvent>;
      readonly now: number;
    }
  | { readonly kind: 'withdraw'; readonly attemptId: AttemptId; readonly now: number }
  | { readonly kind: 'move'; readonly position: AttemptPosition; readonly now: number }
  | { readonly kind: 'end'; readonly end: AttemptEnd; readonly now: number }
  | {
      readonly kind: 'peer-said';
      readonly vmId: VmId;
      readonly message: AllocationPeerMessage;
      readonly now: number;
    }
  | { readonly kind: 'link-opened'; readonly vmId: VmId; readonly now: number }
  | {
      readonly kind: 'vm-gone';
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly now: number;
    }
  | {
      readonly kind: 'engines-listed';
      readonly engines: readonly (ListedEngine & ShardEngine)[];
      readonly now: number;
    }
  | { readonly kind: 'engine-reported'; readonly report: EnginePollResult }
  | { readonly kind: 'ticked'; readonly liveVms: readonly VmId[]; readonly now: number };

/** Inbox of the allocation task. */
export type AllocationInbox = Channel<AllocationMessage>;

const INBOX_CAPACITY = 16_384;

/** Makes the inbox of the allocation task. */
export function makeAllocationInbox(): AllocationInbox {
  return makeChannel<AllocationMessage>(INBOX_CAPACITY);
}

/** Returns whether a message between entry VMs is for the allocation task. */
export function isAllocationMessage(message: PeerMessage): message is AllocationPeerMessage {
  switch (message.kind) {
    case 'ask':
    case 'grant':
    case 'refuse':
    case 'queued':
    case 'withdraw':
    case 'progress':
    case 'end':
    case 'held':
      return true;
    default:
      return false;
  }
}
