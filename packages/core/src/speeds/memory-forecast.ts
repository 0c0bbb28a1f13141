/**
 * Forecast of the memory that the answers of one engine use: mean and spread at some times ahead. An
 * answer occupies its prompt and what has been generated until it ends, and nothing afterwards; when
 * it ends is known as a distribution only.
 */

import { computeSurvival, type LengthShape } from './answer-lengths.js';

/** An answer as the forecast sees it. */
export type ForecastAnswer = {
  readonly promptTokens: number;
  /** Expected length of the answer; 0 or less if unknown. */
  readonly outputTokens: number;
  /** Longest length of the answer; undefined if unknown. */
  readonly maxOutputTokens?: number | undefined;
  /** Time since its slot was granted, in milliseconds. */
  readonly ageMs: number;
  /** Time that its slot was expected to be occupied, in milliseconds. */
  readonly spanMs: number;
};

/** Mean and variance of the tokens in memory at each of the times of the forecast. */
export type MemoryProfile = { readonly means: number[]; readonly variances: number[] };

/** Times of the forecast as multiples of the usual time that a slot is occupied. */
const TIME_STEPS = [0, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1, 1.3, 1.7, 2.2];
/** Makes the profile of an engine without answers. */
export function makeMemoryProfile(): MemoryProfile {
  return { means: TIME_STEPS.map(() => 0), variances: TIME_STEPS.map(() => 0) };
}

/**
 * Share of answers whose end is not reported, because their VM stands still or the report is lost.
 * The longer an answer would have to be, the more likely this explains it.
 */
const UNREPORTED_SHARE = 0.001;

/** Returns the probability that an answer still runs whose end has not been reported. */
function computeRunning(shape: LengthShape, reached: number): number {
  const survival = computeSurvival(shape, 0, reached);
  return survival / (survival + UNREPORTED_SHARE);
}

/** Returns the tokens that an answer has generated when it is `length` long, relative to its median. */
function countGenerated(shape: LengthShape, answer: ForecastAnswer, length: number): number {
  const tokens = Math.max(0, answer.outputTokens) * Math.min(shape.longest, length);
  return Math.min(tokens, answer.maxOutputTokens ?? Infinity);
}

/** Returns how long an answer is after some more time, relative to its median. */
function computeLength(shape: LengthShape, answer: ForecastAnswer, inMs: number): number {
  const medianMs = Math.max(1, answer.spanMs) * shape.medianTime;
  return Math.max(0, answer.ageMs + inMs) / medianMs;
}

/** Estimates the tokens in memory that an answer uses now. */
export function estimateUsedTokens(shape: LengthShape, answer: ForecastAnswer): number {
  return answer.promptTokens + countGenerated(shape, answer, computeLength(shape, answer, 0));
}

/** Adds an answer to a profile; `usualMs` is the usual time that a slot is occupied. */
export function addToProfile(
  { means, variances }: MemoryProfile,
  shape: LengthShape,
  answer: ForecastAnswer,
  usualMs: number,
): void {
  const maxTokens = answer.maxOutputTokens ?? Infinity;
  const reached = computeLength(shape, answer, 0);
  const running = computeRunning(shape, reached);
  for (const [index, step] of TIME_STEPS.entries()) {
    const length = computeLength(shape, answer, step * usualMs);
    const isOver = step > 0 && answer.outputTokens * length >= maxTokens;
    const survival = isOver ? 0 : running * computeSurvival(shape, reached, length);
    const tokens = answer.promptTokens + countGenerated(shape, answer, length);
    means[index] = (means[index] ?? 0) + survival * tokens;
    variances[index] = (variances[index] ?? 0) + survival * (1 - survival) * tokens ** 2;
  }
}

/**
 * Returns the most tokens that two profiles use together at any of the times, with a margin of this
 * many standard deviations.
 */
export function predictPeak(one: MemoryProfile, other: MemoryProfile, deviations: number): number {
  let peak = 0;
  for (const [index, mean] of one.means.entries()) {
    const variance = (one.variances[index] ?? 0) + (other.variances[index] ?? 0);
    const tokens = mean + (other.means[index] ?? 0) + deviations * Math.sqrt(variance);
    peak = Math.max(peak, tokens);
  }
  return peak;
}
