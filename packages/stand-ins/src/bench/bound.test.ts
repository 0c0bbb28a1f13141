import { expect } from 'chai';
import fc from 'fast-check';
import { countMostInTime, type Job } from './bound.js';

function isFeasible(jobs: readonly Job[]): boolean {
  let end = 0;
  for (const { release, deadline, work } of jobs) {
    end = Math.max(end, release) + work;
    if (end > deadline) return false;
  }
  return true;
}

function countByTrial(jobs: readonly Job[]): number {
  let most = 0;
  for (let subset = 0; subset < 2 ** jobs.length; subset += 1) {
    const chosen = jobs.filter((_, index) => Math.floor(subset / 2 ** index) % 2 === 1);
    if (chosen.length > most && isFeasible(chosen)) most = chosen.length;
  }
  return most;
}

const jobsOfEqualSlack = fc
  .tuple(
    fc.integer({ min: 1, max: 30 }),
    fc.array(fc.tuple(fc.nat(15), fc.integer({ min: 1, max: 20 })), { maxLength: 9 }),
  )
  .map(([slack, pairs]) => {
    let release = 0;
    return pairs.map(([gap, work]): Job => {
      release += gap;
      return { release, deadline: release + slack, work };
    });
  });

it('bound: counts as many jobs as trying every subset does', () => {
  fc.assert(
    fc.property(jobsOfEqualSlack, (jobs) => {
      expect(countMostInTime(jobs)).to.equal(countByTrial(jobs));
    }),
  );
});
