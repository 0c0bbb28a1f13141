/** Events and actions of the reservation client, which requests slots for an entry VM. */

import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  HeldReservation,
  Refusal,
  ReservationRequest,
  ReservationGrant,
  ShardId,
  VmId,
} from '@tarragonspool/protocol';
import type { ShardMap } from './shards.js';

/** The allocator that assigns slots: the shared one on a VM, or this VM's private one. */
export type AllocatorAddress =
  { readonly kind: 'vm'; readonly vmId: VmId } | { readonly kind: 'private' };

/** Stage and token count that a running attempt has reached. */
export type AttemptPosition = Pick<
  AttemptProgress,
  'attemptId' | 'upstreamId' | 'stage' | 'tokens' | 'movedAt'
>;

/** Event that the reservation client handles. Times are milliseconds since the epoch. */
export type ReservationClientEvent =
  | { readonly kind: 'asked'; readonly ask: ReservationRequest; readonly now: number }
  | { readonly kind: 'withdrawn'; readonly attemptId: AttemptId; readonly now: number }
  /** A running attempt has made progress; not a move to other engines. */
  | { readonly kind: 'moved'; readonly position: AttemptPosition; readonly now: number }
  | { readonly kind: 'ended'; readonly end: AttemptEnd; readonly now: number }
  | {
      readonly kind: 'granted';
      readonly from: AllocatorAddress;
      readonly shardId: ShardId;
      readonly grant: ReservationGrant;
      readonly now: number;
    }
  | {
      readonly kind: 'refused';
      readonly from: AllocatorAddress;
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
      readonly now: number;
    }
  | {
      readonly kind: 'queued';
      readonly from: AllocatorAddress;
      readonly attemptId: AttemptId;
      readonly now: number;
    }
  /** The shards or the live VMs have changed. */
  | {
      readonly kind: 'view-changed';
      readonly shards: ShardMap;
      readonly liveVms: readonly VmId[];
      readonly now: number;
    }
  /** A new link to a VM opened; messages sent over the previous link may be lost. */
  | { readonly kind: 'link-opened'; readonly vmId: VmId; readonly now: number }
  | { readonly kind: 'ticked'; readonly now: number };

/** Action that the host performs for the reservation client. */
export type ReservationClientAction =
  | {
      readonly kind: 'send-ask';
      readonly to: AllocatorAddress;
      readonly shardId: ShardId;
      readonly ask: ReservationRequest;
    }
  | {
      readonly kind: 'send-withdraw';
      readonly to: AllocatorAddress;
      readonly shardId: ShardId;
      readonly attemptId: AttemptId;
    }
  | {
      readonly kind: 'send-held';
      readonly to: AllocatorAddress;
      readonly shardId: ShardId;
      readonly items: readonly HeldReservation[];
    }
  | {
      readonly kind: 'send-end';
      readonly to: AllocatorAddress;
      readonly shardId: ShardId;
      readonly items: readonly AttemptEnd[];
    }
  | {
      readonly kind: 'send-progress';
      readonly to: AllocatorAddress;
      readonly shardId: ShardId;
      readonly items: readonly AttemptProgress[];
    }
  | {
      readonly kind: 'answer-granted';
      readonly attemptId: AttemptId;
      readonly grant: ReservationGrant;
    }
  | {
      readonly kind: 'answer-refused';
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
    };
