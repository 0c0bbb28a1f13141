/** State of the allocator that queues, reserves and refuses. */

import type { AttemptId, CallerId, ReservationId, VmId } from '@tarragonspool/protocol';
import type { AllocatorOptions } from './allocator-events.js';
import { makeCallerShares, type CallerShares } from './caller-shares.js';
import { makeDemand, type Demand } from './demand.js';
import { makePoolEstimates, type PoolEstimates } from './engine-estimates.js';
import { makeEnginePool, type EnginePool, type Reservation } from './engine-state.js';
import { getObjectiveSettings, type ObjectiveSettings } from './objectives.js';
import type { PoolSummary, QueueForecast } from './forecast-types.js';
import { makeMoveBudget, type MoveBudget } from './move-budget.js';
import { makePrefixKnowledge, type PrefixKnowledge } from './prefix-knowledge.js';
import { makeRandom, type Random } from './random.js';
import { makeWaitingQueue, type WaitingQueue } from './waiting-queue.js';

/** Whole state. */
export type ShardState = {
  readonly kind: 'shard';
  readonly options: AllocatorOptions;
  readonly objective: ObjectiveSettings;
  readonly pool: EnginePool;
  readonly estimates: PoolEstimates;
  readonly prefixes: PrefixKnowledge;
  readonly queue: WaitingQueue;
  readonly shares: CallerShares;
  readonly reservations: Map<ReservationId, Reservation>;
  readonly reservationsByAttempt: Map<AttemptId, Reservation>;
  readonly moves: MoveBudget;
  /** VMs that report progress. */
  readonly reportingVms: Set<VmId>;
  /** Attempts that are over, until the time when no message about them can be under way. */
  readonly endedUntil: Map<AttemptId, number>;
  readonly demand: Demand;
  readonly random: Random;
  summary: PoolSummary | undefined;
  forecast: QueueForecast | undefined;
  nextSequence: number;
  sweptAt: number;
  tickedAt: number;
};

/** Makes the state. */
export function makeShardState(options: AllocatorOptions): ShardState {
  return {
    kind: 'shard',
    options,
    objective: getObjectiveSettings(options.objective),
    pool: makeEnginePool(),
    estimates: makePoolEstimates(),
    prefixes: makePrefixKnowledge(),
    queue: makeWaitingQueue(),
    shares: makeCallerShares(),
    reservations: new Map(),
    reservationsByAttempt: new Map(),
    moves: makeMoveBudget(),
    reportingVms: new Set(),
    endedUntil: new Map(),
    demand: makeDemand(),
    random: makeRandom(options.seed),
    summary: undefined,
    forecast: undefined,
    nextSequence: 1,
    sweptAt: 0,
    tickedAt: 0,
  };
}

/** Finds the caller whose waiting requests are the most. */
export function findLargestCaller(queue: WaitingQueue): CallerId | undefined {
  let largest: CallerId | undefined;
  let most = 0;
  for (const [callerId, count] of queue.countByCaller) {
    if (count <= most) continue;
    most = count;
    largest = callerId;
  }
  return largest;
}
