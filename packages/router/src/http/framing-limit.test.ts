import { expect } from 'chai';
import { isOverFramed } from './framing-limit.js';

/** Chunks of a body, with the bytes that frame each. */
function buildCounts(chunks: number, contentBytes: number): [number, number] {
  const framingBytes = contentBytes.toString(16).length + 4;
  return [chunks * (contentBytes + framingBytes), chunks * contentBytes];
}

it('framing limit: a million events of a stream in chunks of their own are within it', () => {
  expect(isOverFramed(...buildCounts(1_000_000, 40), 0)).to.equal(false);
});

// Guards against bytes that show in no content, and so are never too many.
it('framing limit: chunks of a byte are over it within some ten thousand of them, and bare framing at once', () => {
  expect(isOverFramed(...buildCounts(30_000, 1), 0)).to.equal(true);
  expect(isOverFramed(...buildCounts(5_000, 1), 0)).to.equal(false);
  expect(isOverFramed(131_073, 0, 0)).to.equal(true);
});

// Guards against a long stream of a sound engine that is cut off because each of its lines is a chunk.
it('framing limit: a stream whose lines are chunks of their own is within it, event after event', () => {
  const eventsPerS = 100;
  for (let seconds = 1; seconds <= 600; seconds += 1) {
    const [readBytes, contentBytes] = buildCounts(3 * eventsPerS * seconds, 6);
    expect(isOverFramed(readBytes, contentBytes, seconds * 1_000)).to.equal(false);
  }
});
