/**
 * Counts, for each caller and service, the answers that met their latency targets, and computes the
 * burn rate of the error budget. Times are milliseconds since the epoch.
 */

import type { CallerId, ServiceName } from '@tarragonspool/protocol';
import {
  addToRing,
  countWindow,
  listFilledBuckets,
  makeBucketRing,
  type BucketRing,
  type FilledBucket,
} from './bucket-ring.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 86_400_000;
/** 60 minutes and 72 hours, plus one bucket because the current bucket is only partly filled. */
const FAST_BUCKETS = 61;
const SLOW_BUCKETS = 73;
/** First token met, first token total, answer met, answer total, in this order. */
const COUNTERS_PER_BUCKET = 4;

/** Windows over which the burn rate is computed, fast ones first. */
export const BURN_WINDOWS = [
  { name: '5m', speed: 'fast', windowMs: 5 * MINUTE_MS },
  { name: '1h', speed: 'fast', windowMs: HOUR_MS },
  { name: '6h', speed: 'slow', windowMs: 6 * HOUR_MS },
  { name: '3d', speed: 'slow', windowMs: 3 * DAY_MS },
] as const;

/** Name of a burn rate window. */
export type BurnWindowName = (typeof BURN_WINDOWS)[number]['name'];
/** Objective that a latency target belongs to: the first token or the whole answer. */
export type BurnObjective = 'first-token' | 'answer';

/** Burn rate that raises an alarm when both windows of a speed reach it. */
export const BURN_ALARM_RATES = { fast: 14.4, slow: 1 } as const;

/** Replaces the caller, and if needed the service, in a series beyond the limit of series. */
export const OTHER_LABEL = 'other';
/** Series of `other` callers, one for each service, that are allowed beyond `maxSeries`. */
const MAX_OTHER_SERIES = 64;

/** Whether one answer met its targets; undefined where there is no such target. */
export type BurnSample = {
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly isFirstTokenMet: boolean | undefined;
  readonly isAnswerMet: boolean;
};

/** Counters of one caller and service, by minute (`fast`) and by hour (`slow`). */
export type BurnSeries = {
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly fast: BucketRing;
  readonly slow: BucketRing;
  lastSampleAt: number;
};

/** All series of one VM. */
export type BurnState = {
  readonly startedAt: number;
  readonly maxSeries: number;
  readonly series: Map<string, BurnSeries>;
};

/** Number of answers that met one objective in one window, and of all answers that it applies to. */
export type AnswerCounts = { readonly met: number; readonly total: number };

/** Makes a state without series; `maxSeries` limits the series of named callers. */
export function makeBurnState(startedAt: number, maxSeries: number): BurnState {
  return { startedAt, maxSeries, series: new Map() };
}

function makeSeriesKey(callerId: string, service: string): string {
  return `${callerId}\n${service}`;
}

function removeExpired(state: BurnState, now: number): void {
  const expiresBefore = now - SLOW_BUCKETS * HOUR_MS;
  for (const [key, series] of state.series) {
    if (series.lastSampleAt < expiresBefore) state.series.delete(key);
  }
}

function addSeries(state: BurnState, callerId: CallerId, service: ServiceName): BurnSeries {
  const series: BurnSeries = {
    callerId,
    service,
    fast: makeBucketRing(MINUTE_MS, FAST_BUCKETS, COUNTERS_PER_BUCKET),
    slow: makeBucketRing(HOUR_MS, SLOW_BUCKETS, COUNTERS_PER_BUCKET),
    lastSampleAt: 0,
  };
  state.series.set(makeSeriesKey(callerId, service), series);
  return series;
}

function findOrAddSeries(state: BurnState, sample: BurnSample, now: number): BurnSeries {
  const { callerId, service } = sample;
  const known = state.series.get(makeSeriesKey(callerId, service));
  if (known !== undefined) return known;
  if (state.series.size >= state.maxSeries) removeExpired(state, now);
  if (state.series.size < state.maxSeries) return addSeries(state, callerId, service);
  const otherCaller = OTHER_LABEL as CallerId;
  const otherOfService = state.series.get(makeSeriesKey(OTHER_LABEL, service));
  if (otherOfService !== undefined) return otherOfService;
  if (state.series.size < state.maxSeries + MAX_OTHER_SERIES) {
    return addSeries(state, otherCaller, service);
  }
  const otherOfAll = state.series.get(makeSeriesKey(OTHER_LABEL, OTHER_LABEL));
  return otherOfAll ?? addSeries(state, otherCaller, OTHER_LABEL as ServiceName);
}

/** Records one final answer in the series of its caller and service. */
export function recordBurnSample(state: BurnState, sample: BurnSample, now: number): void {
  const series = findOrAddSeries(state, sample, now);
  series.lastSampleAt = now;
  for (const ring of [series.fast, series.slow]) {
    if (sample.isFirstTokenMet !== undefined) {
      if (sample.isFirstTokenMet) addToRing(ring, 0, now);
      addToRing(ring, 1, now);
    }
    if (sample.isAnswerMet) addToRing(ring, 2, now);
    addToRing(ring, 3, now);
  }
}

/** Counts one objective of a series over a window that ends at `now`. */
export function countAnswers(
  series: BurnSeries,
  objective: BurnObjective,
  windowMs: number,
  now: number,
): AnswerCounts {
  const ring = windowMs <= HOUR_MS ? series.fast : series.slow;
  const [firstMet = 0, firstTotal = 0, met = 0, total = 0] = countWindow(ring, windowMs, now);
  return objective === 'first-token' ? { met: firstMet, total: firstTotal } : { met, total };
}

/** Lists the hours of a series that have answers, with the counters of both objectives. */
export function listBurnHours(series: BurnSeries, now: number): FilledBucket[] {
  return listFilledBuckets(series.slow, now);
}

/** Computes the burn rate: 1 uses the error budget up exactly. Returns undefined without answers. */
export function measureBurnRate(counts: AnswerCounts, targetShare: number): number | undefined {
  if (counts.total === 0) return undefined;
  return (counts.total - counts.met) / counts.total / (1 - targetShare);
}
