import {
  applyLeaseRow,
  chooseLeaseStep,
  makeOrderLease,
  type LeaseStep,
} from '@tarragonspool/core';
import type { StorePosition, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { decodeLeaseRow } from './lease-calls.js';

const LEASE_MS = 3_000;
/** More than the lease and what another VM waits beyond it. */
const OVER_MS = 5_001;
const STORE_NOW_MS = 1_000_000;
const SELF = 'vm-1' as VmId;
const position = 7 as StorePosition;

/** Reads a row twice, some time apart, and returns what may be done after each reading. */
function listSteps(value: Buffer, laterMs: number): LeaseStep['kind'][] {
  const lease = makeOrderLease();
  return [0, laterMs].map((now) => {
    const row = decodeLeaseRow({ key: 'llm', position, value }, STORE_NOW_MS + now);
    applyLeaseRow(lease, row, now);
    return chooseLeaseStep(lease, SELF, LEASE_MS, true, now).kind;
  });
}

const odd = fc.oneof(
  fc.uint8Array().map((bytes) => Buffer.from(bytes)),
  fc.json().map((json) => Buffer.from(json)),
  fc
    .constantFrom('1e300', '-1e300', '1e400', '"x"', 'null')
    .map((time) => Buffer.from(`{"holder":"vm-2","storeNowMs":${time}}`)),
);

// Guards against two VMs that give orders: another writer's row may lie over that of a VM which still holds the lease.
it('leases fuzz: an odd row lets no VM take the lease before a holder has stopped, and keeps it from nobody for ever', () => {
  fc.assert(
    fc.property(odd, (value) => {
      expect(listSteps(value, OVER_MS)).to.deep.equal(['wait', 'acquire']);
    }),
  );
});

it('leases: a row of a VM counts from the time that it names', () => {
  const build = (storeNowMs: number): Buffer =>
    Buffer.from(JSON.stringify({ holder: 'vm-2', storeNowMs }));
  expect(listSteps(build(STORE_NOW_MS - OVER_MS), 1)).to.deep.equal(['acquire', 'acquire']);
  expect(listSteps(build(STORE_NOW_MS), 1_000)).to.deep.equal(['wait', 'wait']);
});
