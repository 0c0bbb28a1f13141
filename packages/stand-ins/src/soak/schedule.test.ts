import { expect } from 'chai';
import { makeRandom } from '../load/random.js';
import { FAULT_KINDS, makeSchedule } from './schedule.js';

const RUN_MS = 60_000;

it('soak schedule: a seed repeats it', () => {
  const one = makeSchedule(makeRandom(7), RUN_MS);
  expect(makeSchedule(makeRandom(7), RUN_MS)).to.deep.equal(one);
  expect(makeSchedule(makeRandom(8), RUN_MS)).to.not.deep.equal(one);
});

it('soak schedule: a minute has thirty faults, each kind alone and with another', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const faults = makeSchedule(makeRandom(seed), RUN_MS);
    expect(faults.length).to.be.at.least(30);
    const startsAt = (at: number): number => faults.filter((fault) => fault.at === at).length;
    for (const kind of FAULT_KINDS) {
      const starts = faults.filter((fault) => fault.kind === kind).map(({ at }) => startsAt(at));
      expect(starts, `${kind}, seed ${seed}`).to.include(1).and.to.include(2);
    }
  }
});
