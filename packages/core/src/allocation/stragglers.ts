/**
 * Finds engines that are slow for the moment from the live progress of attempts, compared with
 * their pool at the same load. A pool that is slow as a whole has no stragglers.
 */

import { addStepSample, HOP_MS, predictStepMs } from './engine-estimates.js';
import { scheduleEngine, type Engine, type Reservation } from './engine-state.js';
import type { ShardState } from './shard-state.js';

/** Longest time from an engine's progress until its report arrives. */
const REPORT_DELAY_MS = 150;
const SLOWNESS_WEIGHT = 0.4;
const SLOWNESS_HALF_LIFE_MS = 1_000;
const MAX_SLOWNESS = 20;
/** Slowness relative to the pool's median from which an engine is suspect, and below which not. */
const SUSPECT_FACTOR = 2.5;
const TRUSTED_FACTOR = 1.5;
const PROBE_INTERVAL_MS = 500;
const MIN_SILENCE_MS = 60;
/** After a pause of the host, silence says nothing about engines. */
const MAX_TICK_GAP_MS = 250;

function addSlowness(engine: Engine, sample: number, at: number): void {
  const bounded = Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, sample));
  engine.slowness += SLOWNESS_WEIGHT * (bounded - engine.slowness);
  engine.slownessAt = Math.max(engine.slownessAt, at);
}

/** Learns from the end of a prefill. */
export function notifyPrefillEnd(engine: Engine, reservation: Reservation, endedAt: number): void {
  if (reservation.usualPrefillMs <= 0) return;
  const tookMs = endedAt - reservation.prefillStartAt;
  addSlowness(engine, tookMs / reservation.usualPrefillMs, endedAt);
  if (engine.isSuspect) engine.probeAt = endedAt;
}

/** Learns from the tokens of a stream. */
export function notifyDecodeProgress(
  state: ShardState,
  engine: Engine,
  reservation: Reservation,
  tokens: number,
  movedAt: number,
): void {
  engine.lastMovedAt = Math.max(engine.lastMovedAt, movedAt);
  const newTokens = tokens - reservation.tokens;
  const tookMs = movedAt - reservation.movedAt;
  if (newTokens <= 0 || tookMs <= 0 || reservation.tokens === 0) return;
  const gapMs = tookMs / newTokens;
  const batch = Math.max(1, engine.decoding);
  const sample = gapMs / predictStepMs(state.estimates, batch);
  addSlowness(engine, sample, movedAt);
  if (!engine.isSuspect) addStepSample(state.estimates, batch, gapMs);
}

function findMedianSlowness(engines: readonly Engine[]): number {
  const values = engines.map(({ slowness }) => slowness).sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)] ?? 1;
}

/** Without samples, what is known of an engine's slowness fades. */
function fadeSlowness(engine: Engine, now: number): void {
  const idleMs = now - engine.slownessAt;
  if (idleMs < SLOWNESS_HALF_LIFE_MS || engine.prefills.length > 0 || engine.decoding > 0) return;
  engine.slowness = 1 + (engine.slowness - 1) / 2;
  engine.slownessAt = now;
}

function isPrefillOverdue(state: ShardState, engine: Engine, now: number): boolean {
  const [running] = engine.prefills;
  if (running === undefined || !state.reportingVms.has(running.ask.vmId)) return false;
  const allowedMs = running.prefillMs * state.objective.suspectOverrun + REPORT_DELAY_MS;
  return now > running.prefillEndAt + allowedMs;
}

function isSilent(state: ShardState, engine: Engine, now: number): boolean {
  if (engine.decoding === 0) return false;
  const stepMs = predictStepMs(state.estimates, engine.decoding);
  const allowedMs = Math.max(MIN_SILENCE_MS, state.objective.suspectGaps * stepMs);
  return now - engine.lastMovedAt > allowedMs + REPORT_DELAY_MS;
}

/** Frees the time of prefills that must be over, and puts off what waits behind a late one. */
function updateOverdue(state: ShardState, engine: Engine, now: number): void {
  const [running] = engine.prefills;
  if (running === undefined || now <= running.prefillEndAt + REPORT_DELAY_MS) return;
  if (!state.reportingVms.has(running.ask.vmId)) {
    // Its VM reports no progress, so the prediction is all there is.
    engine.prefills.shift();
    engine.idleAt = running.prefillEndAt;
    scheduleEngine(engine, HOP_MS);
    return;
  }
  engine.freeAt = Math.max(engine.freeAt, now + running.prefillMs);
}

function hasEvidence(engine: Engine): boolean {
  return engine.role === 'prefill' ? engine.prefills.length > 0 : engine.decoding > 0;
}

function judgePool(state: ShardState, engines: readonly Engine[], now: number): void {
  const median = findMedianSlowness(engines);
  const slow: Engine[] = [];
  let judged = 0;
  for (const engine of engines) {
    fadeSlowness(engine, now);
    if (hasEvidence(engine) || engine.isSuspect) judged += 1;
    const isLate =
      engine.role === 'prefill'
        ? isPrefillOverdue(state, engine, now)
        : isSilent(state, engine, now);
    if (isLate || engine.slowness > SUSPECT_FACTOR * median) slow.push(engine);
    else if (engine.isSuspect && engine.slowness < TRUSTED_FACTOR * median) {
      engine.isSuspect = false;
    }
  }
  if (slow.length * 2 > Math.max(2, judged)) {
    for (const engine of engines) engine.isSuspect = false;
    return;
  }
  for (const engine of slow) {
    if (!engine.isSuspect) engine.probeAt = now + PROBE_INTERVAL_MS;
    engine.isSuspect = true;
    engine.slowness = Math.max(engine.slowness, SUSPECT_FACTOR * median);
  }
}

/** Judges every engine of the shard. */
export function judgeEngines(state: ShardState, now: number): void {
  const isPaused = now - state.tickedAt > MAX_TICK_GAP_MS;
  state.tickedAt = now;
  for (const engine of state.pool.prefill) updateOverdue(state, engine, now);
  if (isPaused) return;
  judgePool(state, state.pool.prefill, now);
  judgePool(state, state.pool.decode, now);
}
