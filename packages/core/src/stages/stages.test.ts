import {
  makeStorePosition,
  type StorePosition,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import {
  applyAcquired,
  applyLeaseRow,
  canChangeAnother,
  chooseLeaseStep,
  findSplitChange,
  findStageChange,
  makeOrderLease,
  type PlannedEngine,
} from './index.js';

const DEMAND = { prefillMs: 95, occupancyMs: 3_500, slotsPerEngine: 12 };
const LEASE_MS = 3_000;
const SELF = 'self' as VmId;
const OTHER = 'other' as VmId;

function buildEngine(name: string, changes: Partial<PlannedEngine> = {}): PlannedEngine {
  return {
    upstreamId: name as UpstreamId,
    stage: 'decode',
    requestCount: 0,
    slowness: 1,
    isChanging: false,
    ...changes,
  };
}

const PREFILL = { stage: 'prefill' } as const;

it('stages: slots are the bottleneck, so the slowest of two prefill engines becomes a decode engine', () => {
  const engines = [
    buildEngine('p1', PREFILL),
    buildEngine('p2', { ...PREFILL, slowness: 1.3 }),
    buildEngine('d1'),
    buildEngine('d2'),
  ];
  expect(findStageChange(engines, DEMAND)).to.include({ upstreamId: 'p2', stage: 'decode' });
});

it('stages: long prompts with short answers keep both prefill engines', () => {
  const engines = [
    buildEngine('p1', PREFILL),
    buildEngine('p2', PREFILL),
    buildEngine('d1'),
    buildEngine('d2'),
  ];
  const demand = { prefillMs: 300, occupancyMs: 1_500, slotsPerEngine: 12 };
  expect(findStageChange(engines, demand)).to.equal(undefined);
});

it('stages: nothing is ordered before every prefill engine is measured', () => {
  const engines = [
    buildEngine('p1', PREFILL),
    buildEngine('p2', { ...PREFILL, slowness: undefined }),
    buildEngine('d1'),
    buildEngine('d2'),
  ];
  expect(findStageChange(engines, DEMAND)).to.equal(undefined);
});

it('stages: an evenly split pool is measured first, even if a change would gain 50 %', () => {
  const engines = [
    buildEngine('p1', { ...PREFILL, slowness: undefined }),
    buildEngine('p2', { ...PREFILL, slowness: undefined }),
    buildEngine('d1', { slowness: undefined }),
    buildEngine('d2', { slowness: undefined }),
  ];
  expect(findStageChange(engines, { ...DEMAND, prefillMs: 90 })).to.equal(undefined);
});

it('stages: with no prefill engine left a decode engine changes, measured or not', () => {
  const engines = [
    buildEngine('d1', { slowness: undefined, requestCount: 9 }),
    buildEngine('d2', { slowness: undefined, requestCount: 2 }),
    buildEngine('d3', { slowness: undefined, requestCount: 5 }),
  ];
  expect(findStageChange(engines, DEMAND)).to.include({ upstreamId: 'd2', stage: 'prefill' });
});

it('stages: with one decode engine left the change does not wait for measurements', () => {
  const engines = [
    buildEngine('p1', { ...PREFILL, slowness: undefined }),
    buildEngine('p2', { ...PREFILL, slowness: undefined }),
    buildEngine('d1', { slowness: undefined }),
  ];
  expect(findStageChange(engines, DEMAND)).to.include({ stage: 'decode', isUrgent: true });
});

it('stages: an engine that is changing is not chosen again', () => {
  const engines = [
    buildEngine('d1', { isChanging: true }),
    buildEngine('d2', { requestCount: 4 }),
    buildEngine('d3', { requestCount: 5 }),
  ];
  expect(findStageChange(engines, DEMAND)?.upstreamId).to.equal('d2');
});

it('stages: a good split stays as it is', () => {
  const engines = [
    buildEngine('p1', PREFILL),
    buildEngine('d1'),
    buildEngine('d2'),
    buildEngine('d3'),
  ];
  expect(findStageChange(engines, DEMAND)).to.equal(undefined);
});

it('stages: two decode engines are left, so the slow one becomes the prefill engine and the fast one answers', () => {
  const engines = [
    buildEngine('fast', { slowness: 0.8, requestCount: 2 }),
    buildEngine('slow', { slowness: 1.3 }),
  ];
  expect(findStageChange(engines, DEMAND)).to.include({ upstreamId: 'slow', stage: 'prefill' });
});

it('stages: among equal engines, the one with the least load changes', () => {
  const engines = [
    buildEngine('d1', { requestCount: 7 }),
    buildEngine('d2', { requestCount: 2 }),
    buildEngine('d3', { requestCount: 5 }),
  ];
  expect(findStageChange(engines, DEMAND)).to.include({ upstreamId: 'd2', stage: 'prefill' });
});

function buildPool(prefillCount: number, decodeCount: number): PlannedEngine[] {
  const prefill = Array.from({ length: prefillCount }, (_unused, index) =>
    buildEngine(`p${index}`, PREFILL),
  );
  const decode = Array.from({ length: decodeCount }, (_unused, index) => buildEngine(`d${index}`));
  return [...prefill, ...decode];
}

/** Streams that hold their slot for seconds in a pool with a third of its engines for prefill. */
const LONG_ANSWERS = { prefillMs: 90, occupancyMs: 3_800, slotsPerEngine: 9 };

it('stages: a large pool whose prefill engines are mostly idle changes them one by one until it is balanced', () => {
  let engines = buildPool(8, 16);
  for (;;) {
    const change = findSplitChange(engines, LONG_ANSWERS);
    if (change === undefined) break;
    expect(change.stage).to.equal('decode');
    const { upstreamId } = change;
    engines = engines.map((engine) =>
      engine.upstreamId === upstreamId ? { ...engine, stage: 'decode' } : engine,
    );
  }
  const prefill = engines.filter(({ stage }) => stage === 'prefill');
  expect(prefill).to.have.length.within(5, 6);
});

it('stages: a large pool with few unmeasured engines is planned, one with many is not', () => {
  const engines = buildPool(8, 16);
  const withUnmeasured = (count: number): PlannedEngine[] =>
    engines.map((engine, index) => (index < count ? { ...engine, slowness: undefined } : engine));
  expect(findSplitChange(withUnmeasured(3), LONG_ANSWERS)).to.include({ stage: 'decode' });
  expect(findSplitChange(withUnmeasured(8), LONG_ANSWERS)).to.equal(undefined);
});

it('stages: a large pool whose prompts keep its prefill engines busy stays as it is', () => {
  const demand = { prefillMs: 400, occupancyMs: 1_500, slotsPerEngine: 9 };
  expect(findSplitChange(buildPool(8, 16), demand)).to.equal(undefined);
});

it('stages: no more than an eighth of a large pool changes at a time', () => {
  const engines = buildPool(8, 16);
  const changing = engines.map((engine, index) => ({ ...engine, isChanging: index < 3 }));
  expect(canChangeAnother(engines)).to.equal(true);
  expect(canChangeAnother(changing)).to.equal(false);
});

/** A position before any restore. */
function at(version: number): StorePosition {
  return makeStorePosition(0, version);
}

it('lease: a VM that reads a row that has never been written acquires it', () => {
  const lease = makeOrderLease();
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, false, 0).kind).to.equal('read');
  applyLeaseRow(lease, { position: at(0), holder: undefined, ageMs: 0 }, 0);
  const step = chooseLeaseStep(lease, SELF, LEASE_MS, true, 0);
  expect(step).to.deep.equal({ kind: 'acquire', expected: at(0) });
});

it('lease: the holder may give orders for half of its lease, counted from the send time', () => {
  const lease = makeOrderLease();
  applyAcquired(lease, SELF, at(7), LEASE_MS, { sentAt: 100, readEra: 0, now: 110 });
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, false, 1_599)).to.deep.equal({
    kind: 'order',
    fence: 7,
  });
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, false, 1_600).kind).to.equal('read');
});

it('lease: another VM waits until the last holder has certainly stopped', () => {
  const lease = makeOrderLease();
  applyLeaseRow(lease, { position: at(7), holder: OTHER, ageMs: 0 }, 0);
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, true, LEASE_MS).kind).to.equal('wait');
  applyLeaseRow(lease, { position: at(7), holder: OTHER, ageMs: 0 }, 5_001);
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, true, 5_001).kind).to.equal('acquire');
});

it('lease: a renewal by the holder starts the wait again', () => {
  const lease = makeOrderLease();
  applyLeaseRow(lease, { position: at(7), holder: OTHER, ageMs: 0 }, 0);
  applyLeaseRow(lease, { position: at(9), holder: OTHER, ageMs: 0 }, 4_000);
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, true, 5_001).kind).to.equal('wait');
});

it('lease: a VM that reads a row that the store shows to be old takes it over without a wait', () => {
  const lease = makeOrderLease();
  applyLeaseRow(lease, { position: at(7), holder: OTHER, ageMs: 20_000 }, 0);
  expect(chooseLeaseStep(lease, SELF, LEASE_MS, true, 0).kind).to.equal('acquire');
});

// Soak seed 300130: the owner ordered the successor of a prefill engine that had left to decode, while
// the decode engine that had been ordered to prefill did not serve yet.
it('stages: the only prefill engine that serves is not changed while another engine is still changing to prefill', () => {
  const engines = [
    buildEngine('p', PREFILL),
    buildEngine('d1', { ...PREFILL, isChanging: true }),
    buildEngine('d2'),
  ];
  expect(findStageChange(engines, DEMAND)).to.equal(undefined);
  const changed = engines.map((engine) => ({ ...engine, isChanging: false }));
  expect(findStageChange(changed, DEMAND)).to.include({ stage: 'decode' });
});
