import type { UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type SlotRequestId } from './index.js';
import {
  TARGET_MS,
  buildArrivals,
  buildSlotRequest,
  buildEngine,
  buildPool,
  PREFILL,
  runArrivals,
  TWO_DECODE,
  VM,
} from './pool-test-kit.js';

it('pools: planned stop: a request whose answer would outlast its VM is refused at once, to be retried on another VM', () => {
  const state = buildPool(TWO_DECODE);
  const long = buildSlotRequest(0, { endsBy: 5_000 });
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: long }, 0);
  expect(refusal).to.include({ kind: 'refuse', reason: 'vm-stops' });
  expect(refusal?.kind === 'refuse' && refusal.retryAfterMs).to.be.within(1, 500);
  const short = buildSlotRequest(0, { endsBy: 5_000, outputTokens: 2_000 });
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: short }, 0);
  expect(grant?.kind).to.equal('grant');
});

it('pools: planned stop: a waiting request is refused once its answer can no longer end in time', () => {
  const engines = [PREFILL, buildEngine('d', { slots: 1 })];
  const state = buildPool(engines);
  handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  const slotRequest = buildSlotRequest(0, {
    endsBy: 3_000,
    outputTokens: 2_000,
    isContinued: true,
  });
  expect(handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, 0)).to.deep.equal([]);
  const [refusal] = handlePoolEvent(state, { kind: 'ticked' }, 1_000);
  expect(refusal).to.include({ kind: 'refuse', reason: 'vm-stops', ask: slotRequest });
});

it('pools: planned stop: the target of a caller that is refused and retries counts from its first attempt', () => {
  const state = buildPool(TWO_DECODE);
  const first = buildSlotRequest(0, { endsBy: 1_000 });
  handlePoolEvent(state, { kind: 'asked', ask: first }, 0);
  const second = buildSlotRequest(300, { contentKey: first.contentKey });
  handlePoolEvent(state, { kind: 'asked', ask: second }, 300);
  expect(second.aimAt).to.equal(TARGET_MS);
});

it('pools: overload: callers that wait and cannot be served on time cause no refusal of one that can', () => {
  const state = buildPool([PREFILL, buildEngine('d')]);
  const assignments = Array.from({ length: 12 }, () => {
    const slotRequest = buildSlotRequest(-1_000, { needsPrefill: false });
    const times = { grantedAt: -1_000, expectedEndAt: 2_500, isLate: false };
    return { ask: slotRequest, decode: 'd' as UpstreamId, prefill: undefined, ...times };
  });
  handlePoolEvent(state, { kind: 'runs-announced', vmId: VM, runs: assignments }, 0);
  for (let index = 0; index < 3; index += 1) {
    const slotRequest = buildSlotRequest(0, { aimAt: -500, patienceEndsAt: 60_000 });
    handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, 0);
  }
  expect(state.waiting.size).to.equal(3);
  const fresh = buildSlotRequest(10);
  expect(handlePoolEvent(state, { kind: 'asked', ask: fresh }, 10)).to.deep.equal([]);
  expect(state.waiting.has(fresh.askId)).to.equal(true);
});

it('pools: prompts of a suspended VM on the only prefill engine do not block the requests of other VMs', () => {
  const state = buildPool(TWO_DECODE);
  const assignments = ['d1', 'd1', 'd1', 'd2', 'd2', 'd2'].map((decode) => {
    const slotRequest = buildSlotRequest(0, { needsPrefill: false });
    const times = { grantedAt: -500, expectedEndAt: 9_000, isLate: false };
    return { ask: slotRequest, decode: decode as UpstreamId, prefill: undefined, ...times };
  });
  handlePoolEvent(state, { kind: 'runs-announced', vmId: VM, runs: assignments }, 0);
  const suspended = 'vm-frozen' as VmId;
  for (const now of [0, 90]) {
    const slotRequest = buildSlotRequest(now, { vmId: suspended });
    expect(handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, now)).to.have.length(1);
  }
  const arrivals = buildArrivals(150, 3_150, 5);
  const result = runArrivals(state, arrivals, 12_000);
  expect(result.granted).to.be.at.least(arrivals.length - 3);
});

it('pools: an engine that changes its stage keeps no record of its prefill speed before the change', () => {
  const state = buildPool([buildEngine('d')]);
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  const slotRequestId = grant?.ask.askId as SlotRequestId;
  handlePoolEvent(state, { kind: 'prefilled', askId: slotRequestId }, 200);
  const engines = [buildEngine('d', { stage: 'prefill' })];
  handlePoolEvent(state, { kind: 'engines-listed', engines }, 300);
  expect(state.engines.get('d' as UpstreamId)).to.include({ prefillCount: 0, prefillTokens: 0 });
});

it('pools: a decode engine that is still prefilling a prompt locally is not given another one', () => {
  const state = buildPool([buildEngine('d')]);
  handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(1) }, 1);
  expect(handlePoolEvent(state, { kind: 'ticked' }, 420)).to.deep.equal([]);
});

it('pools: a prompt whose prefill is reported late does not change the measured speed of its engine', () => {
  const state = buildPool(TWO_DECODE);
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  for (let now = 25; now < 4_000; now += 25) handlePoolEvent(state, { kind: 'ticked' }, now);
  const before = state.prefillBusyMs / state.prefillTokens;
  const slotRequestId = grant?.ask.askId as SlotRequestId;
  handlePoolEvent(state, { kind: 'prefilled', askId: slotRequestId }, 4_000);
  expect(state.prefillBusyMs / state.prefillTokens).to.equal(before);
});
