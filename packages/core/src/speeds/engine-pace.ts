/**
 * Pace of decode engines, in milliseconds per token, by how full they are. All values are logarithms:
 * an engine is its pool's level, its own offset, and what it loses with each further fifth of its slots
 * in use. A Kalman filter per engine tells apart what is its speed and what is its load: the offset
 * follows a change of speed within a few answers, losses change slowly. A single odd answer moves both
 * little.
 */

/** Pace of all engines of a pool together. */
export type PoolPace = { level: number; count: number };

/** Pace of one engine relative to its pool. */
export type EnginePace = {
  /** The offset, then the losses. */
  readonly means: number[];
  readonly covariance: number[][];
  /** Mean offset over a long time, to which it returns without samples. */
  usualOffset: number;
  sampledAt: number;
  /** Direction of the last sample if it was far from what was expected, otherwise 0. */
  surprise: number;
};

/** A finished answer as a sample of its engine's pace. */
export type PaceSample = {
  readonly msPerToken: number;
  /** Mean share of the engine's slots that were in use meanwhile. */
  readonly usage: number;
  /** Variance of the logarithm of such samples at a constant pace. */
  readonly variance: number;
};

const LOSS_STEPS = 5;
const INITIAL_MS_PER_TOKEN = 0.6;
/** Variance of the offsets of engines that have not been measured: most are within a factor of 1.5. */
const OFFSET_VARIANCE = 0.15;
/** Variance of the loss over a fifth of the slots: few engines lose more than a third. */
const LOSS_VARIANCE = 0.1;
/** Increase of the uncertainty per millisecond: a speed may change at any time, a loss seldom. */
const OFFSET_DRIFT_PER_MS = 0.00002;
const LOSS_DRIFT_PER_MS = 0.000001;
/** An offset returns to the usual one in about this time if no answer ends. */
const RETURN_MS = 6_000;
/** Losses of an engine are forgotten in about this time, so that more answers are tried again. */
const LOSS_MEMORY_MS = 60_000;
/** Samples further off than this many standard deviations are odd, unless the next is too. */
const ODD_DEVIATIONS = 2.5;
const USUAL_WEIGHT = 0.05;
const POOL_WEIGHT = 0.02;
/** Samples that the initial level counts as. */
const PRIOR_SAMPLES = 8;

/** Makes the pace of a pool that has not seen any answer. */
export function makePoolPace(): PoolPace {
  return { level: Math.log(INITIAL_MS_PER_TOKEN), count: 0 };
}

/** Makes the pace of an engine that has not been measured. */
export function makeEnginePace(): EnginePace {
  const variances = [OFFSET_VARIANCE, ...Array.from({ length: LOSS_STEPS }, () => LOSS_VARIANCE)];
  const covariance = variances.map((variance, row) =>
    variances.map((_, column) => (row === column ? variance : 0)),
  );
  const means = variances.map(() => 0);
  return { means, covariance, usualOffset: 0, sampledAt: 0, surprise: 0 };
}

/** Returns the share of a fifth of the slots that is in use at a usage. */
function getStepShare(usage: number, step: number): number {
  return Math.min(1, Math.max(0, usage * LOSS_STEPS - step));
}

/** Returns the weight of the offset and of each loss at a usage. */
function buildWeights(usage: number): number[] {
  const weights = [1];
  for (let step = 0; step < LOSS_STEPS; step += 1) weights.push(getStepShare(usage, step));
  return weights;
}

function computeOffset({ means, usualOffset, sampledAt }: EnginePace, now: number): number {
  const kept = Math.exp(-Math.max(0, now - sampledAt) / RETURN_MS);
  return usualOffset + kept * ((means[0] ?? 0) - usualOffset);
}

/** Predicts the milliseconds per token of an engine of whose slots this share is in use. */
export function predictMsPerToken(
  pool: PoolPace,
  engine: EnginePace,
  usage: number,
  now: number,
): number {
  let sum = pool.level + computeOffset(engine, now);
  for (let step = 0; step < LOSS_STEPS; step += 1) {
    // An engine does not become faster by more answers.
    sum += getStepShare(usage, step) * Math.max(0, engine.means[step + 1] ?? 0);
  }
  return Math.exp(sum);
}

/** Returns the pace of an engine relative to its pool: 2 if it takes twice as long. */
export function measureEngineSlowness(engine: EnginePace, now: number): number {
  return Math.exp(computeOffset(engine, now));
}

/** Moves an estimate on to a time: offset and losses return, and become less certain. */
function updateToTime(engine: EnginePace, now: number): void {
  const { means, covariance } = engine;
  const elapsedMs = Math.max(0, now - engine.sampledAt);
  const kept = Math.exp(-elapsedMs / LOSS_MEMORY_MS);
  for (const [index, mean] of means.entries()) {
    means[index] = index === 0 ? computeOffset(engine, now) : kept * mean;
    const row = covariance[index] ?? [];
    const [drift, limit] =
      index === 0 ? [OFFSET_DRIFT_PER_MS, OFFSET_VARIANCE] : [LOSS_DRIFT_PER_MS, LOSS_VARIANCE];
    const variance = row[index] ?? 0;
    if (variance < limit) row[index] = Math.min(limit, variance + drift * elapsedMs);
  }
  engine.sampledAt = now;
}

/** Adds the difference of a sample to the offset and the losses, as far as each is uncertain. */
function addDifference(
  { means, covariance }: EnginePace,
  weights: readonly number[],
  spreads: readonly number[],
  difference: number,
  total: number,
): void {
  for (const [index, spread] of spreads.entries()) {
    means[index] = (means[index] ?? 0) + (spread / total) * difference;
    const row = covariance[index] ?? [];
    for (const column of weights.keys()) {
      row[column] = (row[column] ?? 0) - (spread * (spreads[column] ?? 0)) / total;
    }
  }
}

function computeSpreads({ covariance }: EnginePace, weights: readonly number[]): number[] {
  return covariance.map((row) =>
    row.reduce((sum, value, column) => sum + value * (weights[column] ?? 0), 0),
  );
}

function multiply(one: readonly number[], other: readonly number[]): number {
  return one.reduce((sum, value, index) => sum + value * (other[index] ?? 0), 0);
}

/** Lets the pool follow what its engines have in common. */
function updatePool(pool: PoolPace, engine: EnginePace): void {
  const { means } = engine;
  pool.count += 1;
  const weight = Math.max(POOL_WEIGHT, 1 / (PRIOR_SAMPLES + pool.count));
  const shift = weight * (means[0] ?? 0);
  means[0] = (means[0] ?? 0) - shift;
  engine.usualOffset -= shift;
  pool.level += shift;
}

/** Records a finished answer of an engine. */
export function recordPace(
  pool: PoolPace,
  engine: EnginePace,
  { msPerToken, usage, variance }: PaceSample,
  now: number,
): void {
  if (!(msPerToken > 0)) return;
  updateToTime(engine, now);
  const weights = buildWeights(usage);
  const expected = pool.level + multiply(engine.means, weights);
  const seen = Math.log(msPerToken) - expected;
  let spreads = computeSpreads(engine, weights);
  const deviation = Math.sqrt(multiply(spreads, weights) + variance);
  const limit = ODD_DEVIATIONS * deviation;
  const direction = Math.abs(seen) > limit ? Math.sign(seen) : 0;
  const hasChanged = direction !== 0 && engine.surprise === direction;
  if (hasChanged) {
    // A second odd sample in the same direction shows a change, of the speed rather than of a loss.
    for (const [index, row] of engine.covariance.entries()) {
      row[index] =
        (row[index] ?? 0) + (weights[index] ?? 0) * seen ** 2 * (index === 0 ? 0.5 : 0.1);
    }
    spreads = computeSpreads(engine, weights);
  }
  engine.surprise = direction;
  const difference = hasChanged ? seen : Math.min(limit, Math.max(-limit, seen));
  addDifference(engine, weights, spreads, difference, multiply(spreads, weights) + variance);
  engine.usualOffset += USUAL_WEIGHT * ((engine.means[0] ?? 0) - engine.usualOffset);
  updatePool(pool, engine);
}

/** Tokens per second have fallen for certain below this share of the highest. */
const FALLEN_SHARE = 0.9;
/**
 * They have to exceed the earlier highest by this factor before an engine gets the answers beyond a fall:
 * each of them would take much longer.
 */
const WORTH_FACTOR = 1.25;

/**
 * Returns how many answers an engine handles well: beyond it, one more would make it generate fewer
 * tokens in all, or make a token take longer than `maxMsPerToken`.
 */
export function countHandledAnswers(
  pool: PoolPace,
  engine: EnginePace,
  slots: number,
  maxMsPerToken: number,
  now: number,
): number {
  let best = 1;
  let bestRate = 0;
  let hasFallen = false;
  for (let running = 1; running <= slots; running += 1) {
    const msPerToken = predictMsPerToken(pool, engine, running / slots, now);
    if (running > 1 && msPerToken > maxMsPerToken) break;
    const rate = running / msPerToken;
    hasFallen ||= rate < FALLEN_SHARE * bestRate;
    if (rate <= bestRate * (hasFallen ? WORTH_FACTOR : 1)) continue;
    best = running;
    bestRate = rate;
    hasFallen = false;
  }
  return best;
}
