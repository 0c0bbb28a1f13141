/**
 * What the running answers of one engine have generated so far, as far as it follows from the engine's
 * pace, and what it shows of the engine that none of them has ended.
 */

import { computeSurvival, type LengthShape } from './answer-lengths.js';

/** One running answer. */
export type RunningAnswer = {
  /** Median of its length, in tokens at the estimated pace. */
  readonly tokens: number;
  /** Milliseconds per token by which its end was last expected. */
  expectedPace: number;
  /** When its first token is expected. */
  startsAt: number;
  /** Tokens generated so far. */
  made: number;
  /** Sum over time of the share of the engine's slots in use, since it started. */
  usageMs: number;
  readonly grantedAt: number;
};

/** The running answers of one engine, as of `at`. */
export type RunningAnswers = {
  readonly answers: Map<string, RunningAnswer>;
  at: number;
  /** Ends of answers that were expected lately, and those that came; both decay. */
  expectedEnds: number;
  seenEnds: number;
};

/** Time in which expected and seen ends are forgotten. */
const ENDS_MEMORY_MS = 3_000;
/** Ends that are taken as expected and seen, so that a chance gap shows little. */
const PRIOR_ENDS = 3;
const MAX_STALL = 6;

/** Makes the record of an engine without answers. */
export function makeRunningAnswers(): RunningAnswers {
  return { answers: new Map(), at: 0, expectedEnds: 0, seenEnds: 0 };
}

function countMade(answer: RunningAnswer, since: number, msPerToken: number, now: number): number {
  return answer.made + Math.max(0, now - Math.max(since, answer.startsAt)) / msPerToken;
}

/** Counts what has been generated since the last call, at this pace and usage. */
export function updateRunning(
  running: RunningAnswers,
  shape: LengthShape,
  { msPerToken, usage }: { readonly msPerToken: number; readonly usage: number },
  now: number,
): void {
  const elapsedMs = now - running.at;
  if (elapsedMs <= 0) return;
  const kept = Math.exp(-elapsedMs / ENDS_MEMORY_MS);
  running.expectedEnds *= kept;
  running.seenEnds *= kept;
  for (const answer of running.answers.values()) {
    const made = countMade(answer, running.at, msPerToken, now);
    const survival = computeSurvival(shape, answer.made / answer.tokens, made / answer.tokens);
    running.expectedEnds -= Math.log(survival);
    answer.made = made;
    answer.usageMs += elapsedMs * usage;
  }
  running.at = now;
}

/** Returns the mean share of the engine's slots that were in use while an answer ran. */
export function measureMeanUsage({ usageMs, grantedAt }: RunningAnswer, now: number): number {
  return usageMs / Math.max(1, now - grantedAt);
}

/** Records that an answer of the engine has ended. */
export function recordEnd(running: RunningAnswers): void {
  running.seenEnds += 1;
}

/** Corrects the expected ends when the engine turns out to take `factor` times as long per token. */
export function updateExpectedEnds(running: RunningAnswers, factor: number): void {
  running.expectedEnds /= Math.max(1, factor);
}

/**
 * Returns how many times slower an engine seems to be than its pace says, because fewer of its answers
 * have ended lately than were expected to; 1 if none is missing.
 */
export function measureStall({ expectedEnds, seenEnds }: RunningAnswers): number {
  const ratio = (PRIOR_ENDS + expectedEnds) / (PRIOR_ENDS + seenEnds);
  return Math.min(MAX_STALL, Math.max(1, ratio));
}
