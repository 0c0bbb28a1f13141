/** Speeds of a pool of engines, learned from attempts. Times are milliseconds. */

/** A rate that is learned from samples. */
export type RateEstimate = {
  tokensPerMs: number;
  peakTokensPerMs: number;
  samples: number;
  sampledAt: number;
};

/** Decode step time as a linear function of the batch size, by least squares with forgetting. */
export type StepEstimate = {
  samples: number;
  weight: number;
  sumBatch: number;
  sumMs: number;
  sumBatchBatch: number;
  sumBatchMs: number;
};

/** Everything that is learned of a pool. */
export type PoolEstimates = {
  readonly prefill: RateEstimate;
  readonly link: RateEstimate;
  readonly step: StepEstimate;
  /** Share of the allowed tokens that answers use: mean and mean deviation. */
  readonly answer: { mean: number; deviation: number; samples: number };
  /** How long an attempt holds its decode place. */
  readonly hold: { meanMs: number; samples: number };
  /** Tokens in one piece of engine memory; zero until known. */
  tokensPerPiece: number;
};

/** Time from a grant until the engine starts on it. */
export const HOP_MS = 3;
/** Fixed part of every prefill and import. */
export const OVERHEAD_MS = 4;
/** Samples before predictions are used to refuse. */
export const MIN_SAMPLES = 5;

const PREFILL_PRIOR_TOKENS_PER_MS = 20;
const LINK_PRIOR_TOKENS_PER_MS = 80;
const STEP_PRIOR_MS = 20;
const STEP_PRIOR_PER_STREAM_MS = 1;
const SAMPLE_WEIGHT = 0.1;
const MAX_SAMPLE_FACTOR = 3;
const RECOVERY_HALF_LIFE_MS = 1_000;
const STEP_FORGETTING = 0.995;
const MIN_STEP_MS = 1;
const HOLD_PRIOR_MS = 2_000;
const DEVIATIONS = 2;

/** Adds the time of one decode step at a batch size. */
export function addStepSample(estimates: PoolEstimates, batch: number, ms: number): void {
  const { step } = estimates;
  step.weight = step.weight * STEP_FORGETTING + 1;
  step.sumBatch = step.sumBatch * STEP_FORGETTING + batch;
  step.sumMs = step.sumMs * STEP_FORGETTING + ms;
  step.sumBatchBatch = step.sumBatchBatch * STEP_FORGETTING + batch * batch;
  step.sumBatchMs = step.sumBatchMs * STEP_FORGETTING + batch * ms;
  step.samples += 1;
}

function makeRate(tokensPerMs: number): RateEstimate {
  return { tokensPerMs, peakTokensPerMs: tokensPerMs, samples: 0, sampledAt: 0 };
}

/** Makes estimates from the priors. */
export function makePoolEstimates(): PoolEstimates {
  const step = {
    samples: 0,
    weight: 0,
    sumBatch: 0,
    sumMs: 0,
    sumBatchBatch: 0,
    sumBatchMs: 0,
  };
  const estimates: PoolEstimates = {
    prefill: makeRate(PREFILL_PRIOR_TOKENS_PER_MS),
    link: makeRate(LINK_PRIOR_TOKENS_PER_MS),
    step,
    answer: { mean: 1, deviation: 0, samples: 0 },
    hold: { meanMs: HOLD_PRIOR_MS, samples: 0 },
    tokensPerPiece: 0,
  };
  for (const batch of [1, 20]) {
    addStepSample(estimates, batch, STEP_PRIOR_MS + STEP_PRIOR_PER_STREAM_MS * batch);
  }
  step.samples = 0;
  return estimates;
}

function getSampleWeight(samples: number): number {
  return Math.max(SAMPLE_WEIGHT, 1 / (samples + 1));
}

/** Adds a measured rate; one far off moves the estimate no more than one that is just off. */
export function addRateSample(rate: RateEstimate, tokensPerMs: number, now: number): void {
  if (!(tokensPerMs > 0) || !Number.isFinite(tokensPerMs)) return;
  const isFirst = rate.samples === 0;
  const bounded = isFirst
    ? tokensPerMs
    : Math.min(
        rate.tokensPerMs * MAX_SAMPLE_FACTOR,
        Math.max(rate.tokensPerMs / MAX_SAMPLE_FACTOR, tokensPerMs),
      );
  // The mean of times, not of rates, is what predictions need.
  const msPerToken = 1 / rate.tokensPerMs;
  const weight = getSampleWeight(rate.samples);
  rate.tokensPerMs = 1 / (msPerToken + weight * (1 / bounded - msPerToken));
  const peak = isFirst ? rate.tokensPerMs : Math.max(rate.peakTokensPerMs, rate.tokensPerMs);
  rate.peakTokensPerMs = peak;
  rate.samples += 1;
  rate.sampledAt = now;
}

/**
 * Returns the rate. Without samples it returns towards its peak, since a pool that looks too slow
 * for every request would otherwise never be measured again.
 */
export function getRate(rate: RateEstimate, now: number): number {
  const idleMs = now - rate.sampledAt;
  if (rate.samples === 0 || idleMs <= RECOVERY_HALF_LIFE_MS) return rate.tokensPerMs;
  const grown = rate.tokensPerMs * 2 ** (idleMs / RECOVERY_HALF_LIFE_MS - 1);
  return Math.min(rate.peakTokensPerMs, grown);
}

/** Time of a decode step as a line over the batch size. */
export type StepLine = { readonly atZeroMs: number; readonly perStreamMs: number };

/** Fits the line at the pool's usual speed. */
export function makeStepLine({ step }: PoolEstimates): StepLine {
  const mean = step.sumMs / step.weight;
  const meanBatch = step.sumBatch / step.weight;
  const variance = step.sumBatchBatch / step.weight - meanBatch * meanBatch;
  if (variance < 1) return { atZeroMs: mean, perStreamMs: 0 };
  const covariance = step.sumBatchMs / step.weight - meanBatch * mean;
  const perStreamMs = Math.max(0, covariance / variance);
  return { atZeroMs: mean - perStreamMs * meanBatch, perStreamMs };
}

/** Reads the step time at a batch size. */
export function getStepMs({ atZeroMs, perStreamMs }: StepLine, batch: number): number {
  return Math.max(MIN_STEP_MS, atZeroMs + perStreamMs * batch);
}

/** Predicts the time of one decode step at a batch size, at the pool's usual speed. */
export function predictStepMs(estimates: PoolEstimates, batch: number): number {
  return getStepMs(makeStepLine(estimates), batch);
}

/** Predicts a prefill at the pool's usual speed. */
export function predictPrefillMs(estimates: PoolEstimates, tokens: number, now: number): number {
  return OVERHEAD_MS + tokens / getRate(estimates.prefill, now);
}

/** Predicts an import when the link is free. */
export function predictImportMs(estimates: PoolEstimates, tokens: number, now: number): number {
  return OVERHEAD_MS + tokens / getRate(estimates.link, now);
}

/** Predicts how many tokens an answer will have. */
export function predictAnswerTokens({ answer }: PoolEstimates, maxTokens: number): number {
  const share = answer.mean + DEVIATIONS * answer.deviation;
  return Math.max(1, Math.min(1, share) * maxTokens);
}

/** Adds the length of a whole answer. */
export function addAnswerSample(estimates: PoolEstimates, tokens: number, maxTokens: number): void {
  const { answer } = estimates;
  const share = Math.min(1, tokens / Math.max(1, maxTokens));
  const weight = getSampleWeight(answer.samples);
  answer.deviation += weight * (Math.abs(share - answer.mean) - answer.deviation);
  answer.mean += weight * (share - answer.mean);
  answer.samples += 1;
}

/** Adds how long a decode place was held. */
export function addHoldSample(estimates: PoolEstimates, heldMs: number): void {
  const { hold } = estimates;
  hold.meanMs += getSampleWeight(hold.samples) * (Math.max(1, heldMs) - hold.meanMs);
  hold.samples += 1;
}
