/** State of a shard allocator. */

import type { AttemptId, CallerId, ReservationId, VmId } from '@tarragonspool/protocol';
import type { AllocatorOptions } from './allocator-events.js';
import { makeUsageShares, type UsageShares } from '../shares/usage-shares.js';
import { type Demand, makeDemand } from './demand.js';
import { makePoolEstimates, type PoolEstimates } from './engine-estimates.js';
import { type EnginePool, makeEnginePool, type Reservation } from './engine-state.js';
import { getObjectiveSettings, type ObjectiveSettings } from './objectives.js';
import type { PoolSummary, QueueForecast } from './forecast-types.js';
import { makeMoveBudget, type MoveBudget } from './move-budget.js';
import { makePrefixIndex, type PrefixIndex } from './prefix-index.js';
import { makeRandom, type Random } from './random.js';
import { makeWaitingQueue, type WaitingQueue } from './waiting-queue.js';

/** Usage of a caller halves in this time. */
const SHARE_HALF_LIFE_MS = 2_000;

/** State of the allocator of one shard. Times are milliseconds since the epoch. */
export type ShardState = {
  readonly kind: 'shard';
  readonly options: AllocatorOptions;
  readonly objective: ObjectiveSettings;
  readonly pool: EnginePool;
  readonly estimates: PoolEstimates;
  readonly prefixes: PrefixIndex;
  readonly queue: WaitingQueue;
  readonly shares: UsageShares<CallerId>;
  readonly reservations: Map<ReservationId, Reservation>;
  readonly reservationsByAttempt: Map<AttemptId, Reservation>;
  readonly moves: MoveBudget;
  /** VMs that have reported progress of their attempts. */
  readonly reportingVms: Set<VmId>;
  /** Ended attempts, each with the time from which no message about it can still be in transit. */
  readonly endedAttempts: Map<AttemptId, number>;
  readonly demand: Demand;
  readonly random: Random;
  summary: PoolSummary | undefined;
  forecast: QueueForecast | undefined;
  nextSequence: number;
  sweptAt: number;
  tickedAt: number;
};

/** Makes the state of a shard without engines. */
export function makeShardState(options: AllocatorOptions): ShardState {
  return {
    kind: 'shard',
    options,
    objective: getObjectiveSettings(options.objective),
    pool: makeEnginePool(),
    estimates: makePoolEstimates(),
    prefixes: makePrefixIndex(),
    queue: makeWaitingQueue(),
    shares: makeUsageShares(SHARE_HALF_LIFE_MS),
    reservations: new Map(),
    reservationsByAttempt: new Map(),
    moves: makeMoveBudget(),
    reportingVms: new Set(),
    endedAttempts: new Map(),
    demand: makeDemand(),
    random: makeRandom(options.seed),
    summary: undefined,
    forecast: undefined,
    nextSequence: 1,
    sweptAt: 0,
    tickedAt: 0,
  };
}

/** Finds the caller with the most waiting requests. */
export function findLargestCaller(queue: WaitingQueue): CallerId | undefined {
  let largest: CallerId | undefined;
  let largestCount = 0;
  for (const [callerId, count] of queue.countByCaller) {
    if (count <= largestCount) continue;
    largestCount = count;
    largest = callerId;
  }
  return largest;
}
