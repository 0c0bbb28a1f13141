import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type PoolAction, type PoolState } from './index.js';
import { buildSlotRequest, buildEngine, buildPool, PREFILL } from './pool-test-kit.js';

const SMALL = { slots: 4 } as const;

function order(state: PoolState, name: string, stage: 'prefill' | 'decode', doneBy: number): void {
  const upstreamId = name as UpstreamId;
  handlePoolEvent(state, { kind: 'engine-ordered', upstreamId, stage, doneBy }, 0);
}

/** Sends requests until one is refused. */
function awaitRefusal(state: PoolState, now: number): PoolAction | undefined {
  for (let count = 0; count < 50; count += 1) {
    const ask = buildSlotRequest(now, { promptTokens: 100, aimAt: now + 200 });
    const actions = handlePoolEvent(state, { kind: 'asked', ask }, now);
    const refusal = actions.find(({ kind }) => kind === 'refuse');
    if (refusal !== undefined) return refusal;
  }
  return undefined;
}

// Slots of an engine that was ordered to prefill were reported as free, and the speed of a prefill
// engine that was ordered to decode as speed of the pool, although neither gets any request.
it('pools: overload: engines that change their stage count neither as free slots nor as prefill speed', () => {
  const state = buildPool([PREFILL, buildEngine('d1', SMALL), buildEngine('d2', SMALL)]);
  order(state, 'd1', 'prefill', 12_500);
  order(state, 'p', 'decode', 12_500);
  const refusal = awaitRefusal(state, 1);
  expect(refusal).to.include({ kind: 'refuse', reason: 'overloaded' });
  expect(refusal?.kind === 'refuse' && refusal.freePlaces).to.be.at.most(SMALL.slots);
  // One engine with four slots, each occupied for 3.5 s.
  expect(refusal?.kind === 'refuse' && refusal.serviceRate).to.be.at.most(1.2);
});
