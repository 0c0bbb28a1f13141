/**
 * Forecast of the memory that the answers of one engine use: mean and spread at some times ahead. An
 * answer occupies its prompt and what has been generated until it ends, and nothing afterwards; when
 * it ends is known as a distribution only.
 */

import { computeSurvival, type LengthShape } from './answer-lengths.js';

/** An answer as the forecast sees it. */
export type ForecastAnswer = {
  readonly promptTokens: number;
  /** Expected length of the answer. */
  readonly outputTokens: number;
  /** Longest length of the answer; undefined if unknown. */
  readonly maxOutputTokens?: number | undefined;
  /** Tokens generated so far. */
  readonly made: number;
  /** Time until its first token, if it has none yet, in milliseconds. */
  readonly startsInMs: number;
  readonly msPerToken: number;
};

/** Mean and variance of the tokens in memory at each of the times of the forecast. */
export type MemoryProfile = { readonly means: number[]; readonly variances: number[] };

/** Times of the forecast as multiples of the usual time that a slot is occupied. */
const TIME_STEPS = [0, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6, 0.8, 1, 1.3, 1.7, 2.2];
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
  const tokens = answer.outputTokens * Math.min(shape.longest, length);
  return Math.min(tokens, answer.maxOutputTokens ?? Infinity);
}

/** Returns how long an answer is after some more time, relative to its median. */
function computeLength(shape: LengthShape, answer: ForecastAnswer, inMs: number): number {
  const { made, startsInMs, msPerToken, outputTokens } = answer;
  return (made + Math.max(0, inMs - startsInMs) / msPerToken) / (outputTokens * shape.medianTime);
}

/** Estimates the tokens in memory that an answer uses now. */
export function estimateUsedTokens(shape: LengthShape, answer: ForecastAnswer): number {
  return answer.promptTokens + countGenerated(shape, answer, computeLength(shape, answer, 0));
}

/** Returns mean and variance of the tokens that an answer has in memory after some more time. */
function predictTokens(
  shape: LengthShape,
  answer: ForecastAnswer,
  running: number,
  inMs: number,
): { readonly mean: number; readonly variance: number } {
  const length = computeLength(shape, answer, inMs);
  const isOver = inMs > 0 && answer.outputTokens * length >= (answer.maxOutputTokens ?? Infinity);
  const reached = computeLength(shape, answer, 0);
  const survival = isOver ? 0 : running * computeSurvival(shape, reached, length);
  const tokens = answer.promptTokens + countGenerated(shape, answer, length);
  return { mean: survival * tokens, variance: survival * (1 - survival) * tokens ** 2 };
}

/** Adds an answer to a profile; `usualMs` is the usual time that a slot is occupied. */
export function addToProfile(
  { means, variances }: MemoryProfile,
  shape: LengthShape,
  answer: ForecastAnswer,
  usualMs: number,
): void {
  const running = computeRunning(shape, computeLength(shape, answer, 0));
  for (const [index, step] of TIME_STEPS.entries()) {
    const { mean, variance } = predictTokens(shape, answer, running, step * usualMs);
    means[index] = (means[index] ?? 0) + mean;
    variances[index] = (variances[index] ?? 0) + variance;
  }
}

/**
 * Whether the tokens of a profile and of one more answer stay within a limit at all of the times, with a
 * margin of this many standard deviations.
 */
export function hasRoom(
  { means, variances }: MemoryProfile,
  shape: LengthShape,
  added: ForecastAnswer,
  {
    usualMs,
    deviations,
    limit,
  }: { readonly usualMs: number; readonly deviations: number; readonly limit: number },
): boolean {
  for (const [index, step] of TIME_STEPS.entries()) {
    const { mean, variance } = predictTokens(shape, added, 1, step * usualMs);
    const spread = Math.sqrt((variances[index] ?? 0) + variance);
    if ((means[index] ?? 0) + mean + deviations * spread > limit) return false;
  }
  return true;
}
