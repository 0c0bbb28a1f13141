/**
 * How long answers occupy their slots, relative to what was expected when the slot was granted. The
 * expected ends are often wrong in both directions, so the forecast of free slots uses how recent
 * answers were spread around theirs: an answer may end early, and one that outlasts its expected end
 * is likely to end as others did that had outlasted theirs.
 */

/** Weights of recent answers by the ratio of their actual to their expected duration. */
export type EndRatios = {
  readonly weights: Float64Array;
  /** Sum of the weights of this and all later bins. */
  readonly sums: Float64Array;
};

/** Width of a bin, as a ratio, and number of bins: longer answers count in the last one. */
const BIN_WIDTH = 0.05;
const BIN_COUNT = 60;
/** Weight of the first assumption, in answers: all last as long as expected. */
const PRIOR_ANSWERS = 4;
/** Factor on the earlier weights at each new answer; about 150 answers count. */
const DECAY = 0.993;
/** With less weight than this, too few answers have lasted so long to tell when they end. */
const MIN_WEIGHT = 0.5;
/** Such an answer is expected to end within this share of the time that it has lasted so far. */
const UNKNOWN_END_SHARE = 0.4;
/** Parts in which the end of such an answer is spread over that time. */
const UNKNOWN_END_PARTS = 4;

function sumWeights({ weights, sums }: EndRatios): void {
  let sum = 0;
  for (let bin = BIN_COUNT - 1; bin >= 0; bin -= 1) {
    sum += weights[bin] ?? 0;
    sums[bin] = sum;
  }
}

/** Makes ratios that assume that answers end when expected. */
export function makeEndRatios(): EndRatios {
  const ratios = { weights: new Float64Array(BIN_COUNT), sums: new Float64Array(BIN_COUNT) };
  const expectedBin = Math.round(1 / BIN_WIDTH);
  ratios.weights[expectedBin - 1] = PRIOR_ANSWERS / 2;
  ratios.weights[expectedBin] = PRIOR_ANSWERS / 2;
  sumWeights(ratios);
  return ratios;
}

/** Records a completed answer. */
export function recordEndRatio(ratios: EndRatios, actualMs: number, expectedMs: number): void {
  const ratio = actualMs / Math.max(1, expectedMs);
  const ownBin = Math.min(BIN_COUNT - 1, Math.max(0, Math.floor(ratio / BIN_WIDTH)));
  for (let bin = 0; bin < BIN_COUNT; bin += 1) {
    ratios.weights[bin] = DECAY * (ratios.weights[bin] ?? 0) + (bin === ownBin ? 1 : 0);
  }
  sumWeights(ratios);
}

/** A running answer. */
type RunningAnswer = { readonly grantedAt: number; readonly expectedEndAt: number };

/** Calls `onShare` with each time at which an answer may end and the probability of it. */
export function listEndTimes(
  { weights, sums }: EndRatios,
  { grantedAt, expectedEndAt }: RunningAnswer,
  now: number,
  onShare: (at: number, probability: number) => void,
): void {
  const expectedMs = Math.max(1, expectedEndAt - grantedAt);
  const ageMs = now - grantedAt;
  const firstBin = Math.max(0, Math.ceil(ageMs / expectedMs / BIN_WIDTH - 0.5));
  const total = sums[firstBin] ?? 0;
  if (total < MIN_WEIGHT) {
    const partMs = (UNKNOWN_END_SHARE * ageMs) / UNKNOWN_END_PARTS;
    for (let part = 1; part <= UNKNOWN_END_PARTS; part += 1) {
      onShare(now + part * partMs, 1 / UNKNOWN_END_PARTS);
    }
    return;
  }
  for (let bin = firstBin; bin < BIN_COUNT; bin += 1) {
    const weight = weights[bin] ?? 0;
    if (weight > 0) onShare(grantedAt + (bin + 0.5) * BIN_WIDTH * expectedMs, weight / total);
  }
}
