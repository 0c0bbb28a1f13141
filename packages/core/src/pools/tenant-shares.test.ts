import { expect } from 'chai';
import { handlePoolEvent, type PoolState, type SlotRequest } from './index.js';
import {
  buildCallers,
  buildFleet,
  countOutcomes,
  makeRandom,
  runOverload,
  type Caller,
  type SimulatedEngine,
} from './overload-test-kit.js';
import { PREFILL, buildEngine, buildPool, buildSlotRequest } from './pool-test-kit.js';
import {
  compareTenants,
  countTenantArrival,
  makeTenantShares,
  recordTenantEnd,
  recordTenantGrant,
} from './tenant-shares.js';

const HEAVY = 'heavy';
const FROM_MS = 5_000;
const TO_MS = 20_000;

type Load = { readonly tenants: number; readonly perSecond: number; readonly heavy: number };

/** Plays tenants at their usual load, and one with many times its own; returns on-time shares. */
function playHeavyTenant(fleet: readonly SimulatedEngine[], load: Load) {
  const random = makeRandom(7_919);
  const usual = { fromMs: 0, toMs: TO_MS, perSecond: load.perSecond };
  const names = Array.from({ length: load.tenants }, (_, index) => `tenant-${index}`);
  const callers = names.flatMap((tenant) => buildCallers(random, usual, { tenant }));
  const heavy = { fromMs: FROM_MS, toMs: TO_MS, perSecond: load.heavy };
  callers.push(...buildCallers(random, heavy, { tenant: HEAVY }));
  const result = runOverload(fleet, callers);
  const measureShare = (isCounted: (caller: Caller) => boolean): number => {
    const isInBurst = (caller: Caller): boolean => caller.arrivesAt >= FROM_MS && isCounted(caller);
    const counts = countOutcomes(result, isInBurst);
    const total = counts['on-time'] + counts.late + counts['given-up'] + counts['waited-in-vain'];
    return counts['on-time'] / total;
  };
  return {
    all: measureShare(() => true),
    heavy: measureShare(({ tenant }) => tenant === HEAVY),
    others: measureShare(({ tenant }) => tenant !== HEAVY),
  };
}

// Guards against a tenant whose burst is served in turn with what all others send.
it('tenants: one with ten times the load of the others takes no slots from them, and is served with what they leave', () => {
  const shares = playHeavyTenant(buildFleet(6, 10), { tenants: 3, perSecond: 3, heavy: 40 });
  expect(shares.others).to.be.at.least(0.85);
  expect(shares.heavy).to.be.within(0.25 * shares.all, shares.all);
});

it('tenants: one with twenty times the load of many others, which need nearly all prefill engines, is not served less than a quarter as often as all', () => {
  const shares = playHeavyTenant(buildFleet(2, 14), { tenants: 10, perSecond: 1.6, heavy: 30 });
  expect(shares.heavy).to.be.at.least(0.25 * shares.all);
  expect(shares.others).to.be.at.least(0.75);
});

function requestSlot(state: PoolState, now: number, changes: Partial<SlotRequest>) {
  const ask = buildSlotRequest(now, changes);
  return { ask, actions: handlePoolEvent(state, { kind: 'asked', ask }, now) };
}

/** Occupies all slots of a pool with answers of one tenant. */
function occupyPool(tenant: string | undefined) {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 4 })]);
  const running = [0, 100, 200, 300].map((now) => {
    const { ask } = requestSlot(state, now, { tenant, outputTokens: 1_500 });
    handlePoolEvent(state, { kind: 'prefilled', askId: ask.askId }, now + 90);
    return ask;
  });
  const endFirst = (now: number) => {
    const [first] = running;
    if (first === undefined) throw new Error('no request runs');
    return handlePoolEvent(state, { kind: 'ended', askId: first.askId, didFinish: true }, now);
  };
  return { state, endFirst };
}

it('tenants: the next free slot goes to the tenant that has used least, although a stream of the other is due earlier', () => {
  const { state, endFirst } = occupyPool(HEAVY);
  const early = requestSlot(state, 500, { tenant: HEAVY, aimAt: 1_800 });
  const other = requestSlot(state, 510, { tenant: 'light', aimAt: 2_500 });
  expect([...early.actions, ...other.actions]).to.deep.equal([]);
  const [grant] = endFirst(900);
  expect(grant?.ask.askId).to.equal(other.ask.askId);
});

it('tenants: without tenants, and within one, the order is by latency target', () => {
  for (const tenant of [undefined, HEAVY]) {
    const { state, endFirst } = occupyPool(tenant);
    requestSlot(state, 500, { tenant, aimAt: 2_500 });
    const early = requestSlot(state, 510, { tenant, aimAt: 1_800 });
    const [grant] = endFirst(900);
    expect(grant?.ask.askId).to.equal(early.ask.askId);
  }
});

it('tenants: rank goes before the use of tenants', () => {
  const { state, endFirst } = occupyPool(HEAVY);
  const high = requestSlot(state, 500, { tenant: HEAVY, rank: 0, aimAt: 2_500 });
  requestSlot(state, 510, { tenant: 'light', rank: 1, aimAt: 1_800 });
  const [grant] = endFirst(900);
  expect(grant?.ask.askId).to.equal(high.ask.askId);
});

it('tenants: while few slots become free in time, the streams of the heavy tenant are refused and those of the light one wait', () => {
  const { state } = occupyPool(HEAVY);
  for (let now = 400; now < 440; now += 10) {
    requestSlot(state, now, { tenant: 'light', aimAt: now + 1_500 });
  }
  const heavy = requestSlot(state, 450, { tenant: HEAVY, aimAt: 1_950, patienceEndsAt: 2_000 });
  expect(heavy.actions.map(({ kind }) => kind)).to.deep.equal(['refuse']);
  const waiting = [...state.waiting.values()].map(({ ask }) => ask.tenant);
  expect(waiting).to.deep.equal(['light', 'light', 'light', 'light']);
});

it('tenants: use is corrected when an answer ends at another time than expected, and fades', () => {
  const shares = makeTenantShares();
  const grant = (tenant: string) => {
    const times = { grantedAt: 0, expectedEndAt: 4_000, isLate: false };
    const ask = buildSlotRequest(0, { tenant });
    const assignment = { ask, decode: PREFILL.upstreamId, prefill: undefined, ...times };
    recordTenantGrant(shares, assignment, 0);
    return assignment;
  };
  const [a, b] = [
    { tenant: 'a', rank: 0 },
    { tenant: 'b', rank: 0 },
  ];
  const first = grant('a');
  grant('b');
  expect(compareTenants(shares, a, b, 0)).to.equal(0);
  recordTenantEnd(shares, first, 100);
  expect(compareTenants(shares, a, b, 100)).to.be.lessThan(0);
  expect(compareTenants(shares, a, b, 60_000)).to.equal(0);
});

it('tenants: one that has got far fewer of its arrivals served than all goes first', () => {
  const shares = makeTenantShares();
  const count = (tenant: string, arrivals: number, grants: number): void => {
    const ask = buildSlotRequest(0, { tenant });
    const times = { grantedAt: 0, expectedEndAt: 4_000, isLate: false };
    const assignment = { ask, decode: PREFILL.upstreamId, prefill: undefined, ...times };
    for (let index = 0; index < arrivals; index += 1) countTenantArrival(shares, ask, 0);
    for (let index = 0; index < grants; index += 1) recordTenantGrant(shares, assignment, 0);
  };
  count('a', 20, 2);
  count('b', 2, 0);
  const [a, b] = [
    { tenant: 'a', rank: 0 },
    { tenant: 'b', rank: 0 },
  ];
  expect(compareTenants(shares, a, b, 0)).to.be.greaterThan(0);
  count('b', 38, 38);
  expect(compareTenants(shares, a, b, 0)).to.be.lessThan(0);
});
