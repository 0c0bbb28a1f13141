/**
 * Margin of the memory forecasts, learned from signs of preemption. An engine does not report that it
 * took an answer out of memory, but the answer then pauses for far longer than between its events.
 */

/** What a VM reports of a finished answer. */
export type AnswerProgress = {
  readonly events: number;
  /** Time from the first event to the last, in milliseconds. */
  readonly streamedMs: number;
  /** Longest pause between two events, in milliseconds. */
  readonly longestPauseMs: number;
};

/** Margin in standard deviations of the forecast, for all engines of a pool. */
export type MemoryMargin = { deviations: number };

/** Two standard deviations: memory runs out for one forecast in about 40. */
const INITIAL_DEVIATIONS = 2;
const MIN_DEVIATIONS = 1.2;
const MAX_DEVIATIONS = 3.5;
/** Increase with each sign of a preemption. */
const PREEMPTION_STEP = 0.1;
/**
 * Share of preempted answers at which the margin stays as it is. Less than that would keep more
 * answers from starting than it keeps whole.
 */
const TOLERATED_SHARE = 0.025;
/**
 * A pause is a sign from this multiple of the usual time between two events of the same answer: an
 * engine that has become slow pauses longer each time, not once.
 */
const PAUSE_FACTOR = 4;
/** Shorter pauses are no sign. */
const MIN_PAUSE_MS = 200;
/**
 * A preempted answer waits for memory and then for its prompt. While the prompt is read, the other
 * answers of the engine pause too, but no longer than this multiple of the time to read one.
 */
const READ_FACTOR = 1.5;
const MIN_EVENTS = 6;

/** Makes the margin of a pool that has not seen any answer. */
export function makeMemoryMargin(): MemoryMargin {
  return { deviations: INITIAL_DEVIATIONS };
}

/**
 * Whether an answer paused once for far longer than between its other events, and than its engine
 * needs to read its prompt.
 */
export function hasPreemptionPause(
  { events, streamedMs, longestPauseMs }: AnswerProgress,
  readMs: number,
): boolean {
  if (events < MIN_EVENTS || longestPauseMs < MIN_PAUSE_MS) return false;
  const usualMs = Math.max(1, streamedMs - longestPauseMs) / (events - 2);
  return longestPauseMs >= Math.max(PAUSE_FACTOR * usualMs, READ_FACTOR * readMs + usualMs);
}

/** Records a finished answer of an engine that was short of memory. */
export function recordMemoryOutcome(margin: MemoryMargin, wasPreempted: boolean): void {
  const step = wasPreempted ? PREEMPTION_STEP : -PREEMPTION_STEP * TOLERATED_SHARE;
  margin.deviations = Math.min(MAX_DEVIATIONS, Math.max(MIN_DEVIATIONS, margin.deviations + step));
}
