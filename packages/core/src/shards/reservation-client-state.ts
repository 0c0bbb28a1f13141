/** State of the reservation client: the part of an entry VM that requests slots from allocators. */

import type {
  AttemptId,
  ReservationRequest,
  ReservationGrant,
  ShardId,
  VmId,
} from '@tarragonspool/protocol';
import type { AttemptPosition, AllocatorAddress } from './reservation-client-messages.js';
import type { ShardMap } from './shards.js';

/** A reservation request that has been neither granted nor refused yet. */
export type PendingReservation = {
  readonly ask: ReservationRequest;
  readonly triedShards: ShardId[];
  readonly triedVms: VmId[];
  shardId: ShardId;
  to: AllocatorAddress;
  /** When to try another allocator if the owner has not replied; undefined once it has. */
  replyBy: number | undefined;
};

/** A granted reservation that this VM uses. */
export type ActiveReservation = {
  readonly ask: ReservationRequest;
  readonly grant: ReservationGrant;
  readonly shardId: ShardId;
  owner: AllocatorAddress;
  position: AttemptPosition;
  reportedPosition: AttemptPosition | undefined;
};

/** State of the reservation client of one VM. Times are milliseconds since the epoch. */
export type ReservationClientState = {
  /** False for the baseline policies, where each VM allocates by itself. */
  readonly hasSharedAllocators: boolean;
  shards: ShardMap;
  liveVms: readonly VmId[];
  readonly waiting: Map<AttemptId, PendingReservation>;
  readonly held: Map<AttemptId, ActiveReservation>;
  /** VMs that did not reply to a request, and until when they are skipped. */
  readonly silentUntil: Map<VmId, number>;
  nextProgressAt: number;
};

/** Makes the state of a reservation client that knows no shards yet. */
export function makeReservationClientState(hasSharedAllocators: boolean): ReservationClientState {
  return {
    hasSharedAllocators,
    shards: new Map(),
    liveVms: [],
    waiting: new Map(),
    held: new Map(),
    silentUntil: new Map(),
    nextProgressAt: 0,
  };
}
