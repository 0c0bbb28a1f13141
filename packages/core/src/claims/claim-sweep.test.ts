import { expect } from 'chai';
import { findSweepBucket, makeSweepWrites } from './claim-sweep.js';

function makeRow(key: string, expiresAt: number) {
  const times = { dispatchDeadline: 1, answerDeadline: 2, expiresAt };
  const value = JSON.stringify({
    token: 't',
    fingerprint: 'f',
    ...times,
    state: { kind: 'claimed' },
  });
  return { key, value, version: 7 };
}

it('claim sweep: deletes only rows that have expired, at the version seen', () => {
  const writes = makeSweepWrites([makeRow('old', 99), makeRow('new', 101)], 100);
  expect(writes).to.deep.equal([{ kind: 'delete', key: 'old', ifVersion: 7 }]);
});

it('claim sweep: a row that does not parse is kept', () => {
  expect(makeSweepWrites([{ key: 'k', value: '{', version: 1 }], 100)).to.deep.equal([]);
});

it('claim sweep: every bucket is swept within 25 hours', () => {
  const buckets = new Set<number>();
  for (let now = 0; now < 90_000_000; now += 21_000) buckets.add(findSweepBucket(4_096, now));
  expect(buckets.size).to.equal(4_096);
});
