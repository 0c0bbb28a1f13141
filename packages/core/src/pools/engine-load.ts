/** What the pool counts on one engine: places, memory over time, prompts being read. */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';
import type { AskId, PlaceAsk, PlaceRun, PoolEngine } from './pool-types.js';

/** A prompt that was sent to an engine and is not known to be read. */
type Reading = {
  readonly run: PlaceRun;
  /** From then on it holds up no other prompt: the VM that sent it may stand still. */
  readonly overdueAt: number;
};

/** One engine with everything that is placed on it. */
export type EngineLoad = {
  engine: PoolEngine;
  /** Runs that have a decode place here. */
  readonly runs: Map<AskId, PlaceRun>;
  /** Prompts sent here that are not read yet. */
  readonly prefills: Map<AskId, Reading>;
  /** Since when its time counts as spent on the prompts that it is reading. */
  prefillBusySince: number;
  /** When the prompts sent here are probably read. */
  prefillDoneAt: number;
  /** Busy time and the prompt tokens read in it, fading; tells this engine's own speed. */
  prefillBusyMs: number;
  prefillTokens: number;
  /** Prompts read so far. */
  prefillCount: number;
  /** A decode engine that has read a prompt itself reads no other before this time. */
  readsAgainAt: number;
  /** No new work before this time. */
  avoidUntil: number;
  /** Refusals and failures since its last success. */
  failures: number;
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
/** Prompts side by side slow each other: the next is sent when the one before is nearly read. */
const PREFILL_LEAD_MS = 60;
const PREFILL_FADING = 0.93;
/** Usual time between two events of an answer; a prompt that is read meanwhile comes on top. */
const EVENT_INTERVAL_MS = 70;
/** After reading a prompt itself, a decode engine goes on with its answers for this multiple of that time. */
const REST_FACTOR = 1;
const MIN_REST_MS = 100;
/** One prompt counts for this multiple of its forecast at most. */
const MAX_SAMPLE_FACTOR = 3;
/** A prompt is overdue after its forecast and this multiple of it, but not before the least time. */
const OVERDUE_READ_FACTOR = 2;
const MIN_OVERDUE_READ_MS = 250;
/** Tokens for which the pool's mean speed counts in the estimate of one engine. */
const PRIOR_TOKENS = 8_000;

/** Makes the load of an engine with nothing on it. */
export function makeEngineLoad(engine: PoolEngine): EngineLoad {
  return {
    engine,
    runs: new Map(),
    prefills: new Map(),
    prefillBusySince: 0,
    prefillDoneAt: 0,
    prefillBusyMs: 0,
    prefillTokens: 0,
    prefillCount: 0,
    readsAgainAt: 0,
    avoidUntil: 0,
    failures: 0,
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

/** Milliseconds that an engine needs for one prompt token; `poolMs` is the mean of its pool. */
export function measureEnginePrefillMs(load: EngineLoad, poolMs: number): number {
  const busyMs = load.prefillBusyMs + PRIOR_TOKENS * poolMs;
  return busyMs / (load.prefillTokens + PRIOR_TOKENS);
}

/** Predicts when an engine would have read one more prompt. */
export function predictPrefillEnd(
  load: EngineLoad,
  promptTokens: number,
  poolMs: number,
  now: number,
): number {
  const startAt = load.prefills.size === 0 ? now : Math.max(now, load.prefillDoneAt);
  return startAt + promptTokens * measureEnginePrefillMs(load, poolMs);
}

/** Counts a prompt that an engine is reading, whoever had it sent. */
export function addReading(load: EngineLoad, run: PlaceRun, poolMs: number, now: number): void {
  const readMs = run.ask.promptTokens * measureEnginePrefillMs(load, poolMs);
  const graceMs = Math.max(MIN_OVERDUE_READ_MS, OVERDUE_READ_FACTOR * readMs);
  const overdueAt = Math.max(now, load.prefillDoneAt) + graceMs;
  load.prefills.set(run.ask.askId, { run, overdueAt });
}

/** Starts to count a prompt that was sent to a prefill engine. */
export function startPrefill(load: EngineLoad, run: PlaceRun, poolMs: number, now: number): void {
  load.prefillDoneAt = predictPrefillEnd(load, run.ask.promptTokens, poolMs, now);
  if (load.prefills.size === 0) load.prefillBusySince = now;
  addReading(load, run, poolMs, now);
}

/** Takes a prompt off that was not read: the time spent on it tells nothing of the engine's speed. */
export function dropPrefill(load: EngineLoad, askId: AskId, now: number): void {
  if (load.prefills.delete(askId)) load.prefillBusySince = now;
}

/** Takes off the prompts whose end was not told in time. */
export function dropOverduePrefills(load: EngineLoad, now: number): void {
  for (const [askId, { overdueAt }] of load.prefills) {
    if (overdueAt <= now) dropPrefill(load, askId, now);
  }
}

/** Whether a run that can still be on time would pause too long if its engine read a prompt. */
function isTurningLate(run: PlaceRun, readMs: number): boolean {
  return !run.isLate && EVENT_INTERVAL_MS + readMs > run.ask.pauseMs;
}

/** Counts the runs that would turn late if their engine read a prompt for so long. */
export function countRunsTurningLate(load: EngineLoad, readMs: number): number {
  let count = 0;
  for (const run of load.runs.values()) {
    if (isTurningLate(run, readMs)) count += 1;
  }
  return count;
}

/** Notes the runs that turn late because their engine reads a prompt. */
export function recordLateRuns(load: EngineLoad, readMs: number): void {
  for (const run of load.runs.values()) {
    if (isTurningLate(run, readMs)) run.isLate = true;
  }
}

/** Lets the answers of an engine that has read a prompt itself go on before the next one. */
export function startRest(load: EngineLoad, readMs: number, now: number): void {
  load.readsAgainAt = now + Math.max(MIN_REST_MS, REST_FACTOR * readMs);
}

/** Time of a decode engine for one prompt that it reads itself, its rest included. */
export function measureReadCycleMs(readMs: number): number {
  return readMs + Math.max(MIN_REST_MS, REST_FACTOR * readMs);
}

/** Whether a decode engine may read a prompt itself now. */
export function isFreeToRead(load: EngineLoad, now: number): boolean {
  if (load.prefills.size > 0) return false;
  return load.runs.size === 0 || load.readsAgainAt <= now;
}

/** Ends the count of a prompt; returns the engine's busy time since the last end. */
export function endPrefill(load: EngineLoad, askId: AskId, poolMs: number, now: number): number {
  const reading = load.prefills.get(askId);
  if (reading === undefined) return 0;
  const { run } = reading;
  load.prefills.delete(askId);
  // A report that came late says more of the way than of the engine.
  const mostMs = MAX_SAMPLE_FACTOR * run.ask.promptTokens * measureEnginePrefillMs(load, poolMs);
  const busyMs = Math.min(mostMs, now - load.prefillBusySince);
  load.prefillBusySince = now;
  load.prefillBusyMs = PREFILL_FADING * load.prefillBusyMs + busyMs;
  load.prefillTokens = PREFILL_FADING * load.prefillTokens + run.ask.promptTokens;
  load.prefillCount += 1;
  load.failures = 0;
  return busyMs;
}

/** Forgets how fast an engine read prompts: another stage reads at another speed. */
export function forgetPrefills(load: EngineLoad): void {
  load.prefillBusyMs = 0;
  load.prefillTokens = 0;
  load.prefillCount = 0;
}

/** Whether a prefill engine takes one more prompt without a queue that lasts. */
export function hasPrefillRoom(load: EngineLoad, now: number): boolean {
  if (load.prefills.size === 0) return true;
  return load.prefills.size < MAX_PREFILLS && load.prefillDoneAt - now <= PREFILL_LEAD_MS;
}
