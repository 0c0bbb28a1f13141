/** State of the part of an entry VM that asks allocators for places. */

import type {
  AttemptId,
  ReservationAsk,
  ReservationGrant,
  ShardId,
  VmId,
} from '@tarragonspool/protocol';
import type { AttemptPosition, Granter } from './asker-messages.js';
import type { ShardMap } from './shards.js';

/** An ask that has no answer yet. */
export type WaitingAsk = {
  readonly ask: ReservationAsk;
  readonly triedShards: ShardId[];
  readonly triedVms: VmId[];
  shardId: ShardId;
  to: Granter;
  /** When to ask elsewhere unless the owner has said anything; undefined once it has. */
  answerBy: number | undefined;
};

/** Places that this VM uses. */
export type HeldPlaces = {
  readonly ask: ReservationAsk;
  readonly grant: ReservationGrant;
  readonly shardId: ShardId;
  owner: Granter;
  position: AttemptPosition;
  sentPosition: AttemptPosition | undefined;
};

/** Whole state of the asker of one VM. */
export type AskerState = {
  /** False for the baseline policies, which decide on each VM alone. */
  readonly isShared: boolean;
  shards: ShardMap;
  liveVms: readonly VmId[];
  readonly waiting: Map<AttemptId, WaitingAsk>;
  readonly held: Map<AttemptId, HeldPlaces>;
  /** VMs that left an ask without an answer, and until when they are passed over. */
  readonly silentUntil: Map<VmId, number>;
  nextProgressAt: number;
};

/** Makes the state of an asker that knows no shard yet. */
export function makeAskerState(isShared: boolean): AskerState {
  return {
    isShared,
    shards: new Map(),
    liveVms: [],
    waiting: new Map(),
    held: new Map(),
    silentUntil: new Map(),
    nextProgressAt: 0,
  };
}
