import type { DataCentre, ServiceName, SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { listUsableUpstreams } from './send-clearance.js';
import {
  applyUpstreamChanges,
  dropLapsed,
  GRACE_PERIOD_MS,
  makeUpstreamList,
  startGracePeriod,
  type UpstreamChange,
} from './upstream-list.js';

const SERVICE = 'one' as ServiceName;
const ID = 'a' as UpstreamId;

function buildChange(isLeaving = false, incarnation = 1): UpstreamChange {
  const record = {
    upstreamId: ID,
    service: SERVICE,
    address: '10.0.0.1:80',
    dataCentre: 'negombo' as DataCentre,
    slots: 6,
    isLeaving,
    stage: undefined,
    incarnation,
    orderCount: 0,
    softwareVersion: `v${incarnation}` as SoftwareVersion,
  };
  return { upstreamId: ID, record, isRemoved: false };
}

const REMOVED: UpstreamChange = { upstreamId: ID, record: undefined, isRemoved: true };

it('upstream list: an entry that is removed while the store answers is gone at once', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange()], 0);
  applyUpstreamChanges(list, [REMOVED], 10);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.deep.equal([]);
});

it('upstream list: an entry that lapsed during an outage is retained for two seconds', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange()], 0);
  startGracePeriod(list, 1_000);
  applyUpstreamChanges(list, [REMOVED], 1_010);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.have.length(1);
  expect(dropLapsed(list, 1_000 + GRACE_PERIOD_MS - 1)).to.deep.equal([]);
  expect(dropLapsed(list, 1_000 + GRACE_PERIOD_MS)).to.deep.equal([ID]);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.deep.equal([]);
});

it('upstream list: a server that registers again within the grace period keeps its place in the list', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange()], 0);
  startGracePeriod(list, 1_000);
  applyUpstreamChanges(list, [REMOVED], 1_010);
  applyUpstreamChanges(list, [buildChange()], 1_500);
  expect(dropLapsed(list, 9_000)).to.deep.equal([]);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.have.length(1);
});

it('upstream list: a server that was leaving before the outage gets no grace period', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange(true)], 0);
  startGracePeriod(list, 1_000);
  applyUpstreamChanges(list, [REMOVED], 1_010);
  expect(list.records.size).to.equal(0);
});

it('upstream list: a server whose entry cannot be decoded is removed at once', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange()], 0);
  applyUpstreamChanges(list, [{ upstreamId: ID, record: undefined, isRemoved: false }], 1);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.deep.equal([]);
});

it('upstream list: a server that is leaving gets no new work', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange()], 0);
  applyUpstreamChanges(list, [buildChange(true)], 1);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.deep.equal([]);
});

// Guards against new work for a leaving server whose row was unreadable for a moment.
it('upstream list: a leaving server whose entry could not be read does not come back', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange(true)], 0);
  applyUpstreamChanges(list, [{ upstreamId: ID, record: undefined, isRemoved: false }], 1);
  applyUpstreamChanges(list, [buildChange()], 2);
  expect(listUsableUpstreams(list, SERVICE, 2)).to.deep.equal([]);
});

// Guards against a stream that goes on at another software version after a restore of the store.
it('upstream list: a row of an earlier start does not replace that of a later one', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange(false, 1), buildChange(false, 2)], 0);
  applyUpstreamChanges(list, [buildChange(false, 1)], 10);
  expect(list.records.get(ID)?.softwareVersion).to.equal('v2');
  // Once the later one has gone, the earlier one may be all there is.
  applyUpstreamChanges(list, [REMOVED, buildChange(false, 1)], 20);
  expect(list.records.get(ID)?.softwareVersion).to.equal('v1');
});

// Guards against a server that drains and is used on, as its entry does not say when it started.
it('upstream list: a row that does not name its start replaces that of a known one', () => {
  const list = makeUpstreamList();
  applyUpstreamChanges(list, [buildChange(false, 2), buildChange(true, 0)], 0);
  expect(listUsableUpstreams(list, SERVICE, 0)).to.deep.equal([]);
});
