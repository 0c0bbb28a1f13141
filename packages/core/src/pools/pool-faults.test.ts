import type { UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type AskId } from './index.js';
import {
  AIM_MS,
  buildArrivals,
  buildAsk,
  buildEngine,
  buildPool,
  PREFILL,
  runArrivals,
  TWO_DECODE,
  VM,
} from './pool-test-kit.js';

it('pools: planned stop: an ask that would outlast its VM is told at once to come back elsewhere', () => {
  const state = buildPool(TWO_DECODE);
  const long = buildAsk(0, { endsBy: 5_000 });
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: long }, 0);
  expect(refusal).to.include({ kind: 'refuse', reason: 'vm-stops' });
  expect(refusal?.kind === 'refuse' && refusal.retryAfterMs).to.be.within(1, 500);
  const short = buildAsk(0, { endsBy: 5_000, outputTokens: 2_000 });
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: short }, 0);
  expect(grant?.kind).to.equal('grant');
});

it('pools: planned stop: an ask that waits is refused once its answer can no longer end in time', () => {
  const engines = [PREFILL, buildEngine('d', { slots: 1 })];
  const state = buildPool(engines);
  handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  const ask = buildAsk(0, { endsBy: 3_000, outputTokens: 2_000, isContinued: true });
  expect(handlePoolEvent(state, { kind: 'asked', ask }, 0)).to.deep.equal([]);
  const [refusal] = handlePoolEvent(state, { kind: 'ticked' }, 1_000);
  expect(refusal).to.include({ kind: 'refuse', reason: 'vm-stops', ask });
});

it('pools: planned stop: a caller that comes back elsewhere counts from its first attempt', () => {
  const state = buildPool(TWO_DECODE);
  const first = buildAsk(0, { endsBy: 1_000 });
  handlePoolEvent(state, { kind: 'asked', ask: first }, 0);
  const second = buildAsk(300, { contentKey: first.contentKey });
  handlePoolEvent(state, { kind: 'asked', ask: second }, 300);
  expect(second.aimAt).to.equal(AIM_MS);
});

it('pools: overload: late callers that wait do not make one that can be on time look late', () => {
  const state = buildPool([PREFILL, buildEngine('d')]);
  const runs = Array.from({ length: 12 }, () => {
    const ask = buildAsk(-1_000, { needsPrefill: false });
    const times = { grantedAt: -1_000, expectedEndAt: 2_500, isLate: false };
    return { ask, decode: 'd' as UpstreamId, prefill: undefined, ...times };
  });
  handlePoolEvent(state, { kind: 'runs-announced', vmId: VM, runs }, 0);
  for (let late = 0; late < 3; late += 1) {
    const ask = buildAsk(0, { aimAt: -500, patienceEndsAt: 60_000 });
    handlePoolEvent(state, { kind: 'asked', ask }, 0);
  }
  expect(state.waiting.size).to.equal(3);
  const fresh = buildAsk(10);
  expect(handlePoolEvent(state, { kind: 'asked', ask: fresh }, 10)).to.deep.equal([]);
  expect(state.waiting.has(fresh.askId)).to.equal(true);
});

it('pools: a VM freezes with prompts at the only prefill engine, and the other VMs go on', () => {
  const state = buildPool(TWO_DECODE);
  const runs = ['d1', 'd1', 'd1', 'd2', 'd2', 'd2'].map((decode) => {
    const ask = buildAsk(0, { needsPrefill: false });
    const times = { grantedAt: -500, expectedEndAt: 9_000, isLate: false };
    return { ask, decode: decode as UpstreamId, prefill: undefined, ...times };
  });
  handlePoolEvent(state, { kind: 'runs-announced', vmId: VM, runs }, 0);
  const frozen = 'vm-frozen' as VmId;
  for (const now of [0, 90]) {
    const ask = buildAsk(now, { vmId: frozen });
    expect(handlePoolEvent(state, { kind: 'asked', ask }, now)).to.have.length(1);
  }
  const arrivals = buildArrivals(150, 3_150, 5);
  const result = runArrivals(state, arrivals, 12_000);
  expect(result.granted).to.be.at.least(arrivals.length - 3);
});

it('pools: an engine that changes its stage starts with no record of how it read before', () => {
  const state = buildPool([buildEngine('d')]);
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  const askId = grant?.ask.askId as AskId;
  handlePoolEvent(state, { kind: 'prefilled', askId }, 200);
  const engines = [buildEngine('d', { stage: 'prefill' })];
  handlePoolEvent(state, { kind: 'engines-listed', engines }, 300);
  expect(state.engines.get('d' as UpstreamId)).to.include({ prefillCount: 0, prefillTokens: 0 });
});

it('pools: a decode engine that is still reading a prompt itself is not given another one', () => {
  const state = buildPool([buildEngine('d')]);
  handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  handlePoolEvent(state, { kind: 'asked', ask: buildAsk(1) }, 1);
  expect(handlePoolEvent(state, { kind: 'ticked' }, 420)).to.deep.equal([]);
});

it('pools: a prompt whose end is told late says nothing of the speed of its engine', () => {
  const state = buildPool(TWO_DECODE);
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  for (let now = 25; now < 4_000; now += 25) handlePoolEvent(state, { kind: 'ticked' }, now);
  const before = state.prefillBusyMs / state.prefillTokens;
  const askId = grant?.ask.askId as AskId;
  handlePoolEvent(state, { kind: 'prefilled', askId }, 4_000);
  expect(state.prefillBusyMs / state.prefillTokens).to.equal(before);
});
