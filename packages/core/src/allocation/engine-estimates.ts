/**
 * Estimates the speeds of a pool of engines from completed attempts. Durations are milliseconds.
 */

/** A moving average of a rate. */
export type RateEstimate = {
  tokensPerMs: number;
  peakTokensPerMs: number;
  samples: number;
  sampledAt: number;
};

/**
 * Sums for a least squares fit, with exponential decay, of the decode step time over the batch
 * size.
 */
export type StepEstimate = {
  samples: number;
  weight: number;
  sumBatch: number;
  sumMs: number;
  sumBatchBatch: number;
  sumBatchMs: number;
};

/** All estimates of one pool. */
export type PoolEstimates = {
  readonly prefill: RateEstimate;
  readonly link: RateEstimate;
  readonly step: StepEstimate;
  /** Share of the allowed tokens that answers use: mean and mean deviation. */
  readonly answer: { mean: number; deviation: number; samples: number };
  /** Time that an attempt occupies its decode slot. */
  readonly slotOccupancy: { meanMs: number; samples: number };
  /** Tokens that fit into one piece of engine memory; zero until known. */
  tokensPerPiece: number;
};

/** Time from a grant until the engine starts the work. */
export const DISPATCH_MS = 3;
/** Fixed time of every prefill and import, in addition to the time per token. */
export const FIXED_OVERHEAD_MS = 4;
/** Requests are refused on the basis of an estimate only once it has this many samples. */
export const MIN_SAMPLES_TO_REFUSE = 5;

const PREFILL_PRIOR_TOKENS_PER_MS = 20;
const LINK_PRIOR_TOKENS_PER_MS = 80;
const BASE_STEP_PRIOR_MS = 20;
const STEP_PER_STREAM_PRIOR_MS = 1;
const MIN_SAMPLE_WEIGHT = 0.1;
const MAX_SAMPLE_FACTOR = 3;
const RATE_DOUBLING_MS = 1_000;
const STEP_DECAY_PER_SAMPLE = 0.995;
const MIN_STEP_MS = 1;
const SLOT_OCCUPANCY_PRIOR_MS = 2_000;
const ANSWER_DEVIATIONS = 2;

/** Adds the time of one decode step at a batch size. */
export function addStepSample(estimates: PoolEstimates, batch: number, ms: number): void {
  const { step } = estimates;
  step.weight = step.weight * STEP_DECAY_PER_SAMPLE + 1;
  step.sumBatch = step.sumBatch * STEP_DECAY_PER_SAMPLE + batch;
  step.sumMs = step.sumMs * STEP_DECAY_PER_SAMPLE + ms;
  step.sumBatchBatch = step.sumBatchBatch * STEP_DECAY_PER_SAMPLE + batch * batch;
  step.sumBatchMs = step.sumBatchMs * STEP_DECAY_PER_SAMPLE + batch * ms;
  step.samples += 1;
}

function makeRateEstimate(tokensPerMs: number): RateEstimate {
  return { tokensPerMs, peakTokensPerMs: tokensPerMs, samples: 0, sampledAt: 0 };
}

/** Makes estimates that hold the priors only. */
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
    prefill: makeRateEstimate(PREFILL_PRIOR_TOKENS_PER_MS),
    link: makeRateEstimate(LINK_PRIOR_TOKENS_PER_MS),
    step,
    answer: { mean: 1, deviation: 0, samples: 0 },
    slotOccupancy: { meanMs: SLOT_OCCUPANCY_PRIOR_MS, samples: 0 },
    tokensPerPiece: 0,
  };
  for (const batch of [1, 20]) {
    addStepSample(estimates, batch, BASE_STEP_PRIOR_MS + STEP_PER_STREAM_PRIOR_MS * batch);
  }
  step.samples = 0;
  return estimates;
}

function getSampleWeight(samples: number): number {
  return Math.max(MIN_SAMPLE_WEIGHT, 1 / (samples + 1));
}

/**
 * Adds a measured rate, bounded to a multiple of the estimate so that outliers have a limited
 * effect.
 */
export function addRateSample(rate: RateEstimate, tokensPerMs: number, now: number): void {
  if (!(tokensPerMs > 0) || !Number.isFinite(tokensPerMs)) return;
  const isFirst = rate.samples === 0;
  const boundedTokensPerMs = isFirst
    ? tokensPerMs
    : Math.min(
        rate.tokensPerMs * MAX_SAMPLE_FACTOR,
        Math.max(rate.tokensPerMs / MAX_SAMPLE_FACTOR, tokensPerMs),
      );
  // Averages the time per token, not the rate, because predictions need the mean time.
  const msPerToken = 1 / rate.tokensPerMs;
  const weight = getSampleWeight(rate.samples);
  rate.tokensPerMs = 1 / (msPerToken + weight * (1 / boundedTokensPerMs - msPerToken));
  const peakTokensPerMs = isFirst
    ? rate.tokensPerMs
    : Math.max(rate.peakTokensPerMs, rate.tokensPerMs);
  rate.peakTokensPerMs = peakTokensPerMs;
  rate.samples += 1;
  rate.sampledAt = now;
}

/**
 * Returns the rate in tokens per millisecond. Without new samples it rises towards the peak: a pool
 * that is estimated too slow for every request would otherwise get no requests and never be
 * measured again.
 */
export function getRate(rate: RateEstimate, now: number): number {
  const idleMs = now - rate.sampledAt;
  if (rate.samples === 0 || idleMs <= RATE_DOUBLING_MS) return rate.tokensPerMs;
  const recoveredTokensPerMs = rate.tokensPerMs * 2 ** (idleMs / RATE_DOUBLING_MS - 1);
  return Math.min(rate.peakTokensPerMs, recoveredTokensPerMs);
}

/** Decode step time as a linear function of the batch size. */
export type StepLine = { readonly baseMs: number; readonly perStreamMs: number };

/** Fits the step time from the samples of the whole pool. */
export function makeStepLine({ step }: PoolEstimates): StepLine {
  const meanMs = step.sumMs / step.weight;
  const meanBatch = step.sumBatch / step.weight;
  const variance = step.sumBatchBatch / step.weight - meanBatch * meanBatch;
  if (variance < 1) return { baseMs: meanMs, perStreamMs: 0 };
  const covariance = step.sumBatchMs / step.weight - meanBatch * meanMs;
  const perStreamMs = Math.max(0, covariance / variance);
  return { baseMs: meanMs - perStreamMs * meanBatch, perStreamMs };
}

/** Returns the step time (ms) at a batch size. */
export function getStepMs({ baseMs, perStreamMs }: StepLine, batch: number): number {
  return Math.max(MIN_STEP_MS, baseMs + perStreamMs * batch);
}

/** Predicts the time (ms) of one decode step at a batch size, at the average speed of the pool. */
export function predictStepMs(estimates: PoolEstimates, batch: number): number {
  return getStepMs(makeStepLine(estimates), batch);
}

/** Predicts the time (ms) of a prefill at the average speed of the pool. */
export function predictPrefillMs(estimates: PoolEstimates, tokens: number, now: number): number {
  return FIXED_OVERHEAD_MS + tokens / getRate(estimates.prefill, now);
}

/** Predicts the time (ms) of a KV cache import over an idle link. */
export function predictImportMs(estimates: PoolEstimates, tokens: number, now: number): number {
  return FIXED_OVERHEAD_MS + tokens / getRate(estimates.link, now);
}

/** Predicts the tokens of an answer: the mean plus a safety margin, at most `maxTokens`. */
export function predictAnswerTokens({ answer }: PoolEstimates, maxTokens: number): number {
  const share = answer.mean + ANSWER_DEVIATIONS * answer.deviation;
  return Math.max(1, Math.min(1, share) * maxTokens);
}

/** Adds the length of a complete answer. */
export function addAnswerSample(estimates: PoolEstimates, tokens: number, maxTokens: number): void {
  const { answer } = estimates;
  const share = Math.min(1, tokens / Math.max(1, maxTokens));
  const weight = getSampleWeight(answer.samples);
  answer.deviation += weight * (Math.abs(share - answer.mean) - answer.deviation);
  answer.mean += weight * (share - answer.mean);
  answer.samples += 1;
}

/** Adds the time (ms) that a decode slot was occupied. */
export function addSlotOccupancySample(estimates: PoolEstimates, occupiedMs: number): void {
  const { slotOccupancy } = estimates;
  slotOccupancy.meanMs +=
    getSampleWeight(slotOccupancy.samples) * (Math.max(1, occupiedMs) - slotOccupancy.meanMs);
  slotOccupancy.samples += 1;
}
