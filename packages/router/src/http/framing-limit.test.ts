import { expect } from 'chai';
import { isOverFramed } from './framing-limit.js';

/** Chunks of a body, with the bytes that frame each. */
function buildCounts(chunks: number, contentBytes: number): [number, number] {
  const framingBytes = contentBytes.toString(16).length + 4;
  return [chunks * (contentBytes + framingBytes), chunks * contentBytes];
}

it('framing limit: a million events of a stream in chunks of their own are within it', () => {
  expect(isOverFramed(...buildCounts(1_000_000, 40))).to.equal(false);
});

// Guards against bytes that show in no content, and so are never too many.
it('framing limit: chunks of a byte are over it within some ten thousand of them, and bare framing at once', () => {
  expect(isOverFramed(...buildCounts(30_000, 1))).to.equal(true);
  expect(isOverFramed(...buildCounts(5_000, 1))).to.equal(false);
  expect(isOverFramed(131_073, 0)).to.equal(true);
});
