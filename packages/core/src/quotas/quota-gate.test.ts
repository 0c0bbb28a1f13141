import type { QuotaLevelItem, QuotaLevelsMessage, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { Tenant, TenantName } from '../tenants/index.js';
import { computeCost, makeQuotaGate, type QuotaGate, type QuotaVerdict } from './index.js';

const NAME = 'a' as TenantName;
const QUOTA = { ratePerSecond: 1_000, burst: 10_000, unit: 'token', plainTokens: 10 } as const;
const TENANT: Tenant = { name: NAME, priority: undefined, quota: QUOTA };
const KEEPER = 'keeper' as VmId;
const BOUNDS = { windowMs: 8_000, overage: 0.1, slack: 120_000 };
/** Part of the rate of one VM of ten, per second. */
const VM_COUNT = 10;
const PHASE = 0.5;

let number = 0;

function makeGate(): QuotaGate {
  const gate = makeQuotaGate(
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
  gate.setKeeper(KEEPER, 0);
  return gate;
}

function buildLevels(sequence: number | undefined, items: QuotaLevelItem[]): QuotaLevelsMessage {
  number += 1;
  const levels = { kind: 'quota-levels', start: 'keeper/1', number, share: 1, items } as const;
  return sequence === undefined ? levels : { ...levels, answers: { start: 'vm/1', sequence } };
}

/** Reports, and has the keeper answer with a level. */
function answer(gate: QuotaGate, level: number, now: number): void {
  const report = gate.takeReport(now);
  if (report === undefined) throw new Error('no report is due');
  const used = report.items[0]?.used;
  const item = { tenant: NAME, level, ...(used === undefined ? {} : { used }) };
  gate.handleLevels(KEEPER, buildLevels(report.sequence, [item]), now);
}

function admit(gate: QuotaGate, cost: number, now: number): QuotaVerdict['kind'] {
  return gate.admit(TENANT, cost, now).kind;
}

/** Lets time pass in ticks in which the keeper is heard or not. */
function passTime(gate: QuotaGate, from: number, until: number, isHeard: boolean): void {
  for (let now = from; now <= until; now += 100) {
    if (isHeard) gate.recordHeard(KEEPER, now);
    gate.takeReport(now);
  }
}

it('quotas: a request costs one unit, its tokens, or what plain requests cost', () => {
  expect(computeCost({ ...QUOTA, unit: 'request' }, 100, 200)).to.equal(1);
  expect(computeCost(QUOTA, 100, 200)).to.equal(300);
  expect(computeCost(QUOTA, 0, undefined)).to.equal(10);
  expect(computeCost(QUOTA, undefined, undefined)).to.equal(10);
});

it('quotas: tenants without a limit are admitted and keep no state', () => {
  const gate = makeGate();
  const unlimited = { ...TENANT, quota: undefined };
  const none = { ...TENANT, quota: { ...QUOTA, ratePerSecond: 0 } };
  for (const tenant of [undefined, unlimited, none]) {
    expect(gate.admit(tenant, 1_000_000, 0).kind).to.equal('admitted');
  }
  expect(gate.countAccounts()).to.equal(0);
});

it('quotas: a VM admits as long as the level is above zero, less what it has admitted since', () => {
  const gate = makeGate();
  answer(gate, 1_000, 0);
  expect(admit(gate, 600, 0)).to.equal('admitted');
  expect(admit(gate, 600, 0)).to.equal('admitted');
  expect(admit(gate, 600, 0)).to.equal('refused');
  // 200 below zero, and 250 ms at the rate.
  expect(admit(gate, 600, 250)).to.equal('admitted');
});

it('quotas: what a reply has charged is not taken off its level again', () => {
  const gate = makeGate();
  answer(gate, 1_000, 0);
  expect(admit(gate, 900, 0)).to.equal('admitted');
  const report = gate.takeReport(100);
  expect(report?.items).to.have.length(1);
  expect(admit(gate, 900, 100)).to.equal('admitted');
  const level = { tenant: NAME, level: 950, used: 900 };
  gate.handleLevels(KEEPER, buildLevels(report?.sequence, [level]), 110);
  expect(admit(gate, 1, 110)).to.equal('admitted');
  expect(admit(gate, 100, 110)).to.equal('admitted');
  expect(admit(gate, 1, 110)).to.equal('refused');
});

it('quotas: older news, and news of a VM that is not the keeper, change nothing', () => {
  const gate = makeGate();
  answer(gate, -500, 0);
  const late = { ...buildLevels(undefined, [{ tenant: NAME, level: 900 }]), number: 0 };
  gate.handleLevels(KEEPER, late, 10);
  gate.handleLevels('other' as VmId, buildLevels(undefined, [{ tenant: NAME, level: 900 }]), 10);
  expect(admit(gate, 1, 10)).to.equal('refused');
  gate.handleLevels(KEEPER, buildLevels(undefined, [{ tenant: NAME, level: 900 }]), 10);
  expect(admit(gate, 1, 10)).to.equal('admitted');
});

it('quotas: a refusal tells when the level is above zero, and the next one a later time', () => {
  const gate = makeGate();
  answer(gate, -2_000, 0);
  const first = gate.admit(TENANT, 500, 0);
  const second = gate.admit(TENANT, 500, 0);
  if (first.kind !== 'refused' || second.kind !== 'refused') throw new Error('not refused');
  expect(first.retryAt).to.be.within(2_000, 2_500);
  expect(second.retryAt).to.be.at.least(first.retryAt + 500);
});

it('quotas: what is given back can be used again', () => {
  const gate = makeGate();
  answer(gate, 100, 0);
  const verdict = gate.admit(TENANT, 500, 0);
  expect(admit(gate, 500, 0)).to.equal('refused');
  if (verdict.kind === 'admitted') gate.giveBack(verdict, 0);
  expect(admit(gate, 500, 0)).to.equal('admitted');
});

it('quotas: a use that is not answered is reported again, at most every 100 ms', () => {
  const gate = makeGate();
  answer(gate, 5_000, 0);
  expect(gate.takeReport(100)).to.equal(undefined);
  admit(gate, 300, 150);
  expect(gate.takeReport(150)?.items[0]?.used).to.equal(300);
  expect(gate.takeReport(200)).to.equal(undefined);
  expect(gate.takeReport(250)?.items[0]?.used).to.equal(300);
});

it('quotas: a VM without news for 600 ms uses its own share, in its turn', () => {
  const gate = makeGate();
  answer(gate, -500, 0);
  passTime(gate, 100, 700, false);
  expect(gate.isInContact(700)).to.equal(false);
  // Its tenth of the rate earns half of the cost, its turn, in 4 s.
  passTime(gate, 800, 2_000, false);
  expect(admit(gate, 800, 2_000)).to.equal('refused');
  passTime(gate, 2_100, 4_800, false);
  expect(admit(gate, 800, 4_800)).to.equal('admitted');
  expect(admit(gate, 800, 4_800)).to.equal('refused');
});

it('quotas: a tenant that was not near empty gets one request at once when contact is lost', () => {
  const gate = makeGate();
  answer(gate, 9_000, 0);
  passTime(gate, 100, 700, false);
  expect(admit(gate, 800, 700)).to.equal('admitted');
  expect(admit(gate, 800, 700)).to.equal('refused');
});

it('quotas: after a pause of the process old levels hold only once the keeper has answered', () => {
  const gate = makeGate();
  answer(gate, 9_000, 0);
  expect(gate.isInContact(5_000)).to.equal(false);
  gate.handleLevels(KEEPER, buildLevels(undefined, [{ tenant: NAME, level: 9_000 }]), 5_000);
  expect(admit(gate, 100, 5_000)).to.equal('refused');
  answer(gate, 9_000, 5_000);
  expect(admit(gate, 100, 5_000)).to.equal('admitted');
});

it('quotas: a keeper that is heard but does not answer is out of contact', () => {
  const gate = makeGate();
  answer(gate, 9_000, 0);
  admit(gate, 100, 50);
  passTime(gate, 100, 800, true);
  expect(gate.isInContact(800)).to.equal(false);
});

it('quotas: a new keeper is told which tenants were near empty', () => {
  const gate = makeGate();
  answer(gate, -500, 0);
  gate.setKeeper('next' as VmId, 100);
  const report = gate.takeReport(100);
  expect(report?.wantsAll).to.equal(true);
  expect(report?.carried).to.deep.equal([{ tenant: NAME, level: -400 }]);
});

it('quotas: accounts of tenants without use are dropped', () => {
  const gate = makeGate();
  answer(gate, 9_000, 0);
  admit(gate, 100, 0);
  answer(gate, 8_900, 100);
  expect(gate.countAccounts()).to.equal(1);
  passTime(gate, 200, 11_000, true);
  expect(gate.countAccounts()).to.equal(0);
});
