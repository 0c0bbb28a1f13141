/** KV cache memory of decode engines: which answers fit, and what refusals and preemptions show of it. */

import {
  makeAnswerLengths,
  measureLengthShape,
  recordEventRatio,
  recordTimeRatio,
  type AnswerLengths,
  type LengthShape,
} from '../speeds/answer-lengths.js';
import {
  addToProfile,
  estimateUsedTokens,
  makeMemoryProfile,
  predictPeak,
  type ForecastAnswer,
  type MemoryProfile,
} from '../speeds/memory-forecast.js';
import {
  hasPreemptionPause,
  makeMemoryMargin,
  recordMemoryOutcome,
  type AnswerProgress,
  type MemoryMargin,
} from '../speeds/memory-margin.js';
import { MAX_MEMORY_SHARE, type EngineLoad } from './engine-load.js';
import type { SlotAssignment } from './pool-types.js';

/** What the memory forecasts of a pool are based on. */
export type MemoryEstimates = { readonly lengths: AnswerLengths; readonly margin: MemoryMargin };

/** The memory estimates at one time. */
export type MemoryView = {
  readonly shape: LengthShape;
  readonly deviations: number;
  /** Usual time that a slot is occupied, in milliseconds. */
  readonly usualMs: number;
  /** Milliseconds that a decode engine needs to read a prompt token. */
  readonly readMsPerToken: number;
  readonly now: number;
};

/** Memory forecast of the running answers of an engine. */
export type MemoryForecast = {
  readonly at: number;
  readonly runsVersion: number;
  readonly profile: MemoryProfile;
};

/** Least share of the KV cache that is assigned. */
const MIN_MEMORY_SHARE = 0.6;
/** Factor on the assigned share at each refusal for lack of memory. */
const MEMORY_REFUSAL_FACTOR = 0.95;
/** Increase of the share with each completed answer. */
const MEMORY_RECOVERY_STEP = 0.002;
/** Predicted share of the KV cache from which a refusal or a pause is taken as lack of memory. */
const MEMORY_PRESSURE_SHARE = 0.55;
/** A forecast that is older than this is made again: its answers have grown. */
const MAX_FORECAST_AGE_MS = 20;

/** Makes the memory estimates of a pool that has not seen any answer. */
export function makeMemoryEstimates(): MemoryEstimates {
  return { lengths: makeAnswerLengths(), margin: makeMemoryMargin() };
}

/** Adds the memory estimates to the times that forecasts are based on. */
export function measureMemoryView(
  { lengths, margin }: MemoryEstimates,
  times: Pick<MemoryView, 'usualMs' | 'readMsPerToken' | 'now'>,
): MemoryView {
  return { shape: measureLengthShape(lengths), deviations: margin.deviations, ...times };
}

function buildForecastAnswer(
  { ask, grantedAt, expectedEndAt }: SlotAssignment,
  now: number,
): ForecastAnswer {
  const { promptTokens, outputTokens, maxOutputTokens } = ask;
  return {
    promptTokens,
    outputTokens,
    maxOutputTokens,
    ageMs: now - grantedAt,
    spanMs: expectedEndAt - grantedAt,
  };
}

function estimateUsedShare(view: MemoryView, load: EngineLoad, ended?: SlotAssignment): number {
  let total = 0;
  const assignments = ended === undefined ? load.runs.values() : [ended, ...load.runs.values()];
  for (const assignment of assignments) {
    total += estimateUsedTokens(view.shape, buildForecastAnswer(assignment, view.now));
  }
  return total / Math.max(1, load.engine.kvCapacityTokens);
}

/**
 * Records that a decode engine refused a request as full. Returns whether its memory explains it;
 * then its other answers proceed and it takes requests again as soon as one of them ends.
 */
export function recordMemoryRefusal(load: EngineLoad, view: MemoryView): boolean {
  if (load.engine.stage !== 'decode') return false;
  if (estimateUsedShare(view, load) < MEMORY_PRESSURE_SHARE) return false;
  const reduced = MEMORY_REFUSAL_FACTOR * load.usableMemoryShare;
  load.usableMemoryShare = Math.max(MIN_MEMORY_SHARE, reduced);
  return true;
}

/**
 * Records a finished answer, which has been removed from its engine: its length, whether it paused for
 * lack of memory, and that the memory may be used a little more again.
 */
export function recordMemoryReleased(
  { lengths, margin }: MemoryEstimates,
  load: EngineLoad,
  assignment: SlotAssignment,
  progress: AnswerProgress | undefined,
  view: MemoryView,
): void {
  const { ask, grantedAt, expectedEndAt } = assignment;
  const increased = load.usableMemoryShare + MEMORY_RECOVERY_STEP;
  load.usableMemoryShare = Math.min(MAX_MEMORY_SHARE, increased);
  if (progress !== undefined) {
    const isShort = estimateUsedShare(view, load, assignment) >= MEMORY_PRESSURE_SHARE;
    const readMs = ask.promptTokens * view.readMsPerToken;
    if (isShort) recordMemoryOutcome(margin, hasPreemptionPause(progress, readMs));
  }
  if (ask.outputTokens <= 0) return;
  recordTimeRatio(lengths, (view.now - grantedAt) / Math.max(1, expectedEndAt - grantedAt));
  if (progress !== undefined) recordEventRatio(lengths, progress.events / ask.outputTokens);
}

function findForecast(load: EngineLoad, { shape, usualMs, now }: MemoryView): MemoryForecast {
  const known = load.memoryForecast;
  const isCurrent =
    known !== undefined &&
    known.runsVersion === load.runsVersion &&
    now - known.at <= MAX_FORECAST_AGE_MS;
  if (isCurrent) return known;
  const profile = makeMemoryProfile();
  for (const assignment of load.runs.values()) {
    addToProfile(profile, shape, buildForecastAnswer(assignment, now), usualMs);
  }
  const forecast = { at: now, runsVersion: load.runsVersion, profile };
  load.memoryForecast = forecast;
  return forecast;
}

/**
 * Whether the memory of a decode engine suffices for one more answer until it ends, except with a
 * small probability.
 */
export function hasFreeMemory(load: EngineLoad, extra: SlotAssignment, view: MemoryView): boolean {
  if (load.runs.size === 0) return true;
  const { shape, deviations, usualMs, now } = view;
  const added = makeMemoryProfile();
  addToProfile(added, shape, buildForecastAnswer(extra, now), usualMs);
  const peak = predictPeak(findForecast(load, view).profile, added, deviations);
  return peak <= load.usableMemoryShare * load.engine.kvCapacityTokens;
}

/** Whether a decode engine has a free slot and the memory for one more assignment. */
export function hasFreeSlot(load: EngineLoad, extra: SlotAssignment, view: MemoryView): boolean {
  return load.runs.size < load.engine.slots && hasFreeMemory(load, extra, view);
}
