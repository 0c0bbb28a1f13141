/**
 * What is known of one server of a plain service: how long it takes to answer a request alone, how much
 * slower it gets with each further one, and from these how many it handles well at a time. The time of
 * one alone follows answers within seconds; the slowdown is learned slowly, so that a server which is
 * slow at all loads for a while keeps its place among the others.
 */

/** What is known of one server. */
export type ServerCurve = {
  readonly slots: number;
  /** Time of an answer to a request alone, in milliseconds; 0 before the first answer. */
  aloneMs: number;
  /** Answer time with 1, 2, 3 and more requests at a time, relative to one alone. */
  readonly slowdown: number[];
  /** The same before anything was learned. */
  readonly assumed: readonly number[];
  /** Requests at a time at which it refused some as full; Infinity if it did not. */
  refusedAt: number;
  /** Requests at a time that it handles well. */
  handles: number;
};

/** What is known of a server before its first answer. */
export type CurveStart = {
  readonly handles: number;
  readonly inFlight: number;
  readonly answerMs: number;
};

/** Answers of a server within some time, and its mean number of requests in flight. */
export type AnswerSample = {
  readonly inFlight: number;
  readonly answers: number;
  /** Sum of their times. */
  readonly answerMs: number;
};

/** Keeps the list of slowdowns short where a server names many slots. */
const MAX_LEARNED = 256;
/** Answers after which half of a change of speed is followed: one slow spell is no change. */
const SPEED_ANSWERS = 40;
/** Least weight of answers in the speed, where a server is busy: they may be slow because of that. */
const LEAST_SPEED_WEIGHT = 0.3;
/** Weight of one answer in a slowdown. */
const SLOWDOWN_WEIGHT = 0.02;
/** A single sample moves a slowdown as if it differed by no more than this, so that spells count little. */
const MAX_SLOWDOWN_STEP = 0.5;
/** A sample counts at most as if the server were this much faster or slower than known. */
const MAX_SPEED_RATIO = 5;
/** Time in which what is not observed any more is forgotten: the server may have improved. */
const FORGET_MS = 60_000;
/**
 * Requests at a time are compared by throughput over this power of the slowdown: above 1, so that a
 * further request which only waits is no gain.
 */
const SLOWDOWN_POWER = 1.5;
/** Part of its way to the best number that `handles` goes with each update. */
const HANDLES_WEIGHT = 0.15;
/** A server that refuses gets this share of what it had when it refused. */
const REFUSED_SHARE = 0.85;
/** A server that has refused gets this many more requests at a time each second. */
const REGAINED_PER_S = 1;

/** Predicts the answer time with some requests at a time, relative to one alone. */
export function predictSlowdown({ slowdown }: ServerCurve, inFlight: number): number {
  const last = slowdown.length;
  const bounded = Math.min(last, Math.max(1, inFlight));
  const below = Math.floor(bounded);
  let least = 1;
  for (const value of slowdown.slice(0, below)) least = Math.max(least, value);
  const next = Math.max(least, slowdown[below] ?? least);
  const between = least + (bounded - below) * (next - least);
  return inFlight > last ? (between * inFlight) / last : between;
}

function listAssumed(count: number, handles: number): number[] {
  return Array.from({ length: count }, (_, index) => Math.max(1, (index + 1) / handles));
}

/** Makes the curve of a server with these slots; `start` is what another VM had learned of it. */
export function makeServerCurve(slots: number, start?: CurveStart): ServerCurve {
  const named = Math.max(1, slots);
  const handles = start === undefined ? named : Math.max(1, start.handles);
  const count = Math.min(MAX_LEARNED, named);
  const slowdown = listAssumed(count, handles);
  const assumed = listAssumed(count, named);
  const curve = { slots, aloneMs: 0, slowdown, assumed, refusedAt: Infinity, handles };
  if (start !== undefined) curve.aloneMs = start.answerMs / predictSlowdown(curve, start.inFlight);
  return curve;
}

/** Predicts the answer time with some requests at a time, in milliseconds; 0 if nothing is known. */
export function predictAnswerMs(curve: ServerCurve, inFlight: number): number {
  return curve.aloneMs * predictSlowdown(curve, inFlight);
}

/** Learns from answers. */
export function recordAnswers(curve: ServerCurve, sample: AnswerSample): void {
  const { inFlight, answers, answerMs } = sample;
  if (answers === 0) return;
  const meanMs = answerMs / answers;
  const expected = predictSlowdown(curve, inFlight);
  if (curve.aloneMs === 0) {
    curve.aloneMs = meanMs / expected;
    return;
  }
  const known = curve.aloneMs * expected;
  const ratio = Math.min(MAX_SPEED_RATIO, Math.max(1 / MAX_SPEED_RATIO, meanMs / known));
  const index = Math.min(curve.slowdown.length, Math.max(1, Math.round(inFlight))) - 1;
  const slowdown = curve.slowdown[index] ?? 1;
  // The slowdown of one alone is 1.
  if (index > 0) {
    const step = Math.min(MAX_SLOWDOWN_STEP, Math.max(-MAX_SLOWDOWN_STEP, (ratio - 1) * slowdown));
    const weight = Math.min(0.5, answers * SLOWDOWN_WEIGHT);
    curve.slowdown[index] = Math.max(1, slowdown + weight * step);
  }
  const busy = Math.min(1, (inFlight - 1) / curve.slots);
  const speedAnswers = SPEED_ANSWERS / Math.max(LEAST_SPEED_WEIGHT, 1 - busy);
  curve.aloneMs *= 1 + (answers / (answers + speedAnswers)) * (ratio - 1);
}

/** Records that a server refused requests as full. */
export function recordRefusals(curve: ServerCurve, inFlight: number): void {
  curve.refusedAt = Math.min(curve.refusedAt, Math.max(1, REFUSED_SHARE * inFlight));
}

function findBest(curve: ServerCurve): number {
  let best = 1;
  let bestValue = 0;
  for (let count = 1; count <= Math.max(1, curve.slots); count += 1) {
    const value = count / predictSlowdown(curve, count) ** SLOWDOWN_POWER;
    if (value <= bestValue) continue;
    best = count;
    bestValue = value;
  }
  return best;
}

/** Updates how many requests at a time a server handles well, after some time. */
export function updateHandles(curve: ServerCurve, elapsedMs: number): void {
  const forgotten = Math.min(1, elapsedMs / FORGET_MS);
  for (const [index, value] of curve.slowdown.entries()) {
    curve.slowdown[index] = value + forgotten * ((curve.assumed[index] ?? 1) - value);
  }
  curve.refusedAt += (REGAINED_PER_S * elapsedMs) / 1_000;
  const best = findBest(curve);
  if (curve.refusedAt > best) curve.refusedAt = Infinity;
  curve.handles += HANDLES_WEIGHT * (best - curve.handles);
  curve.handles = Math.max(1, Math.min(curve.handles, curve.refusedAt));
}
