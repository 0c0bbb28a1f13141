import { makeByteCollector } from '@tarragonspool/core';
import { expect } from 'chai';
import { findExcess } from './size-limit.js';

const MAX_BYTES = 4_000_000;

function findFirstExcess(pieceBytes: number): [string | undefined, number] {
  const collected = makeByteCollector();
  const piece = Buffer.alloc(pieceBytes);
  while (collected.countBytes() < 2 * MAX_BYTES) {
    collected.append(piece);
    const excess = findExcess(collected, MAX_BYTES);
    if (excess !== undefined) return [excess, collected.countBytes()];
  }
  return [undefined, collected.countBytes()];
}

it('size limit: a body within its limit is taken in pieces of 64 bytes or more', () => {
  for (const pieceBytes of [64, 1_000, 65_536, MAX_BYTES]) {
    const [excess, bytes] = findFirstExcess(pieceBytes);
    expect(excess).to.equal('content');
    expect(bytes)
      .to.be.above(MAX_BYTES)
      .and.at.most(MAX_BYTES + pieceBytes);
  }
});

// Guards against a body in one-byte pieces that takes the time of millions of them.
it('size limit: a body in pieces of one byte ends long before its bytes reach the limit', () => {
  const [excess, bytes] = findFirstExcess(1);
  expect(excess).to.equal('pieces');
  expect(bytes).to.be.below(150_000);
});
