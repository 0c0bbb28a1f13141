import type { QuotaUseItem, QuotaUseMessage, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { TenantName, TenantQuota } from '../tenants/index.js';
import { makeQuotaKeeper, type QuotaKeeper } from './quota-keeper.js';

const TENANT = 'a' as TenantName;
const QUOTA: TenantQuota = { ratePerSecond: 1_000, burst: 10_000, unit: 'token', plainTokens: 10 };
const BOUNDS = { windowMs: 8_000, overage: 0.1, slack: 120_000 };
const VM_1 = 'vm-1' as VmId;
const VM_2 = 'vm-2' as VmId;
/** Half a second of the rate: what a keeper begins with that knows nothing. */
const FIRST_LEVEL = 500;
const NEAR = 6_000;

type Keeping = { isChosen?: boolean; heardShare?: number; vmCount?: number };

function makeKeeper({ isChosen = true, heardShare = 1, vmCount = 1 }: Keeping = {}): QuotaKeeper {
  return makeQuotaKeeper({
    start: 'keeper',
    findQuota: (tenant) => (tenant === TENANT ? QUOTA : undefined),
    getBounds: () => BOUNDS,
    countListedVms: () => vmCount,
    measureHeardShare: () => heardShare,
    getHeardAt: () => undefined,
    isChosen: () => isChosen,
  });
}

function buildUse(
  sequence: number,
  item: Partial<QuotaUseItem>,
  more: Partial<QuotaUseMessage> = {},
): QuotaUseMessage {
  const items = [{ tenant: TENANT, used: 0, settled: 0, settledSequence: 0, ...item }];
  return { kind: 'quota-use', start: 'vm-1/1', sequence, items, ...more };
}

function readLevel(keeper: QuotaKeeper, from: VmId, use: QuotaUseMessage, now: number): number {
  const [item] = keeper.handleUse(from, use, now)?.items ?? [];
  return Math.round(item?.level ?? NaN);
}

/** Lets time pass in ticks, as the task does. */
function passTime(keeper: QuotaKeeper, from: number, until: number): void {
  for (let now = from; now <= until; now += 100) {
    keeper.recordUser(VM_1, true, now);
    keeper.tick(now);
  }
}

it('quotas: a keeper charges each report once, also if it is repeated or comes late', () => {
  const keeper = makeKeeper();
  expect(readLevel(keeper, VM_1, buildUse(1, { used: 100 }), 0)).to.equal(FIRST_LEVEL - 100);
  expect(keeper.handleUse(VM_1, buildUse(1, { used: 100 }), 0)).to.equal(undefined);
  expect(readLevel(keeper, VM_1, buildUse(3, { used: 300 }), 0)).to.equal(FIRST_LEVEL - 300);
  expect(keeper.handleUse(VM_1, buildUse(2, { used: 200 }), 0)).to.equal(undefined);
  expect(readLevel(keeper, VM_1, buildUse(4, { used: 300 }), 0)).to.equal(FIRST_LEVEL - 300);
});

it('quotas: a bucket may go below zero, refills at the rate and no further than the burst', () => {
  const keeper = makeKeeper();
  expect(readLevel(keeper, VM_1, buildUse(1, { used: 2_500 }), 0)).to.equal(FIRST_LEVEL - 2_500);
  expect(keeper.countBelowZero()).to.equal(1);
  passTime(keeper, 0, 3_000);
  expect(readLevel(keeper, VM_1, buildUse(2, { used: 2_500 }), 3_000)).to.equal(1_000);
  passTime(keeper, 3_000, 12_900);
  const level = readLevel(keeper, VM_1, buildUse(3, { used: 2_500 }), 12_900);
  expect(level).to.equal(QUOTA.burst);
});

it('quotas: use that another keeper has charged is not charged again', () => {
  const keeper = makeKeeper();
  const use = buildUse(9, { used: 5_000, settled: 4_900, settledSequence: 8 });
  expect(readLevel(keeper, VM_1, use, 0)).to.equal(FIRST_LEVEL - 100);
});

it('quotas: a process that was started again counts from zero', () => {
  const keeper = makeKeeper();
  keeper.handleUse(VM_1, buildUse(7, { used: 400 }), 0);
  const use = buildUse(1, { used: 50 }, { start: 'vm-1/2' });
  expect(readLevel(keeper, VM_1, use, 0)).to.equal(FIRST_LEVEL - 450);
});

it('quotas: what is given back raises the level', () => {
  const keeper = makeKeeper();
  keeper.handleUse(VM_1, buildUse(1, { used: 400 }), 0);
  expect(readLevel(keeper, VM_1, buildUse(2, { used: 100 }), 0)).to.equal(FIRST_LEVEL - 100);
});

it('quotas: a keeper refills for the VMs that use it only', () => {
  const keeper = makeKeeper({ isChosen: false, vmCount: 2 });
  keeper.handleUse(VM_1, buildUse(1, { used: 1_000 }), 0);
  passTime(keeper, 0, 1_000);
  expect(readLevel(keeper, VM_1, buildUse(2, { used: 1_000 }), 1_000)).to.equal(-500);
});

it('quotas: a keeper that takes over begins with the levels that its users had', () => {
  const empty = makeKeeper();
  const previousLevels = [{ tenant: TENANT, level: -700 }];
  expect(
    readLevel(empty, VM_1, buildUse(1, { used: 50 }, { previousLevels, wantsAll: true }), 0),
  ).to.equal(-750);
  const full = makeKeeper();
  const use = buildUse(1, { used: 50 }, { previousLevels: [], wantsAll: true });
  expect(readLevel(full, VM_1, use, 0)).to.equal(NEAR - 50);
});

it('quotas: a keeper that serves others already takes the lower of two levels', () => {
  const keeper = makeKeeper();
  keeper.handleUse(VM_1, buildUse(1, { used: 100 }), 0);
  passTime(keeper, 0, 1_000);
  const previousLevels = [{ tenant: TENANT, level: -700 }];
  const use = buildUse(1, { used: 0 }, { previousLevels, start: 'vm-2/1' });
  expect(readLevel(keeper, VM_2, use, 1_000)).to.equal(-700);
});

it('quotas: after a pause of the process a keeper trusts its levels no more than an unknown one', () => {
  const keeper = makeKeeper();
  keeper.handleUse(VM_1, buildUse(1, { used: 100 }), 0);
  passTime(keeper, 0, 4_000);
  expect(readLevel(keeper, VM_1, buildUse(2, { used: 100 }), 4_900)).to.equal(FIRST_LEVEL);
});

it('quotas: news for all VMs name tenants that are near empty, a few times after, and no others', () => {
  const keeper = makeKeeper();
  expect(keeper.tick(0)).to.equal(undefined);
  keeper.handleUse(VM_1, buildUse(1, { used: 100 }), 0);
  expect(keeper.tick(100)?.items.map(({ tenant }) => tenant)).to.deep.equal([TENANT]);
  passTime(keeper, 200, 7_000);
  expect(keeper.tick(7_100)).to.equal(undefined);
});

it('quotas: a tenant without use keeps no state', () => {
  const keeper = makeKeeper();
  keeper.handleUse(VM_1, buildUse(1, { used: 100_000 }), 0);
  expect(keeper.countBelowZero()).to.equal(1);
  passTime(keeper, 0, 130_000);
  // Known counts are gone: what the VM says to be settled holds.
  const use = buildUse(2, { used: 150_000, settled: 150_000, settledSequence: 1 });
  expect(readLevel(keeper, VM_1, use, 130_000)).to.equal(QUOTA.burst);
});
