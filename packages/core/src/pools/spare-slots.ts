/** Slots that no request needs which can still meet its target. */

import { measureArrivalRate, measureUsualRate } from './rank-rates.js';
import {
  MIN_OCCUPANCY_SAMPLES,
  countSlots,
  measurePromptRate,
  type PoolState,
} from './pool-state.js';
import { buildSlotForecast, predictSpareSlot } from './slot-forecast.js';
import type { SlotRequest } from './pool-types.js';

const MS_PER_S = 1_000;
/** Share of all slots that is reserved for arrivals that can meet their latency target. */
const RESERVED_SLOT_SHARE = 0.08;
/**
 * Share of the prompt rate that arrivals with reachable targets may take before other requests have
 * to wait: above it, more arrivals are expected than prompts can be prefilled.
 */
const MAX_ON_TIME_LOAD = 0.95;

/** What a search for a spare slot takes into account. */
export type SpareSearch = {
  /** Requests that get spare slots before. */
  readonly ahead: number;
  /** Arrivals of this rank and lower ones are not counted. */
  readonly belowRank?: number;
  /** Whether a burst of arrivals is expected to end; otherwise they are expected to go on. */
  readonly expectsBurstEnd: boolean;
  readonly limitAt: number;
};

/** Counts the slots that are left free for arrivals that can meet their target. */
function countReservedSlots(state: PoolState, now: number): number {
  return Math.ceil(RESERVED_SLOT_SHARE * countSlots(state, now));
}

/**
 * Predicts when a request that cannot meet its target gets a slot that none of the others needs:
 * neither the requests before it, nor the arrivals that can meet their target. Infinity if that is
 * after `limitAt`.
 */
export function predictSpareStart(
  state: PoolState,
  slotRequest: SlotRequest,
  { ahead, belowRank = Infinity, expectsBurstEnd, limitAt }: SpareSearch,
  now: number,
): number {
  const arrivalRate = measureArrivalRate(state.ranks, now, belowRank);
  const usualRate = expectsBurstEnd
    ? Math.min(arrivalRate, measureUsualRate(state.ranks, now, belowRank))
    : arrivalRate;
  const promptRate = MAX_ON_TIME_LOAD * measurePromptRate(state, now);
  const spareRate = promptRate - usualRate;
  if (slotRequest.needsPrefill && spareRate <= 0) return Infinity;
  const promptAt = slotRequest.needsPrefill ? now + (MS_PER_S * ahead) / spareRate : now;
  const reserved = countReservedSlots(state, now);
  const forecast = buildSlotForecast(state, slotRequest, now);
  const demand = { arrivalRate, usualRate, ahead, reserved };
  return Math.max(promptAt, predictSpareSlot(forecast, demand, now, limitAt));
}

/** Whether a request that cannot meet its target may take a slot now. */
export function isSpareNow(state: PoolState, slotRequest: SlotRequest, now: number): boolean {
  // Until enough answers are measured, rates follow from initial estimates, by which arrivals may seem to need all slots.
  if (state.occupancyCount < MIN_OCCUPANCY_SAMPLES) {
    const { slotTimes } = buildSlotForecast(state, slotRequest, now);
    return (slotTimes[countReservedSlots(state, now)] ?? Infinity) <= now;
  }
  const search = { ahead: 0, expectsBurstEnd: false, limitAt: now };
  return predictSpareStart(state, slotRequest, search, now) <= now;
}
