/** A ring buffer of time buckets of equal length, each with a few counters. */

/** A ring buffer of counters. Times are milliseconds since the epoch. */
export type BucketRing = {
  readonly bucketMs: number;
  readonly bucketCount: number;
  readonly countersPerBucket: number;
  /** `countersPerBucket` counters for each bucket, bucket after bucket. */
  readonly counts: Uint32Array;
  /** Index of the newest bucket; bucket 0 starts at the epoch. */
  newestIndex: number;
};

/** Start time and counters of one bucket that is not empty. */
export type FilledBucket = { readonly startAt: number; readonly counts: readonly number[] };

/** Makes an empty ring. */
export function makeBucketRing(
  bucketMs: number,
  bucketCount: number,
  countersPerBucket: number,
): BucketRing {
  return {
    bucketMs,
    bucketCount,
    countersPerBucket,
    counts: new Uint32Array(bucketCount * countersPerBucket),
    newestIndex: 0,
  };
}

function getOffset(ring: BucketRing, index: number): number {
  return (index % ring.bucketCount) * ring.countersPerBucket;
}

/** Makes `index` the newest bucket, and clears the buckets that are reused on the way to it. */
function clearUpTo(ring: BucketRing, index: number): void {
  if (index <= ring.newestIndex) return;
  const firstIndex = Math.max(ring.newestIndex + 1, index - ring.bucketCount + 1);
  for (let clearedIndex = firstIndex; clearedIndex <= index; clearedIndex += 1) {
    const offset = getOffset(ring, clearedIndex);
    ring.counts.fill(0, offset, offset + ring.countersPerBucket);
  }
  ring.newestIndex = index;
}

/** Adds one to a counter of the bucket that holds `now`; ignores a time older than the ring. */
export function addToRing(ring: BucketRing, counter: number, now: number): void {
  const index = Math.floor(now / ring.bucketMs);
  clearUpTo(ring, index);
  if (index <= ring.newestIndex - ring.bucketCount) return;
  const position = getOffset(ring, index) + counter;
  ring.counts[position] = (ring.counts[position] ?? 0) + 1;
}

/** Sums each counter over the window that ends at `now`; counts the oldest bucket in full. */
export function countWindow(ring: BucketRing, windowMs: number, now: number): number[] {
  const currentIndex = Math.floor(now / ring.bucketMs);
  const precedingBuckets = Math.min(ring.bucketCount - 1, Math.ceil(windowMs / ring.bucketMs));
  const sums = Array<number>(ring.countersPerBucket).fill(0);
  const oldestIndex = Math.max(
    currentIndex - precedingBuckets,
    ring.newestIndex - ring.bucketCount + 1,
  );
  for (let index = oldestIndex; index <= Math.min(currentIndex, ring.newestIndex); index += 1) {
    const offset = getOffset(ring, index);
    for (let counter = 0; counter < ring.countersPerBucket; counter += 1) {
      sums[counter] = (sums[counter] ?? 0) + (ring.counts[offset + counter] ?? 0);
    }
  }
  return sums;
}

/** Lists the buckets that are not empty, oldest first. */
export function listFilledBuckets(ring: BucketRing, now: number): FilledBucket[] {
  const currentIndex = Math.floor(now / ring.bucketMs);
  const filled: FilledBucket[] = [];
  const oldestIndex = Math.max(currentIndex, ring.newestIndex) - ring.bucketCount + 1;
  for (let index = oldestIndex; index <= ring.newestIndex; index += 1) {
    const offset = getOffset(ring, index);
    const counts = [...ring.counts.subarray(offset, offset + ring.countersPerBucket)];
    if (counts.some((count) => count > 0)) {
      filled.push({ startAt: index * ring.bucketMs, counts });
    }
  }
  return filled;
}
