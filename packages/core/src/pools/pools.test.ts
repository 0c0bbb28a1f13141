import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import {
  handlePoolEvent,
  type SlotRequestId,
  type SlotRequest,
  type PoolAction,
  type PoolState,
} from './index.js';
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

it('pools: under a light load every request is served on time', () => {
  const result = runArrivals(buildPool(TWO_DECODE), buildArrivals(0, 20_000, 5), 30_000);
  expect(result).to.include({ granted: 100, missedTarget: 0, refused: 0 });
});

it('pools: a burst on top of a steady load is served up to the slots, and the rest is refused at once', () => {
  const arrivals = [...buildArrivals(0, 8_000, 5), ...buildArrivals(8_000, 12_000, 16)];
  const result = runArrivals(buildPool(TWO_DECODE), arrivals, 25_000);
  expect(result.granted + result.refused).to.equal(arrivals.length);
  expect(result.refused).to.be.greaterThan(10);
  const quick = result.refusedAfterMs.filter((ms) => ms <= TARGET_MS / 8).length;
  expect(quick / result.refused).to.be.greaterThan(0.9);
});

it('pools: requests arrive at twice the rate and an engine is lost at the peak: the other slots are used', () => {
  const state = buildPool(TWO_DECODE);
  const before = runArrivals(state, buildArrivals(0, 6_000, 5), 6_000);
  expect(before.refused).to.equal(0);
  handlePoolEvent(state, { kind: 'engines-listed', engines: [PREFILL, buildEngine('d1')] }, 6_000);
  const after = runArrivals(state, buildArrivals(6_001, 10_000, 10), 16_000);
  // Two thirds of the twelve answers that the slots of one engine can start in that time.
  expect(after.granted).to.be.at.least(8);
  expect(after.refused).to.be.greaterThan(10);
});

it('pools: callers whose retry after a refusal cannot meet its target get only slots that are left over', () => {
  const state = buildPool(TWO_DECODE);
  const buildMissedRequest = (now: number): SlotRequest =>
    buildSlotRequest(now, { aimAt: now - 2_000 });
  for (let index = 0; index < 22; index += 1) {
    const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
    if (action?.kind !== 'grant') continue;
    const { askId: slotRequestId } = action.ask;
    handlePoolEvent(state, { kind: 'prefilled', askId: slotRequestId }, 0);
  }
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: buildMissedRequest(10) }, 10);
  expect(refusal?.kind).to.equal('refuse');
});

it('pools: a stream whose prompt has been prefilled is not refused for load, and is served first', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 2 })]);
  const running = [buildSlotRequest(0), buildSlotRequest(0)];
  for (const slotRequest of running) {
    handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, 0);
    handlePoolEvent(state, { kind: 'prefilled', askId: slotRequest.askId }, 0);
  }
  const fresh = buildSlotRequest(10);
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: fresh }, 10);
  expect(refusal?.kind).to.equal('refuse');
  const continued = buildSlotRequest(10, { isContinued: true, needsPrefill: false, aimAt: 5 });
  expect(handlePoolEvent(state, { kind: 'asked', ask: continued }, 10)).to.deep.equal([]);
  const [first] = running;
  if (first === undefined) throw new Error('no request runs: the list is empty');
  const [grant] = handlePoolEvent(
    state,
    { kind: 'ended', askId: first.askId, didFinish: true },
    900,
  );
  expect(grant?.ask.askId).to.equal(continued.askId);
});

it('pools: the target of a caller that retries counts from its first attempt', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  const first = buildSlotRequest(0, { contentKey: 'same' });
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: first }, 0);
  expect(refusal?.kind).to.equal('refuse');
  const second = buildSlotRequest(2_000, { contentKey: 'same' });
  handlePoolEvent(state, { kind: 'asked', ask: second }, 2_000);
  expect(second.aimAt).to.equal(TARGET_MS);
  const other = buildSlotRequest(2_000);
  handlePoolEvent(state, { kind: 'asked', ask: other }, 2_000);
  expect(other.aimAt).to.equal(2_000 + TARGET_MS);
});

it('pools: no prefill engine left, so decode engines prefill locally only where no answer pauses too long', () => {
  const state = buildPool([buildEngine('d1'), buildEngine('d2')]);
  const requestSlot = (): PoolAction[] =>
    handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  const grants = [requestSlot(), requestSlot(), requestSlot()]
    .flat()
    .filter(({ kind }) => kind === 'grant');
  expect(grants.map((action) => action.kind === 'grant' && action.prefill)).to.deep.equal([
    undefined,
    undefined,
  ]);
  for (const { ask: granted } of grants) {
    handlePoolEvent(state, { kind: 'prefilled', askId: granted.askId }, 200);
  }
  const meetingTarget = [...state.runs.values()].filter((assignment) => !assignment.isLate);
  expect(meetingTarget.length).to.be.at.least(2);
});

it('pools: answers that cannot be on time any more do not keep an engine from prefilling locally', () => {
  const state = buildPool([buildEngine('d1')]);
  const buildMissedRequest = (): SlotRequest =>
    buildSlotRequest(0, { aimAt: -1_000, patienceEndsAt: 60_000 });
  const granted: SlotRequestId[] = [];
  for (let round = 0; round < 4; round += 1) {
    const now = round * 450;
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildMissedRequest() }, now);
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      granted.push(action.ask.askId);
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, now + 200);
    }
  }
  expect(granted).to.have.length(4);
});

it('pools: with no prefill engine for a long time, decode engines prefill locally even if answers are delayed', () => {
  const state = buildPool([buildEngine('d1')]);
  let granted = 0;
  for (let now = 20_000; now < 22_700; now += 450) {
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(now) }, now);
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      granted += 1;
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, now + 200);
    }
  }
  expect(granted).to.equal(6);
});

it('pools: with no prefill engine for a long time, a long prompt may delay a few answers, and no more', () => {
  const countGrants = (now: number, earlierRequests: number): number => {
    const state = buildPool([buildEngine('d1')]);
    for (let index = 0; index < earlierRequests; index += 1) {
      const at = now - 4_000 + index * 450;
      const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(at) }, at);
      const id = grant?.ask.askId;
      if (id !== undefined) handlePoolEvent(state, { kind: 'prefilled', askId: id }, at + 180);
    }
    const slotRequest = buildSlotRequest(now, { promptTokens: 11_000 });
    const actions = handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, now);
    return actions.filter(({ kind }) => kind === 'grant').length;
  };
  expect(countGrants(10_000, 1)).to.equal(1);
  expect(countGrants(10_000, 3)).to.equal(0);
  expect(countGrants(30_000, 3)).to.equal(1);
  expect(countGrants(30_000, 5)).to.equal(0);
});

it('pools: a prompt whose engine failed does not change the measured speed of engines', () => {
  const state = buildPool(TWO_DECODE);
  const before = state.prefillBusyMs / state.prefillTokens;
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  if (grant?.kind !== 'grant') throw new Error('slot request was not granted');
  const { askId: slotRequestId } = grant.ask;
  handlePoolEvent(state, { kind: 'ended', askId: slotRequestId, didFinish: false }, 5_000);
  const [next] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(5_000) }, 5_000);
  if (next?.kind !== 'grant') throw new Error('slot request was not granted');
  handlePoolEvent(state, { kind: 'prefilled', askId: next.ask.askId }, 5_090);
  expect(state.prefillBusyMs / state.prefillTokens).to.be.closeTo(before, 0.001);
});

/** Gives every decode engine answers that a local prefill would make miss their target. */
function occupyEngines(state: PoolState, count: number): number {
  let now = 0;
  for (let index = 0; index < count; index += 1) {
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(now) }, now);
    now += 90;
    for (const action of actions) {
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, now);
    }
  }
  return now;
}

it('pools: prompts are prefilled one after the other', () => {
  const state = buildPool(TWO_DECODE);
  const now = occupyEngines(state, 6);
  const requestSlot = () =>
    handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(now) }, now);
  expect([requestSlot(), requestSlot(), requestSlot()].flat()).to.have.length(1);
  expect(handlePoolEvent(state, { kind: 'ticked' }, now + 20)).to.have.length(0);
  expect(handlePoolEvent(state, { kind: 'ticked' }, now + 85)).to.have.length(1);
});

it('pools: a decode engine prefills a prompt locally only while no answer would pause too long', () => {
  const state = buildPool(TWO_DECODE);
  const grants = [0, 1, 2].flatMap(() =>
    handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0),
  );
  const prefillEngines = grants.map((action) => action.kind === 'grant' && action.prefill);
  expect(prefillEngines).to.deep.equal(['p', undefined, undefined]);
});

it('pools: with long prompts, memory limits an engine before its slots do', () => {
  const engines = [PREFILL, buildEngine('d1', { kvCapacityTokens: 72_567 })];
  const state = buildPool(engines);
  let grants = 0;
  for (let index = 0; index < 12; index += 1) {
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      grants += 1;
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, 0);
    }
  }
  expect(grants).to.be.within(5, 8);
});

it('pools: an engine that sends nothing gets no new work while it is silent', () => {
  const state = buildPool([PREFILL, buildEngine('d1'), buildEngine('d2')]);
  const silent = { kind: 'engine-failed', upstreamId: 'd1', failure: 'silent' } as const;
  handlePoolEvent(state, { ...silent, upstreamId: 'd1' as UpstreamId }, 0);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(1) }, 1);
  expect(action).to.include({ kind: 'grant', decode: 'd2' });
});

it('pools: an engine that is changing its stage gets no work from any VM', () => {
  const state = buildPool([PREFILL, buildEngine('d1')]);
  const ordered = { kind: 'engine-ordered', stage: 'prefill', doneBy: 9_000 } as const;
  handlePoolEvent(state, { ...ordered, upstreamId: 'd1' as UpstreamId }, 0);
  const actions = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(1) }, 1);
  expect(actions.some(({ kind }) => kind === 'grant')).to.equal(false);
});

it('pools: an owner that takes over counts the slot assignments that other VMs report as `runs`, and no others', () => {
  const first = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  const [grant] = handlePoolEvent(first, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  if (grant?.kind !== 'grant') throw new Error('slot request was not granted');
  const assignment = first.runs.get(grant.ask.askId);
  if (assignment === undefined) throw new Error('no slot assignment for the granted request');
  const second = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  handlePoolEvent(second, { kind: 'runs-announced', vmId: VM, runs: [assignment] }, 10);
  const slotRequest = buildSlotRequest(20);
  expect(
    handlePoolEvent(second, { kind: 'asked', ask: slotRequest }, 20).some(
      (a) => a.kind === 'grant',
    ),
  ).to.equal(false);
  // The VM's assignment ended while another VM was the owner, so its next list leaves it out.
  const laterRequest = buildSlotRequest(30);
  handlePoolEvent(second, { kind: 'asked', ask: laterRequest }, 30);
  handlePoolEvent(second, { kind: 'runs-announced', vmId: VM, runs: [] }, 40);
  expect(second.runs.has(assignment.ask.askId)).to.equal(false);
});

it('pools: an engine whose server process restarts under its id has no slot assignments from the run before it', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  const engines = [PREFILL, buildEngine('d1', { slots: 1, incarnation: 2 })];
  handlePoolEvent(state, { kind: 'engines-listed', engines }, 10);
  expect(state.runs.size).to.equal(0);
});

it('pools: a withdrawn request frees its slot, and the next takes its place', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  const slotRequest = buildSlotRequest(0);
  handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, 0);
  handlePoolEvent(state, { kind: 'withdrawn', askId: slotRequest.askId }, 5);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(6) }, 6);
  expect(action?.kind).to.equal('grant');
});

it('pools: without a decode engine the refusal comes at once', () => {
  const state = buildPool([PREFILL]);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  expect(action).to.include({ kind: 'refuse', reason: 'no-engine' });
});
