/** Chooses engines for one attempt. Decides only; nothing is reserved here. */

import type { ReservationAsk } from '@tarragonspool/protocol';
import {
  getRate,
  getStepMs,
  HOP_MS,
  makeStepLine,
  OVERHEAD_MS,
  predictImportMs,
  type StepLine,
} from './engine-estimates.js';
import { countTakenPieces, countTakenPlaces, isEligible, type Engine } from './engine-state.js';
import { countCachedBlocks, predictCachedTokens } from './prefix-knowledge.js';
import type { ShardState } from './shard-state.js';

/** Engines chosen for one attempt and what is predicted of it. */
export type Placement = {
  readonly prefillEngine: Engine | undefined;
  readonly decodeEngine: Engine;
  readonly expectedCachedTokens: number;
  readonly prefillMs: number;
  readonly usualPrefillMs: number;
  readonly prefillEndAt: number;
  readonly linkWaitMs: number;
  readonly importEndAt: number;
  readonly firstTokenAt: number;
  readonly stepMs: number;
  readonly pieces: number;
};

/** Why an attempt cannot start now: its best prefill engine is busy, or no decode place is free. */
export type NoPlacement = 'no-prefill' | 'no-decode';

type PrefillChoice = {
  readonly engine: Engine;
  readonly cachedTokens: number;
  readonly prefillMs: number;
  readonly usualPrefillMs: number;
  readonly startAt: number;
};

/** Grants go out this long before the engine is free, so that it does not idle. */
const LOOKAHEAD_MS = 60;
/** Longest planned wait of a prefill result for its link; results are kept under a second. */
const MAX_RESULT_WAIT_MS = 400;
/** A stream must be predicted to end this long before its place is used again. */
const BORROW_MARGIN_MS = 100;
const MIN_SLOWNESS = 0.8;

/** Whether any prefill engine can be given work now. */
export function hasReadyPrefill(state: ShardState, now: number): boolean {
  for (const engine of state.pool.prefill) {
    if (engine.freeAt <= now + LOOKAHEAD_MS) return true;
  }
  return false;
}

/** Whether the engine may be chosen: it is no suspect, or it is time to try it out. */
function isTrusted(engine: Engine, now: number): boolean {
  if (!engine.isSuspect) return true;
  if (now < engine.probeAt) return false;
  return engine.prefills.length === 0 && engine.streams.size === 0;
}

function findFirstReadyAt(engine: Engine, prefillMs: number, now: number): number {
  const linkAt = engine.linkFreeAt - MAX_RESULT_WAIT_MS - prefillMs;
  return Math.max(now + HOP_MS, engine.freeAt, linkAt);
}

/** Finds the engine with the earliest end of the prefill, waiting and cache hits counted. */
function choosePrefill(
  state: ShardState,
  ask: ReservationAsk,
  now: number,
): PrefillChoice | undefined {
  const { estimates, prefixes, pool } = state;
  const blocks = countCachedBlocks(prefixes, ask.prefixes, pool.nextIndex);
  const tokensPerMs = getRate(estimates.prefill, now);
  let best: PrefillChoice | undefined;
  let bestEndAt = Infinity;
  for (const engine of pool.prefill) {
    if (!isEligible(engine, ask)) continue;
    if (!isTrusted(engine, now)) continue;
    const cachedBlocks = blocks[engine.index] ?? 0;
    const cachedTokens =
      cachedBlocks === 0 ? 0 : predictCachedTokens(engine, cachedBlocks, ask.promptTokens);
    const usualPrefillMs = OVERHEAD_MS + (ask.promptTokens - cachedTokens) / tokensPerMs;
    const prefillMs = usualPrefillMs * Math.max(MIN_SLOWNESS, engine.slowness);
    const startAt = findFirstReadyAt(engine, prefillMs, now);
    if (startAt + prefillMs >= bestEndAt) continue;
    bestEndAt = startAt + prefillMs;
    best = { engine, cachedTokens, prefillMs, usualPrefillMs, startAt };
  }
  return best;
}

/** Predicts the step time of an engine with one more stream. */
function predictEngineStepMs(line: StepLine, engine: Engine): number {
  const batch = engine.streams.size + engine.unaccounted.size + 1;
  return getStepMs(line, batch) * Math.max(MIN_SLOWNESS, engine.slowness);
}

/** Counts streams that are predicted to end in time for another to use their place. */
function countEndingBefore(stepMs: number, engine: Engine, at: number): number {
  let count = 0;
  for (const { stage, ask, tokens, movedAt } of engine.streams.values()) {
    if (stage !== 'decode') continue;
    const endAt = movedAt + (ask.maxTokens - tokens) * stepMs + BORROW_MARGIN_MS;
    if (endAt <= at) count += 1;
  }
  return count;
}

function hasPlace(
  state: ShardState,
  engine: Engine,
  stepMs: number,
  from: number,
  now: number,
): boolean {
  const beyond = countTakenPlaces(engine, now) - engine.places;
  if (beyond < 0) return true;
  if (beyond >= state.objective.maxBorrowedPlaces) return false;
  return countEndingBefore(stepMs, engine, from) > beyond;
}

/** Counts the memory pieces of an attempt; zero while the size of a piece is unknown. */
export function countPieces(state: ShardState, ask: ReservationAsk): number {
  const { tokensPerPiece } = state.estimates;
  return tokensPerPiece === 0 ? 0 : Math.ceil((ask.promptTokens + ask.maxTokens) / tokensPerPiece);
}

function hasPieces(engine: Engine, pieces: number): boolean {
  if (engine.report === undefined) return true;
  return countTakenPieces(engine) + pieces <= engine.report.totalPieces;
}

/** Finds the engine with the shortest step among those with a place from `from`. */
function chooseDecode(
  state: ShardState,
  ask: ReservationAsk,
  from: number,
  now: number,
): Engine | undefined {
  const pieces = countPieces(state, ask);
  const line = makeStepLine(state.estimates);
  let best: Engine | undefined;
  let bestStepMs = Infinity;
  for (const engine of state.pool.decode) {
    if (!isEligible(engine, ask) || engine.upstreamId === ask.resumeFrom) continue;
    if (!isTrusted(engine, now)) continue;
    const stepMs = predictEngineStepMs(line, engine);
    if (stepMs >= bestStepMs) continue;
    if (!hasPlace(state, engine, stepMs, from, now) || !hasPieces(engine, pieces)) continue;
    best = engine;
    bestStepMs = stepMs;
  }
  return best;
}

function placeResume(state: ShardState, ask: ReservationAsk, now: number): Placement | NoPlacement {
  const decodeEngine = chooseDecode(state, ask, now, now);
  if (decodeEngine === undefined) return 'no-decode';
  const importEndAt = now + HOP_MS + predictImportMs(state.estimates, ask.promptTokens, now);
  const stepMs = predictEngineStepMs(makeStepLine(state.estimates), decodeEngine);
  return {
    prefillEngine: undefined,
    decodeEngine,
    expectedCachedTokens: 0,
    prefillMs: 0,
    usualPrefillMs: 0,
    prefillEndAt: now,
    linkWaitMs: 0,
    importEndAt,
    firstTokenAt: importEndAt + stepMs,
    stepMs,
    pieces: countPieces(state, ask),
  };
}

/**
 * Finds engines that can start on the attempt now. A prefill engine is given work only when its
 * link and a decode place are there by the time the prefill ends.
 */
export function findPlacement(
  state: ShardState,
  ask: ReservationAsk,
  now: number,
): Placement | NoPlacement {
  if (ask.resumeFrom !== undefined) return placeResume(state, ask, now);
  const prefill = choosePrefill(state, ask, now);
  if (prefill === undefined || prefill.startAt > now + LOOKAHEAD_MS) return 'no-prefill';
  const prefillEndAt = prefill.startAt + prefill.prefillMs;
  const decodeEngine = chooseDecode(state, ask, prefillEndAt, now);
  if (decodeEngine === undefined) return 'no-decode';
  const linkAt = Math.max(prefillEndAt, prefill.engine.linkFreeAt);
  const importEndAt = linkAt + predictImportMs(state.estimates, ask.promptTokens, now);
  const stepMs = predictEngineStepMs(makeStepLine(state.estimates), decodeEngine);
  return {
    prefillEngine: prefill.engine,
    decodeEngine,
    expectedCachedTokens: prefill.cachedTokens,
    prefillMs: prefill.prefillMs,
    usualPrefillMs: prefill.usualPrefillMs,
    prefillEndAt,
    linkWaitMs: linkAt - prefillEndAt,
    importEndAt,
    firstTokenAt: importEndAt + stepMs,
    stepMs,
    pieces: countPieces(state, ask),
  };
}
