/**
 * Chooses the engines for one attempt, without reserving them. Times are milliseconds since the
 * epoch.
 */

import type { ReservationRequest } from '@tarragonspool/protocol';
import {
  DISPATCH_MS,
  FIXED_OVERHEAD_MS,
  getRate,
  getStepMs,
  makeStepLine,
  predictImportMs,
  type StepLine,
} from './engine-estimates.js';
import { countTakenPieces, countTakenSlots, type Engine, isEligible } from './engine-state.js';
import { countCachedBlocks, predictCachedTokens } from './prefix-index.js';
import type { ShardState } from './shard-state.js';

/** Engines chosen for one attempt and its predicted times. */
export type Placement = {
  readonly prefillEngine: Engine | undefined;
  readonly decodeEngine: Engine;
  readonly expectedCachedTokens: number;
  readonly prefillMs: number;
  readonly averagePrefillMs: number;
  readonly prefillEndAt: number;
  readonly linkWaitMs: number;
  readonly importEndAt: number;
  readonly firstTokenAt: number;
  readonly stepMs: number;
  readonly pieces: number;
};

/** Why an attempt cannot start now: its best prefill engine is busy, or no decode slot is free. */
export type NoPlacement = 'no-prefill' | 'no-decode';

type PrefillChoice = {
  readonly engine: Engine;
  readonly cachedTokens: number;
  readonly prefillMs: number;
  readonly averagePrefillMs: number;
  readonly startAt: number;
};

/** Grants are sent this long before the engine is free, so that it does not idle. */
const GRANT_LOOKAHEAD_MS = 60;
/**
 * Longest planned wait of a prefill result for its link; engines retain results for less than a
 * second.
 */
const MAX_RESULT_WAIT_MS = 400;
/** A stream must be predicted to end this long before its slot is used again. */
const BORROW_MARGIN_MS = 100;
/**
 * Lowest slowness used in predictions, so that an engine is not assumed much faster than its pool.
 */
const MIN_SLOWNESS = 0.8;

/** Returns whether any prefill engine is free, or nearly so, and can be given work now. */
export function hasReadyPrefill(state: ShardState, now: number): boolean {
  for (const engine of state.pool.prefill) {
    if (engine.prefillsEndAt <= now + GRANT_LOOKAHEAD_MS) return true;
  }
  return false;
}

/**
 * Returns whether the engine may be chosen: it is not suspect, or it is idle and due for a probe.
 */
function isChoosable(engine: Engine, now: number): boolean {
  if (!engine.isSuspect) return true;
  if (now < engine.probeAt) return false;
  return engine.prefills.length === 0 && engine.streams.size === 0;
}

function findEarliestPrefillStart(engine: Engine, prefillMs: number, now: number): number {
  const earliestForLinkAt = engine.linkFreeAt - MAX_RESULT_WAIT_MS - prefillMs;
  return Math.max(now + DISPATCH_MS, engine.prefillsEndAt, earliestForLinkAt);
}

/** Finds the engine whose prefill would end first, counting its waiting time and cache hits. */
function choosePrefillEngine(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): PrefillChoice | undefined {
  const { estimates, prefixes, pool } = state;
  const blocks = countCachedBlocks(prefixes, request.prefixes, pool.nextIndex);
  const tokensPerMs = getRate(estimates.prefill, now);
  let best: PrefillChoice | undefined;
  let bestEndAt = Infinity;
  for (const engine of pool.prefill) {
    if (!isEligible(engine, request)) continue;
    if (!isChoosable(engine, now)) continue;
    const cachedBlocks = blocks[engine.index] ?? 0;
    const cachedTokens =
      cachedBlocks === 0 ? 0 : predictCachedTokens(engine, cachedBlocks, request.promptTokens);
    const averagePrefillMs =
      FIXED_OVERHEAD_MS + (request.promptTokens - cachedTokens) / tokensPerMs;
    const prefillMs = averagePrefillMs * Math.max(MIN_SLOWNESS, engine.slowness);
    const startAt = findEarliestPrefillStart(engine, prefillMs, now);
    if (startAt + prefillMs >= bestEndAt) continue;
    bestEndAt = startAt + prefillMs;
    best = { engine, cachedTokens, prefillMs, averagePrefillMs, startAt };
  }
  return best;
}

/** Predicts the step time (ms) of an engine with one more stream. */
function predictEngineStepMs(stepLine: StepLine, engine: Engine): number {
  const batch = engine.streams.size + engine.unaccounted.size + 1;
  return getStepMs(stepLine, batch) * Math.max(MIN_SLOWNESS, engine.slowness);
}

/**
 * Counts the streams that are predicted to end early enough for another to use their slot at `at`.
 */
function countStreamsEndingBy(stepMs: number, engine: Engine, at: number): number {
  let count = 0;
  for (const {
    stage,
    ask: reservationRequest,
    tokens,
    movedAt: progressedAt,
  } of engine.streams.values()) {
    if (stage !== 'decode') continue;
    const endAt =
      progressedAt + (reservationRequest.maxTokens - tokens) * stepMs + BORROW_MARGIN_MS;
    if (endAt <= at) count += 1;
  }
  return count;
}

function hasSlot(
  state: ShardState,
  engine: Engine,
  stepMs: number,
  neededAt: number,
  now: number,
): boolean {
  const borrowedSlots = countTakenSlots(engine, now) - engine.slots;
  if (borrowedSlots < 0) return true;
  if (borrowedSlots >= state.objective.maxBorrowedSlots) return false;
  return countStreamsEndingBy(stepMs, engine, neededAt) > borrowedSlots;
}

/** Counts the memory pieces that an attempt needs; zero while the size of a piece is unknown. */
export function countPieces(state: ShardState, request: ReservationRequest): number {
  const { tokensPerPiece } = state.estimates;
  return tokensPerPiece === 0
    ? 0
    : Math.ceil((request.promptTokens + request.maxTokens) / tokensPerPiece);
}

function hasMemory(engine: Engine, pieces: number): boolean {
  if (engine.report === undefined) return true;
  return countTakenPieces(engine) + pieces <= engine.report.totalPieces;
}

/** Finds the engine with the shortest step time among those with a free slot at `neededAt`. */
function chooseDecodeEngine(
  state: ShardState,
  request: ReservationRequest,
  neededAt: number,
  now: number,
): Engine | undefined {
  const pieces = countPieces(state, request);
  const stepLine = makeStepLine(state.estimates);
  let best: Engine | undefined;
  let bestStepMs = Infinity;
  for (const engine of state.pool.decode) {
    if (!isEligible(engine, request) || engine.upstreamId === request.resumeFrom) continue;
    if (!isChoosable(engine, now)) continue;
    const stepMs = predictEngineStepMs(stepLine, engine);
    if (stepMs >= bestStepMs) continue;
    if (!hasSlot(state, engine, stepMs, neededAt, now) || !hasMemory(engine, pieces)) continue;
    best = engine;
    bestStepMs = stepMs;
  }
  return best;
}

function placeResume(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): Placement | NoPlacement {
  const decodeEngine = chooseDecodeEngine(state, request, now, now);
  if (decodeEngine === undefined) return 'no-decode';
  const importEndAt =
    now + DISPATCH_MS + predictImportMs(state.estimates, request.promptTokens, now);
  const stepMs = predictEngineStepMs(makeStepLine(state.estimates), decodeEngine);
  return {
    prefillEngine: undefined,
    decodeEngine,
    expectedCachedTokens: 0,
    prefillMs: 0,
    averagePrefillMs: 0,
    prefillEndAt: now,
    linkWaitMs: 0,
    importEndAt,
    firstTokenAt: importEndAt + stepMs,
    stepMs,
    pieces: countPieces(state, request),
  };
}

/**
 * Finds engines that can start the attempt now. A prefill engine is given work only if a decode
 * slot is free when the prefill ends and its link is free soon after.
 */
export function findPlacement(
  state: ShardState,
  request: ReservationRequest,
  now: number,
): Placement | NoPlacement {
  if (request.resumeFrom !== undefined) return placeResume(state, request, now);
  const choice = choosePrefillEngine(state, request, now);
  if (choice === undefined || choice.startAt > now + GRANT_LOOKAHEAD_MS) return 'no-prefill';
  const prefillEndAt = choice.startAt + choice.prefillMs;
  const decodeEngine = chooseDecodeEngine(state, request, prefillEndAt, now);
  if (decodeEngine === undefined) return 'no-decode';
  const exportStartAt = Math.max(prefillEndAt, choice.engine.linkFreeAt);
  const importEndAt = exportStartAt + predictImportMs(state.estimates, request.promptTokens, now);
  const stepMs = predictEngineStepMs(makeStepLine(state.estimates), decodeEngine);
  return {
    prefillEngine: choice.engine,
    decodeEngine,
    expectedCachedTokens: choice.cachedTokens,
    prefillMs: choice.prefillMs,
    averagePrefillMs: choice.averagePrefillMs,
    prefillEndAt,
    linkWaitMs: exportStartAt - prefillEndAt,
    importEndAt,
    firstTokenAt: importEndAt + stepMs,
    stepMs,
    pieces: countPieces(state, request),
  };
}
