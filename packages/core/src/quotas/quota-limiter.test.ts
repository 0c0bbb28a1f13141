import type { QuotaLevelItem, QuotaLevelsMessage, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { Tenant, TenantName } from '../tenants/index.js';
import { computeCost, makeQuotaLimiter, type QuotaLimiter, type QuotaVerdict } from './index.js';

const NAME = 'a' as TenantName;
const QUOTA = { ratePerSecond: 1_000, burst: 10_000, unit: 'token', plainTokens: 10 } as const;
const TENANT: Tenant = { name: NAME, priority: undefined, quota: QUOTA };
const KEEPER = 'keeper' as VmId;
const BOUNDS = { windowMs: 8_000, overage: 0.1, slack: 120_000 };
/** Part of the rate of one VM of ten, per second. */
const VM_COUNT = 10;
const PHASE = 0.5;

let number = 0;

function makeLimiter(): QuotaLimiter {
  const limiter = makeQuotaLimiter(
    {
      start: 'vm/1',
      findQuota: () => QUOTA,
      getBounds: () => BOUNDS,
      countListedVms: () => VM_COUNT,
      getPhase: () => PHASE,
      takeFraction: () => 0,
    },
    0,
  );
  limiter.setKeeper(KEEPER, 0);
  return limiter;
}

function buildLevels(sequence: number | undefined, items: QuotaLevelItem[]): QuotaLevelsMessage {
  number += 1;
  const levels = { kind: 'quota-levels', start: 'keeper/1', number, share: 1, items } as const;
  return sequence === undefined ? levels : { ...levels, answers: { start: 'vm/1', sequence } };
}

/** Reports, and has the keeper answer with a level. */
function answer(limiter: QuotaLimiter, level: number, now: number): void {
  const report = limiter.takeReport(now);
  if (report === undefined) throw new Error('no report is due');
  const used = report.items[0]?.used;
  const item = { tenant: NAME, level, ...(used === undefined ? {} : { used }) };
  limiter.handleLevels(KEEPER, buildLevels(report.sequence, [item]), now);
}

function admit(limiter: QuotaLimiter, cost: number, now: number): QuotaVerdict['kind'] {
  return limiter.admit(TENANT, cost, now).kind;
}

/** Lets time pass in ticks in which the keeper is heard or not. */
function passTime(limiter: QuotaLimiter, from: number, until: number, isHeard: boolean): void {
  for (let now = from; now <= until; now += 100) {
    if (isHeard) limiter.recordHeard(KEEPER, now);
    limiter.takeReport(now);
  }
}

it('quotas: a request costs one unit, its tokens, or what plain requests cost', () => {
  expect(computeCost({ ...QUOTA, unit: 'request' }, 100, 200)).to.equal(1);
  expect(computeCost(QUOTA, 100, 200)).to.equal(300);
  expect(computeCost(QUOTA, 0, undefined)).to.equal(10);
  expect(computeCost(QUOTA, undefined, undefined)).to.equal(10);
});

it('quotas: tenants without a limit are admitted and keep no state', () => {
  const limiter = makeLimiter();
  const unlimited = { ...TENANT, quota: undefined };
  const none = { ...TENANT, quota: { ...QUOTA, ratePerSecond: 0 } };
  for (const tenant of [undefined, unlimited, none]) {
    expect(limiter.admit(tenant, 1_000_000, 0).kind).to.equal('admitted');
  }
  expect(limiter.countAccounts()).to.equal(0);
});

it('quotas: a VM admits as long as the level is above zero, less what it has admitted since', () => {
  const limiter = makeLimiter();
  answer(limiter, 1_000, 0);
  expect(admit(limiter, 600, 0)).to.equal('admitted');
  expect(admit(limiter, 600, 0)).to.equal('admitted');
  expect(admit(limiter, 600, 0)).to.equal('refused');
  // 200 below zero, and 250 ms at the rate.
  expect(admit(limiter, 600, 250)).to.equal('admitted');
});

it('quotas: what a reply has charged is not taken off its level again', () => {
  const limiter = makeLimiter();
  answer(limiter, 1_000, 0);
  expect(admit(limiter, 900, 0)).to.equal('admitted');
  const report = limiter.takeReport(100);
  expect(report?.items).to.have.length(1);
  expect(admit(limiter, 900, 100)).to.equal('admitted');
  const level = { tenant: NAME, level: 950, used: 900 };
  limiter.handleLevels(KEEPER, buildLevels(report?.sequence, [level]), 110);
  expect(admit(limiter, 1, 110)).to.equal('admitted');
  expect(admit(limiter, 100, 110)).to.equal('admitted');
  expect(admit(limiter, 1, 110)).to.equal('refused');
});

it('quotas: older news, and news of a VM that is not the keeper, change nothing', () => {
  const limiter = makeLimiter();
  answer(limiter, -500, 0);
  const late = { ...buildLevels(undefined, [{ tenant: NAME, level: 900 }]), number: 0 };
  limiter.handleLevels(KEEPER, late, 10);
  limiter.handleLevels('other' as VmId, buildLevels(undefined, [{ tenant: NAME, level: 900 }]), 10);
  expect(admit(limiter, 1, 10)).to.equal('refused');
  limiter.handleLevels(KEEPER, buildLevels(undefined, [{ tenant: NAME, level: 900 }]), 10);
  expect(admit(limiter, 1, 10)).to.equal('admitted');
});

it('quotas: a refusal tells when the level is above zero, and the next one a later time', () => {
  const limiter = makeLimiter();
  answer(limiter, -2_000, 0);
  const first = limiter.admit(TENANT, 500, 0);
  const second = limiter.admit(TENANT, 500, 0);
  if (first.kind !== 'refused' || second.kind !== 'refused') throw new Error('not refused');
  expect(first.retryAt).to.be.within(2_000, 2_500);
  expect(second.retryAt).to.be.at.least(first.retryAt + 500);
});

it('quotas: what is given back can be used again', () => {
  const limiter = makeLimiter();
  answer(limiter, 100, 0);
  const verdict = limiter.admit(TENANT, 500, 0);
  expect(admit(limiter, 500, 0)).to.equal('refused');
  if (verdict.kind === 'admitted') limiter.giveBack(verdict, 0);
  expect(admit(limiter, 500, 0)).to.equal('admitted');
});

it('quotas: a use that is not answered is reported again, at most every 100 ms', () => {
  const limiter = makeLimiter();
  answer(limiter, 5_000, 0);
  expect(limiter.takeReport(100)).to.equal(undefined);
  admit(limiter, 300, 150);
  expect(limiter.takeReport(150)?.items[0]?.used).to.equal(300);
  expect(limiter.takeReport(200)).to.equal(undefined);
  expect(limiter.takeReport(250)?.items[0]?.used).to.equal(300);
});

it('quotas: a VM without news for 600 ms uses its own share, in its turn', () => {
  const limiter = makeLimiter();
  answer(limiter, -500, 0);
  passTime(limiter, 100, 700, false);
  expect(limiter.isInContact(700)).to.equal(false);
  // Its tenth of the rate earns half of the cost, its turn, in 4 s.
  passTime(limiter, 800, 2_000, false);
  expect(admit(limiter, 800, 2_000)).to.equal('refused');
  passTime(limiter, 2_100, 4_800, false);
  expect(admit(limiter, 800, 4_800)).to.equal('admitted');
  expect(admit(limiter, 800, 4_800)).to.equal('refused');
});

it('quotas: a tenant that was not near empty gets one request at once when contact is lost', () => {
  const limiter = makeLimiter();
  answer(limiter, 9_000, 0);
  passTime(limiter, 100, 700, false);
  expect(admit(limiter, 800, 700)).to.equal('admitted');
  expect(admit(limiter, 800, 700)).to.equal('refused');
});

it('quotas: after a pause of the process old levels hold only once the keeper has answered', () => {
  const limiter = makeLimiter();
  answer(limiter, 9_000, 0);
  expect(limiter.isInContact(5_000)).to.equal(false);
  limiter.handleLevels(KEEPER, buildLevels(undefined, [{ tenant: NAME, level: 9_000 }]), 5_000);
  expect(admit(limiter, 100, 5_000)).to.equal('refused');
  answer(limiter, 9_000, 5_000);
  expect(admit(limiter, 100, 5_000)).to.equal('admitted');
});

it('quotas: a keeper that is heard but does not answer is out of contact', () => {
  const limiter = makeLimiter();
  answer(limiter, 9_000, 0);
  admit(limiter, 100, 50);
  passTime(limiter, 100, 800, true);
  expect(limiter.isInContact(800)).to.equal(false);
});

it('quotas: a new keeper is told which tenants were near empty', () => {
  const limiter = makeLimiter();
  answer(limiter, -500, 0);
  limiter.setKeeper('next' as VmId, 100);
  const report = limiter.takeReport(100);
  expect(report?.wantsAll).to.equal(true);
  expect(report?.previousLevels).to.deep.equal([{ tenant: NAME, level: -400 }]);
});

it('quotas: accounts of tenants without use are dropped', () => {
  const limiter = makeLimiter();
  answer(limiter, 9_000, 0);
  admit(limiter, 100, 0);
  answer(limiter, 8_900, 100);
  expect(limiter.countAccounts()).to.equal(1);
  passTime(limiter, 200, 11_000, true);
  expect(limiter.countAccounts()).to.equal(0);
});
