/**
 * Distribution of the lengths of answers relative to what was expected of them. Lengths are taken as
 * log-logistic: right in the middle, often far off, and the longer an answer has lasted beyond its
 * forecast, the longer it is likely to go on.
 */

/** Mean and variance of logarithms, learned with decaying weights. */
type LogSamples = { mean: number; variance: number; count: number };

/** What finished answers have shown of lengths. */
export type AnswerLengths = {
  /** Time that the slot was occupied, relative to the forecast at the grant. */
  readonly times: LogSamples;
  /**
   * Events of the answer per expected token. Unlike times they do not depend on the speed of
   * engines, but only some VMs report them.
   */
  readonly events: LogSamples;
};

/** Spread before any answer has finished: half of the answers within a factor of 1.4. */
const INITIAL_DEVIATION = 0.5;
/** Limits of the learned spread, so that neither equal nor a few odd answers make it useless. */
const MIN_DEVIATION = 0.1;
const MAX_DEVIATION = 1;
/** Weight of one sample once enough have been seen. */
const SAMPLE_WEIGHT = 0.02;
/** Samples that the initial values count as. */
const PRIOR_SAMPLES = 5;
/** Samples from which the spread of events is used in place of that of times. */
const MIN_EVENT_SAMPLES = 20;
/** A sample is limited to this many standard deviations from the mean. */
const MAX_DEVIATIONS = 3;
/** Lengths beyond this many standard deviations are not told apart. */
const LONGEST_DEVIATIONS = 1.6;
/** Standard deviation of the logistic distribution with scale 1. */
const LOGISTIC_DEVIATION = Math.PI / Math.sqrt(3);

function makeLogSamples(): LogSamples {
  return { mean: 0, variance: INITIAL_DEVIATION ** 2, count: 0 };
}

/** Makes the distribution that is assumed before any answer has finished. */
export function makeAnswerLengths(): AnswerLengths {
  return { times: makeLogSamples(), events: makeLogSamples() };
}

function recordSample(samples: LogSamples, ratio: number): void {
  if (!(ratio > 0) || !Number.isFinite(ratio)) return;
  samples.count += 1;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / (PRIOR_SAMPLES + samples.count));
  const limit = MAX_DEVIATIONS * Math.sqrt(samples.variance);
  const difference = Math.min(limit, Math.max(-limit, Math.log(ratio) - samples.mean));
  samples.mean += weight * difference;
  samples.variance += weight * (difference ** 2 - samples.variance);
}

/** Records the time that a finished answer occupied its slot, relative to its forecast. */
export function recordTimeRatio({ times }: AnswerLengths, ratio: number): void {
  recordSample(times, ratio);
}

/** Records the events of a finished answer per expected token. */
export function recordEventRatio({ events }: AnswerLengths, ratio: number): void {
  // Events per token are a property of the engines, so the first sample sets their mean.
  if (events.count === 0 && ratio > 0) events.mean = Math.log(ratio);
  recordSample(events, ratio);
}

/** Shape of the distribution, as the forecasts use it. */
export type LengthShape = {
  /** Median of the time that a slot is occupied, relative to its forecast. */
  readonly medianTime: number;
  /** Exponent of the distribution: the larger, the narrower. */
  readonly exponent: number;
  /**
   * Length relative to the median from which an answer is not taken as longer: its end is then about
   * as likely to be unreported, and its memory does not grow without limit.
   */
  readonly longest: number;
};

/** Returns the shape of the distribution as learned so far. */
export function measureLengthShape({ times, events }: AnswerLengths): LengthShape {
  const { variance } = events.count >= MIN_EVENT_SAMPLES ? events : times;
  const deviation = Math.min(MAX_DEVIATION, Math.max(MIN_DEVIATION, Math.sqrt(variance)));
  return {
    medianTime: Math.exp(times.mean),
    exponent: LOGISTIC_DEVIATION / deviation,
    longest: Math.exp(LONGEST_DEVIATIONS * deviation),
  };
}

/**
 * Returns the probability that an answer is longer than `length`, both relative to its median, given
 * that it is longer than `reached`.
 */
export function computeSurvival(
  { exponent }: LengthShape,
  reached: number,
  length: number,
): number {
  if (length <= reached) return 1;
  return (1 + reached ** exponent) / (1 + length ** exponent);
}
