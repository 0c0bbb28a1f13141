import fc from 'fast-check';
import { expect } from 'chai';
import { addToRing, countWindow, listFilledBuckets, makeBucketRing } from './bucket-ring.js';

const BUCKET_MS = 10;
const BUCKET_COUNT = 7;

/** Reference count over a plain list of times; leaves out times that are too old for the ring. */
function countByList(times: readonly number[], windowMs: number, now: number): number {
  const last = Math.floor(now / BUCKET_MS);
  const preceding = Math.min(BUCKET_COUNT - 1, Math.ceil(windowMs / BUCKET_MS));
  const newest = Math.max(0, ...times.map((time) => Math.floor(time / BUCKET_MS)));
  let count = 0;
  for (const time of times) {
    const index = Math.floor(time / BUCKET_MS);
    if (index >= last - preceding && index <= last && index > newest - BUCKET_COUNT) count += 1;
  }
  return count;
}

it('bucket ring: window counts match a count over a plain list of times', () => {
  const time = fc.integer({ min: 0, max: 400 });
  const window = fc.integer({ min: 1, max: 70 });
  fc.assert(
    fc.property(fc.array(time, { maxLength: 60 }), window, time, (times, windowMs, now) => {
      const ring = makeBucketRing(BUCKET_MS, BUCKET_COUNT, 1);
      for (const at of times) addToRing(ring, 0, at);
      expect(countWindow(ring, windowMs, now)).to.deep.equal([countByList(times, windowMs, now)]);
      let sum = 0;
      for (const { counts } of listFilledBuckets(ring, 0)) sum += counts[0] ?? 0;
      expect(sum).to.equal(
        countByList(times, BUCKET_COUNT * BUCKET_MS, ring.newestIndex * BUCKET_MS),
      );
    }),
  );
});
