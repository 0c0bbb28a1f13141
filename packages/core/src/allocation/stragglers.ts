/**
 * Detects engines that are temporarily slow, from the progress of attempts compared with the rest
 * of the pool at the same load. A pool that is slow as a whole has no stragglers.
 */

import { addStepSample, DISPATCH_MS, predictStepMs } from './engine-estimates.js';
import { type Engine, type Reservation, schedulePrefills } from './engine-state.js';
import type { ShardState } from './shard-state.js';

/** Longest time from an engine's progress until its report arrives at the allocator. */
const MAX_REPORT_DELAY_MS = 150;
const SLOWNESS_SAMPLE_WEIGHT = 0.4;
const HALF_LIFE_MS = 1_000;
const MAX_SLOWNESS = 20;
/**
 * Slowness relative to the pool's median above which an engine becomes suspect, and below which it
 * is cleared.
 */
const SUSPECT_FACTOR = 2.5;
const CLEARED_FACTOR = 1.5;
const PROBE_INTERVAL_MS = 500;
/** Shortest stall that makes an engine suspect. */
const SUSPECT_STALL_MS = 60;
/**
 * After a longer gap between ticks the host itself was suspended, so missing progress does not make
 * engines suspect.
 */
const MAX_TICK_GAP_MS = 250;

function addSlowness(engine: Engine, sample: number, at: number): void {
  const bounded = Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, sample));
  engine.slowness += SLOWNESS_SAMPLE_WEIGHT * (bounded - engine.slowness);
  engine.slownessAt = Math.max(engine.slownessAt, at);
}

/** Updates an engine's slowness from the time of a prefill. */
export function updateSlownessFromPrefill(
  engine: Engine,
  reservation: Reservation,
  endedAt: number,
): void {
  if (reservation.averagePrefillMs <= 0) return;
  const tookMs = endedAt - reservation.prefillStartAt;
  addSlowness(engine, tookMs / reservation.averagePrefillMs, endedAt);
  if (engine.isSuspect) engine.probeAt = endedAt;
}

/**
 * Updates an engine's slowness, and the step estimate of the pool, from the new tokens of a stream.
 */
export function updateSlownessFromDecode(
  state: ShardState,
  engine: Engine,
  reservation: Reservation,
  tokens: number,
  progressedAt: number,
): void {
  engine.lastProgressAt = Math.max(engine.lastProgressAt, progressedAt);
  const newTokens = tokens - reservation.tokens;
  const tookMs = progressedAt - reservation.movedAt;
  if (newTokens <= 0 || tookMs <= 0 || reservation.tokens === 0) return;
  const gapMs = tookMs / newTokens;
  const batch = Math.max(1, engine.decodingStreams);
  const sample = gapMs / predictStepMs(state.estimates, batch);
  addSlowness(engine, sample, progressedAt);
  if (!engine.isSuspect) addStepSample(state.estimates, batch, gapMs);
}

function findMedianSlowness(engines: readonly Engine[]): number {
  const values = engines.map(({ slowness }) => slowness).sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 1;
}

/** Halves the deviation of an idle engine's slowness from 1 once per half-life. */
function decaySlowness(engine: Engine, now: number): void {
  const idleMs = now - engine.slownessAt;
  if (idleMs < HALF_LIFE_MS || engine.prefills.length > 0 || engine.decodingStreams > 0) return;
  engine.slowness = 1 + (engine.slowness - 1) / 2;
  engine.slownessAt = now;
}

function isPrefillOverdue(state: ShardState, engine: Engine, now: number): boolean {
  const [running] = engine.prefills;
  if (running === undefined || !state.reportingVms.has(running.ask.vmId)) return false;
  const allowedMs =
    running.prefillMs * state.objective.maxPrefillOverrunShare + MAX_REPORT_DELAY_MS;
  return now > running.prefillEndAt + allowedMs;
}

function isSilent(state: ShardState, engine: Engine, now: number): boolean {
  if (engine.decodingStreams === 0) return false;
  const stepMs = predictStepMs(state.estimates, engine.decodingStreams);
  const allowedMs = Math.max(SUSPECT_STALL_MS, state.objective.maxSilentTokenGaps * stepMs);
  return now - engine.lastProgressAt > allowedMs + MAX_REPORT_DELAY_MS;
}

/** Removes an overdue prefill if its VM reports no progress, else delays the work behind it. */
function updateOverduePrefills(state: ShardState, engine: Engine, now: number): void {
  const [running] = engine.prefills;
  if (running === undefined || now <= running.prefillEndAt + MAX_REPORT_DELAY_MS) return;
  if (!state.reportingVms.has(running.ask.vmId)) {
    // Without progress reports from its VM, the prefill is assumed to have ended as predicted.
    engine.prefills.shift();
    engine.idleAt = running.prefillEndAt;
    schedulePrefills(engine, DISPATCH_MS);
    return;
  }
  engine.prefillsEndAt = Math.max(engine.prefillsEndAt, now + running.prefillMs);
}

function hasMeasurableWork(engine: Engine): boolean {
  return engine.role === 'prefill' ? engine.prefills.length > 0 : engine.decodingStreams > 0;
}

function updatePoolSuspects(state: ShardState, engines: readonly Engine[], now: number): void {
  const medianSlowness = findMedianSlowness(engines);
  const slowEngines: Engine[] = [];
  let comparedEngines = 0;
  for (const engine of engines) {
    decaySlowness(engine, now);
    if (hasMeasurableWork(engine) || engine.isSuspect) comparedEngines += 1;
    const isOverdue =
      engine.role === 'prefill'
        ? isPrefillOverdue(state, engine, now)
        : isSilent(state, engine, now);
    if (isOverdue || engine.slowness > SUSPECT_FACTOR * medianSlowness) slowEngines.push(engine);
    else if (engine.isSuspect && engine.slowness < CLEARED_FACTOR * medianSlowness) {
      engine.isSuspect = false;
    }
  }
  if (slowEngines.length * 2 > Math.max(2, comparedEngines)) {
    for (const engine of engines) engine.isSuspect = false;
    return;
  }
  for (const engine of slowEngines) {
    if (!engine.isSuspect) engine.probeAt = now + PROBE_INTERVAL_MS;
    engine.isSuspect = true;
    engine.slowness = Math.max(engine.slowness, SUSPECT_FACTOR * medianSlowness);
  }
}

/** Updates which engines of the shard are suspect. */
export function updateSuspects(state: ShardState, now: number): void {
  const isPaused = now - state.tickedAt > MAX_TICK_GAP_MS;
  state.tickedAt = now;
  for (const engine of state.pool.prefill) updateOverduePrefills(state, engine, now);
  if (isPaused) return;
  updatePoolSuspects(state, state.pool.prefill, now);
  updatePoolSuspects(state, state.pool.decode, now);
}
