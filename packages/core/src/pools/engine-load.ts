/** What the pool counts on one engine: places, memory over time, prompts being read. */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';
import type { AskId, PlaceAsk, PlaceRun, PoolEngine } from './pool-types.js';

/** One engine with everything that is placed on it. */
export type EngineLoad = {
  engine: PoolEngine;
  /** Runs that have a decode place here. */
  readonly runs: Map<AskId, PlaceRun>;
  /** Prompts sent here that are not read yet. */
  readonly prefills: Map<AskId, PlaceRun>;
  /** Since when its time counts as spent on the prompts that it is reading. */
  prefillBusySince: number;
  /** No new work before this time. */
  avoidUntil: number;
  /** Stage that it was told to take, and when it has surely done so. */
  ordered: { readonly stage: EngineStage; readonly doneBy: number } | undefined;
  /** Measured time of a place per expected token, relative to the pool's mean. */
  slowness: number;
};

/** Loads by engine. */
export type EngineLoads = Map<UpstreamId, EngineLoad>;

/** Part of the memory that is planned for; lengths are guesses. */
const USED_MEMORY_SHARE = 0.98;
/** A run that outlives its forecast is expected to go on for this part of it. */
const OVERDUE_SHARE = 0.2;
/** Prompts that one prefill engine holds at a time: one is read while the next arrives. */
const MAX_PREFILLS = 2;
/** Short prompts may wait in greater number, up to this many tokens. */
const MAX_PREFILL_TOKENS = 6_000;

/** Makes the load of an engine with nothing on it. */
export function makeEngineLoad(engine: PoolEngine): EngineLoad {
  return {
    engine,
    runs: new Map(),
    prefills: new Map(),
    prefillBusySince: 0,
    avoidUntil: 0,
    ordered: undefined,
    slowness: 1,
  };
}

function findEnd(run: PlaceRun, now: number): number {
  if (run.expectedEndAt > now) return run.expectedEndAt;
  return now + OVERDUE_SHARE * (run.expectedEndAt - run.grantedAt);
}

/** Tokens that a run holds at a time before its end. */
function measureTokensAt(run: PlaceRun, at: number, endAt: number): number {
  const span = Math.max(1, endAt - run.grantedAt);
  const progress = Math.min(1, Math.max(0, (at - run.grantedAt) / span));
  return run.ask.promptTokens + progress * run.ask.outputTokens;
}

/**
 * Computes the most memory that the runs of an engine need at any time from now on, with one more
 * run. Memory peaks just before a run ends.
 */
export function predictPeakTokens(load: EngineLoad, extra: PlaceRun, now: number): number {
  const runs = [...load.runs.values(), extra].map((run) => ({ run, endAt: findEnd(run, now) }));
  let peak = 0;
  for (const { endAt: at } of runs) {
    let total = 0;
    for (const { run, endAt } of runs) {
      if (endAt >= at) total += measureTokensAt(run, at, endAt);
    }
    peak = Math.max(peak, total);
  }
  return peak;
}

/** Whether an engine is on its way to another stage. */
export function isChanging({ ordered, engine }: EngineLoad, now: number): boolean {
  return ordered !== undefined && ordered.stage !== engine.stage && now < ordered.doneBy;
}

/** Whether an engine may get new work at all. */
export function isUsable(load: EngineLoad, ask: PlaceAsk, now: number): boolean {
  if (load.engine.isLeaving || load.avoidUntil > now || isChanging(load, now)) return false;
  return !ask.excluded.includes(load.engine.upstreamId);
}

/** Whether a decode engine has a slot and the memory for one more run. */
export function hasPlace(load: EngineLoad, extra: PlaceRun, now: number): boolean {
  if (load.runs.size >= load.engine.slots) return false;
  if (load.runs.size === 0) return true;
  return predictPeakTokens(load, extra, now) <= USED_MEMORY_SHARE * load.engine.kvCapacityTokens;
}

/** Tokens of prompts that an engine has been sent and has not read. */
export function countPrefillTokens(load: EngineLoad): number {
  let tokens = 0;
  for (const run of load.prefills.values()) tokens += run.ask.promptTokens;
  return tokens;
}

/** Starts to count a prompt that was sent to a prefill engine. */
export function startPrefill(load: EngineLoad, run: PlaceRun, now: number): void {
  if (load.prefills.size === 0) load.prefillBusySince = now;
  load.prefills.set(run.ask.askId, run);
}

/** Ends the count of a prompt; returns the engine's busy time since the last end. */
export function endPrefill(load: EngineLoad, askId: AskId, now: number): number {
  if (!load.prefills.delete(askId)) return 0;
  const busyMs = now - load.prefillBusySince;
  load.prefillBusySince = now;
  return busyMs;
}

/** Whether a prefill engine takes one more prompt without a queue that lasts. */
export function canPrefill(load: EngineLoad, promptTokens: number): boolean {
  if (load.prefills.size < MAX_PREFILLS) return true;
  return countPrefillTokens(load) + promptTokens <= MAX_PREFILL_TOKENS;
}
