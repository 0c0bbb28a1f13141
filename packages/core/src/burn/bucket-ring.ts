/** A ring of equal time buckets, each with a few counters. */

/** A ring. Times are milliseconds since the epoch. */
export type BucketRing = {
  readonly bucketMs: number;
  readonly buckets: number;
  readonly width: number;
  /** `width` counters for each bucket. */
  readonly counts: Uint32Array;
  /** Index of the newest bucket, counted from the epoch. */
  newest: number;
};

/** Counters of one bucket that is not empty. */
export type FilledBucket = { readonly startAt: number; readonly counts: readonly number[] };

/** Makes an empty ring. */
export function makeBucketRing(bucketMs: number, buckets: number, width: number): BucketRing {
  return { bucketMs, buckets, width, counts: new Uint32Array(buckets * width), newest: 0 };
}

function getOffset(ring: BucketRing, index: number): number {
  return (index % ring.buckets) * ring.width;
}

/** Empties the buckets that are reused between the newest one and `index`. */
function clearUpTo(ring: BucketRing, index: number): void {
  if (index <= ring.newest) return;
  const first = Math.max(ring.newest + 1, index - ring.buckets + 1);
  for (let cleared = first; cleared <= index; cleared += 1) {
    const offset = getOffset(ring, cleared);
    ring.counts.fill(0, offset, offset + ring.width);
  }
  ring.newest = index;
}

/** Adds one to a counter of the bucket that `now` falls into; too old a time is left out. */
export function addToRing(ring: BucketRing, counter: number, now: number): void {
  const index = Math.floor(now / ring.bucketMs);
  clearUpTo(ring, index);
  if (index <= ring.newest - ring.buckets) return;
  const position = getOffset(ring, index) + counter;
  ring.counts[position] = (ring.counts[position] ?? 0) + 1;
}

/** Sums each counter over the window that ends now; the oldest bucket is counted whole. */
export function countRing(ring: BucketRing, windowMs: number, now: number): number[] {
  const last = Math.floor(now / ring.bucketMs);
  const reach = Math.min(ring.buckets - 1, Math.ceil(windowMs / ring.bucketMs));
  const sums = Array<number>(ring.width).fill(0);
  const oldest = Math.max(last - reach, ring.newest - ring.buckets + 1);
  for (let index = oldest; index <= Math.min(last, ring.newest); index += 1) {
    const offset = getOffset(ring, index);
    for (let counter = 0; counter < ring.width; counter += 1) {
      sums[counter] = (sums[counter] ?? 0) + (ring.counts[offset + counter] ?? 0);
    }
  }
  return sums;
}

/** Lists the buckets that are not empty, oldest first. */
export function listFilledBuckets(ring: BucketRing, now: number): FilledBucket[] {
  const last = Math.floor(now / ring.bucketMs);
  const filled: FilledBucket[] = [];
  const oldest = Math.max(last, ring.newest) - ring.buckets + 1;
  for (let index = oldest; index <= ring.newest; index += 1) {
    const offset = getOffset(ring, index);
    const counts = [...ring.counts.subarray(offset, offset + ring.width)];
    if (counts.some((count) => count > 0)) {
      filled.push({ startAt: index * ring.bucketMs, counts });
    }
  }
  return filled;
}
