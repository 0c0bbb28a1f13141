/**
 * Counts, for each caller and service, the answers that met their latency targets, and works out
 * how fast the error budget burns. Times are milliseconds since the epoch.
 */

import type { CallerId, ServiceName } from '@tarragonspool/protocol';
import {
  addToRing,
  countRing,
  listFilledBuckets,
  makeBucketRing,
  type BucketRing,
  type FilledBucket,
} from './bucket-ring.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 86_400_000;
/** One bucket more than the windows need, because the running bucket is not full. */
const FAST_BUCKETS = 61;
const SLOW_BUCKETS = 73;
const COUNTERS = 4;

/** Windows over which the burn rate is worked out, fast ones first. */
export const BURN_WINDOWS = [
  { name: '5m', speed: 'fast', windowMs: 5 * MINUTE_MS },
  { name: '1h', speed: 'fast', windowMs: HOUR_MS },
  { name: '6h', speed: 'slow', windowMs: 6 * HOUR_MS },
  { name: '3d', speed: 'slow', windowMs: 3 * DAY_MS },
] as const;

/** Name of a window. */
export type BurnWindowName = (typeof BURN_WINDOWS)[number]['name'];
/** Name of an objective. */
export type BurnObjective = 'first-token' | 'answer';

/** Burn rate at which both windows of a speed raise an alarm. */
export const BURN_ALARM_RATES = { fast: 14.4, slow: 1 } as const;

/** Stands for callers and services beyond the limit of series. */
export const OTHER = 'other';
/** Series of `other` callers, one a service, beyond the limit. */
const MAX_OTHER_SERIES = 64;

/** Whether one answer met its targets; undefined where the target does not apply. */
export type BurnSample = {
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly isFirstTokenMet: boolean | undefined;
  readonly isAnswerMet: boolean;
};

/** Counters of one caller and service. */
export type BurnSeries = {
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly fast: BucketRing;
  readonly slow: BucketRing;
  lastAt: number;
};

/** Every series of one VM. */
export type BurnState = {
  readonly startedAt: number;
  readonly maxSeries: number;
  readonly series: Map<string, BurnSeries>;
};

/** Answers of one objective in one window. */
export type BurnCounts = { readonly met: number; readonly total: number };

/** Makes a state without series. */
export function makeBurnState(startedAt: number, maxSeries: number): BurnState {
  return { startedAt, maxSeries, series: new Map() };
}

function makeKey(callerId: string, service: string): string {
  return `${callerId}\n${service}`;
}

function removeExpired(state: BurnState, now: number): void {
  const expiresBefore = now - SLOW_BUCKETS * HOUR_MS;
  for (const [key, series] of state.series) {
    if (series.lastAt < expiresBefore) state.series.delete(key);
  }
}

function addSeries(state: BurnState, callerId: CallerId, service: ServiceName): BurnSeries {
  const series: BurnSeries = {
    callerId,
    service,
    fast: makeBucketRing(MINUTE_MS, FAST_BUCKETS, COUNTERS),
    slow: makeBucketRing(HOUR_MS, SLOW_BUCKETS, COUNTERS),
    lastAt: 0,
  };
  state.series.set(makeKey(callerId, service), series);
  return series;
}

function findSeries(state: BurnState, sample: BurnSample, now: number): BurnSeries {
  const { callerId, service } = sample;
  const known = state.series.get(makeKey(callerId, service));
  if (known !== undefined) return known;
  if (state.series.size >= state.maxSeries) removeExpired(state, now);
  if (state.series.size < state.maxSeries) return addSeries(state, callerId, service);
  const other = OTHER as CallerId;
  const ofService = state.series.get(makeKey(OTHER, service));
  if (ofService !== undefined) return ofService;
  if (state.series.size < state.maxSeries + MAX_OTHER_SERIES) {
    return addSeries(state, other, service);
  }
  const all = state.series.get(makeKey(OTHER, OTHER));
  return all ?? addSeries(state, other, OTHER as ServiceName);
}

/** Records one final answer. */
export function recordBurnSample(state: BurnState, sample: BurnSample, now: number): void {
  const series = findSeries(state, sample, now);
  series.lastAt = now;
  for (const ring of [series.fast, series.slow]) {
    if (sample.isFirstTokenMet !== undefined) {
      if (sample.isFirstTokenMet) addToRing(ring, 0, now);
      addToRing(ring, 1, now);
    }
    if (sample.isAnswerMet) addToRing(ring, 2, now);
    addToRing(ring, 3, now);
  }
}

/** Counts one objective of a series over a window that ends now. */
export function countBurn(
  series: BurnSeries,
  objective: BurnObjective,
  windowMs: number,
  now: number,
): BurnCounts {
  const ring = windowMs <= HOUR_MS ? series.fast : series.slow;
  const [firstMet = 0, firstTotal = 0, met = 0, total = 0] = countRing(ring, windowMs, now);
  return objective === 'first-token' ? { met: firstMet, total: firstTotal } : { met, total };
}

/** Lists the hours of a series that are not empty, with the counters of both objectives. */
export function listBurnHours(series: BurnSeries, now: number): FilledBucket[] {
  return listFilledBuckets(series.slow, now);
}

/** Works out the burn rate: 1 uses the error budget up exactly; undefined without answers. */
export function measureBurnRate(counts: BurnCounts, targetShare: number): number | undefined {
  if (counts.total === 0) return undefined;
  return (counts.total - counts.met) / counts.total / (1 - targetShare);
}
