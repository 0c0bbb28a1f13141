import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent } from './index.js';
import { buildEngine, buildPool, buildSlotRequest, PREFILL, VM } from './pool-test-kit.js';

const DECODE = [buildEngine('d1', { slots: 4 }), buildEngine('d2', { slots: 4 })];

// Soak seed 300130: a new owner refused a late stream with 5 of 8 slots free and none waiting. It assumed
// 3.5 s for each answer, so that a few arrivals per second were expected to take all slots.
it('pools: new owner: before answers are measured, a late stream gets a free slot although arrivals seem to need all', () => {
  const state = buildPool([PREFILL, ...DECODE]);
  const runs = ['d1', 'd1', 'd2'].map((decode) => {
    const ask = buildSlotRequest(0, { needsPrefill: false });
    const times = { grantedAt: -300, expectedEndAt: 450, isLate: false };
    return { ask, decode: decode as UpstreamId, prefill: undefined, ...times };
  });
  handlePoolEvent(state, { kind: 'runs-announced', vmId: VM, runs }, 0);
  const small = { promptTokens: 100, outputTokens: 300 } as const;
  for (let now = 10; now < 900; now += 150) {
    const [grant] = handlePoolEvent(
      state,
      { kind: 'asked', ask: buildSlotRequest(now, small) },
      now,
    );
    if (grant?.kind !== 'grant') throw new Error('not granted');
    const { askId } = grant.ask;
    handlePoolEvent(state, { kind: 'prefilled', askId }, now + 10);
    handlePoolEvent(state, { kind: 'ended', askId, didFinish: true }, now + 140);
  }
  const late = buildSlotRequest(1_000, { ...small, aimAt: 0 });
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: late }, 1_000);
  expect(action).to.include({ kind: 'grant', ask: late });
});

// Guards against late streams that take the slots which are left free for arrivals.
it('pools: new owner: before answers are measured, late streams leave a slot free', () => {
  const state = buildPool([PREFILL, ...DECODE]);
  for (let now = 0; now < 4_000; now += 250) {
    const ask = buildSlotRequest(now, { aimAt: -1_000, patienceEndsAt: now + 600 });
    handlePoolEvent(state, { kind: 'asked', ask }, now);
    for (const askId of state.runs.keys()) {
      handlePoolEvent(state, { kind: 'prefilled', askId }, now + 100);
    }
  }
  expect(state.runs.size).to.equal(7);
});
