import { expect } from 'chai';
import { chooseCollection } from './memory-pressure.js';

const MB = 1_048_576;
const BOUNDS = { memoryBytes: 160 * MB, keptBytes: 40 * MB };

// Guards against collections that cost processor time on a machine with room.
it('memory pressure: below three fifths of the machine nothing is collected', () => {
  const use = { residentBytes: 95 * MB, usedBytes: 90 * MB };
  expect(chooseCollection(use, BOUNDS, false)).to.equal('none');
});

// Guards against buffers that nobody uses any more and that exceed a small machine.
it('memory pressure: what has come since the latest collection is collected, young objects first', () => {
  const use = { residentBytes: 120 * MB, usedBytes: 51 * MB };
  expect(chooseCollection(use, BOUNDS, false)).to.equal('young');
  expect(chooseCollection(use, BOUNDS, true)).to.equal('all');
});

// Guards against collections one after the other where all that is kept is in use.
it('memory pressure: what was kept by the latest collection asks for no other one', () => {
  const use = { residentBytes: 159 * MB, usedBytes: 49 * MB };
  expect(chooseCollection(use, BOUNDS, false)).to.equal('none');
});
