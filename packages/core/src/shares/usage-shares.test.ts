import { expect } from 'chai';
import {
  addUsage,
  makeUsageShares,
  measureOveruse,
  measureUsage,
  removeIdleUsers,
} from './usage-shares.js';

it('shares: usage halves in each half-life, and no less than zero is left when more is given back', () => {
  const shares = makeUsageShares<string>(1_000);
  addUsage(shares, 'a', 800, 0);
  expect(measureUsage(shares, 'a', 2_000)).to.be.closeTo(200, 0.001);
  addUsage(shares, 'a', -500, 2_000);
  expect(measureUsage(shares, 'a', 2_000)).to.equal(0);
  expect(measureUsage(shares, 'unknown', 2_000)).to.equal(0);
});

it('shares: overuse is what a user has used beyond an equal share; one that has used nothing has the least', () => {
  const shares = makeUsageShares<string>(1_000);
  addUsage(shares, 'a', 300, 0);
  addUsage(shares, 'b', 100, 0);
  expect(measureOveruse(shares, 'a', 0)).to.equal(100);
  expect(measureOveruse(shares, 'b', 0)).to.equal(-100);
  expect(measureOveruse(shares, 'c', 0)).to.equal(-400);
});

it('shares: users that have not used anything for a long time are not kept', () => {
  const shares = makeUsageShares<string>(1_000);
  addUsage(shares, 'a', 300, 0);
  addUsage(shares, 'b', 300, 20_000);
  removeIdleUsers(shares, 20_000);
  expect([...shares.usages.keys()]).to.deep.equal(['b']);
});
