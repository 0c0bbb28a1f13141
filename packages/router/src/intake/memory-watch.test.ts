import { expect } from 'chai';
import { makeGarbageCollector, makeMemoryWatch, measureMemoryUse } from './memory-watch.js';

const MB = 1_048_576;

/** A process whose buffers stay until they are collected; some outlive a collection of young objects. */
function playBuffers(oldShare: number) {
  const memory = { usedBytes: 40 * MB, kept: 40 * MB, peak: 0 };
  const collections: string[] = [];
  const watch = makeMemoryWatch({
    getMemoryBytes: () => 160 * MB,
    measureUse: () => ({ residentBytes: 60 * MB + memory.usedBytes, usedBytes: memory.usedBytes }),
    collect: (kind) => {
      const garbage = memory.usedBytes - memory.kept;
      memory.usedBytes = memory.kept + (kind === 'young' ? garbage * oldShare : 0);
    },
    onCollected: (kind) => collections.push(kind),
  });
  const read = (bytes: number): void => {
    for (let left = bytes; left > 0; left -= 65_536) {
      memory.usedBytes += 65_536;
      memory.peak = Math.max(memory.peak, memory.usedBytes);
      watch.recordTaken(65_536);
    }
  };
  return { memory, collections, read };
}

// Guards against answers that are read and forwarded and whose buffers exceed the machine.
it('memory watch: however much is read, little of it waits to be collected', () => {
  for (const oldShare of [0, 0.5, 1]) {
    const { memory, collections, read } = playBuffers(oldShare);
    read(1_000 * MB);
    expect(memory.peak, `${oldShare}`).to.be.below(65 * MB);
    // The first one finds out what is in use.
    const whole = collections.filter((kind) => kind === 'all').length;
    expect(whole > 1, `${oldShare}`).to.equal(oldShare === 1);
  }
});

// Guards against a collector that the runtime does not offer.
it('memory watch: the collector frees buffers that nobody uses', () => {
  const collect = makeGarbageCollector();
  collect('all');
  const before = measureMemoryUse().usedBytes;
  let buffers: Buffer[] = Array.from({ length: 100 }, () => Buffer.alloc(200_000));
  expect(measureMemoryUse().usedBytes - before).to.be.greaterThan(buffers.length * 100_000);
  buffers = [];
  collect('young');
  collect('all');
  expect(measureMemoryUse().usedBytes - before).to.be.below(5_000_000);
});
