/** Decides how many bytes a machine may hold for requests, by its memory and by what the operator allows of one request. */

const BYTES_PER_MB = 1_048_576;
/**
 * Each kind may take this share: bodies, answers, heads, bytes that wait to be parsed. Each byte is copied about twice
 * on its way, and the program itself needs a third of the memory of a small machine.
 */
const KIND_MEMORY_SHARE = 1 / 32;
/** A small machine may hold so much of each kind if a single request needs it. */
const MAX_KIND_MEMORY_SHARE = 1 / 16;
/** Kept free of larger bodies, so that these do not keep ordinary requests out. */
const SMALL_BODIES_MEMORY_SHARE = 1 / 256;
/** Bodies of the largest size that are held at once, as far as the larger share allows. */
const LARGEST_BODIES = 2;

/** What a machine may hold. */
export type HeldLimits = {
  /** Bodies that are being read, or whose requests are under way. */
  readonly bodyBytes: number;
  /** What small bodies may take beyond that. */
  readonly smallBodyBytes: number;
  /** Bodies, answers and events together. */
  readonly allBytes: number;
  /** Heads of requests, from their first byte until their answers end. */
  readonly headBytes: number;
  /** What was read of connections and waits to be parsed. */
  readonly unparsedBytes: number;
};

/** What the largest requests need. */
export type LargestRequest = {
  /** The operator's limit. */
  readonly maxBodyBytes: number;
  readonly maxAnswerBytes: number;
};

function computeKindLimit(memoryBytes: number, neededBytes: number): number {
  const extendedBytes = Math.min(neededBytes, memoryBytes * MAX_KIND_MEMORY_SHARE);
  return Math.max(memoryBytes * KIND_MEMORY_SHARE, extendedBytes);
}

/** Computes the limits of a machine with so much memory. */
export function computeHeldLimits(
  memoryMb: number,
  { maxBodyBytes, maxAnswerBytes }: LargestRequest,
): HeldLimits {
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const bodyBytes = computeKindLimit(memoryBytes, LARGEST_BODIES * maxBodyBytes);
  const shareBytes = memoryBytes * KIND_MEMORY_SHARE;
  return {
    bodyBytes,
    smallBodyBytes: memoryBytes * SMALL_BODIES_MEMORY_SHARE,
    allBytes: bodyBytes + computeKindLimit(memoryBytes, maxAnswerBytes),
    headBytes: shareBytes,
    unparsedBytes: shareBytes,
  };
}
