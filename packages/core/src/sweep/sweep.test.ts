import type { AttemptId, EngineHold, Incarnation, RequestId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { findOrphanedHolds } from './sweep.js';

const hold: EngineHold = {
  owner: {
    requestId: 'r1' as RequestId,
    attemptId: 'r1.1' as AttemptId,
    vmId: 'vm-1' as VmId,
    incarnation: 5 as Incarnation,
    deadline: 1_000,
  },
  kind: 'decode',
  pieces: 3,
};

function countOrphans(newest: number | undefined, hasEnded: boolean, now: number): number {
  const incarnations = new Map<VmId, Incarnation>();
  if (newest !== undefined) incarnations.set(hold.owner.vmId, newest as Incarnation);
  const ended = new Map<VmId, Incarnation>();
  if (hasEnded) ended.set(hold.owner.vmId, hold.owner.incarnation);
  return findOrphanedHolds([hold], { incarnations, ended }, now).length;
}

it('sweep: memory held for a silent VM is kept until its deadline', () => {
  expect(countOrphans(undefined, false, 999)).to.equal(0);
  expect(countOrphans(undefined, false, 1_000)).to.equal(1);
});

it('sweep: only a hold of an older incarnation is cancelled at once', () => {
  expect(countOrphans(6, false, 0)).to.equal(1);
  expect(countOrphans(5, false, 0)).to.equal(0);
  expect(countOrphans(4, false, 0)).to.equal(0);
});

it('sweep: a hold of an incarnation that has ended is cancelled at once', () => {
  expect(countOrphans(5, true, 0)).to.equal(1);
});
