import { expect } from 'chai';
import { computeHeldLimits } from './memory-budget.js';

const MB = 1_048_576;
const LARGEST = { maxBodyBytes: 4 * MB, maxAnswerBytes: 4 * MB };

// Guards against a body within the operator's limit that a small machine can never hold.
it('memory budget: the largest body and the largest answer fit on small machines, two such bodies on larger ones', () => {
  const twin = computeHeldLimits(88, LARGEST);
  expect(twin.bodyBytes).to.be.within(4 * MB, 8 * MB);
  expect(twin.allBytes - twin.bodyBytes).to.be.at.least(4 * MB);
  for (const memoryMb of [178, 200, 350]) {
    const { bodyBytes, allBytes } = computeHeldLimits(memoryMb, LARGEST);
    expect(bodyBytes, `${memoryMb} MB`).to.be.at.least(8 * MB);
    expect(allBytes - bodyBytes, `${memoryMb} MB`).to.be.at.least(4 * MB);
  }
});

// Guards against an operator's limit that lets callers take the whole machine.
it('memory budget: whatever the operator allows, an eighth of the memory is held at most', () => {
  const { bodyBytes, allBytes } = computeHeldLimits(200, {
    maxBodyBytes: 1_000 * MB,
    maxAnswerBytes: 1_000 * MB,
  });
  expect(bodyBytes).to.equal(12.5 * MB);
  expect(allBytes).to.equal(25 * MB);
});

it('memory budget: machines with room for larger requests hold a sixteenth of their memory', () => {
  const { bodyBytes, allBytes } = computeHeldLimits(1_024, LARGEST);
  expect(bodyBytes).to.equal(32 * MB);
  expect(allBytes).to.equal(64 * MB);
});
