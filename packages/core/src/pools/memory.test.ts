import type { DataCentre, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type PoolAction, type PoolState } from './index.js';
import { buildEngine, buildPool, buildSlotRequest, PREFILL } from './pool-test-kit.js';

const DECODE = 'd1' as UpstreamId;

/** Asks for slots, one every `gapMs`, and completes each prefill before the next request. */
function fillEngine(state: PoolState, count: number, gapMs: number): PoolAction[] {
  const actions: PoolAction[] = [];
  for (let index = 0; index < count; index += 1) {
    const now = index * gapMs;
    const slotRequest = buildSlotRequest(now, { outputTokens: 1_000, aimAt: now + 200 });
    actions.push(...handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, now));
    handlePoolEvent(state, { kind: 'prefilled', askId: slotRequest.askId }, now + 1);
  }
  return actions;
}

function countGrants(actions: readonly PoolAction[]): number {
  return actions.filter(({ kind }) => kind === 'grant').length;
}

/** Many slots and little memory: ten answers fit. */
const SMALL_MEMORY = buildEngine('d1', { slots: 64, kvCapacityTokens: 60_729 });

it('memory: an engine with many slots gets only the answers that fit into its memory', () => {
  const state = buildPool([PREFILL, SMALL_MEMORY]);
  expect(countGrants(fillEngine(state, 20, 10))).to.equal(9);
});

it('memory: an answer past its expected end goes on growing, so that nothing is granted into its memory', () => {
  const state = buildPool([PREFILL, SMALL_MEMORY]);
  fillEngine(state, 9, 1);
  const now = 4_000;
  const actions = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(now) }, now);
  expect(countGrants(actions)).to.equal(0);
});

it('memory: an engine full of answers that refuses one is usable again soon, and gets fewer answers', () => {
  const state = buildPool([PREFILL, SMALL_MEMORY]);
  fillEngine(state, 9, 1);
  for (let round = 0; round < 4; round += 1) {
    const event = { kind: 'engine-failed', upstreamId: DECODE, failure: 'full' } as const;
    handlePoolEvent(state, event, 20);
  }
  const load = state.engines.get(DECODE);
  expect(load?.avoidUntil).to.be.at.most(150);
  expect(load?.usableMemoryShare).to.be.lessThan(0.85);
});

it('memory: an empty engine that refuses requests is avoided for longer with each refusal', () => {
  const state = buildPool([PREFILL, SMALL_MEMORY]);
  for (let round = 0; round < 4; round += 1) {
    const event = { kind: 'engine-failed', upstreamId: DECODE, failure: 'full' } as const;
    handlePoolEvent(state, event, 20);
  }
  expect(state.engines.get(DECODE)?.avoidUntil).to.be.greaterThan(1_500);
});

it('memory: a slot is chosen in the data centre of the prefill engine while loads are equal', () => {
  const far = buildEngine('d1', { dataCentre: 'dc-2' as DataCentre });
  const near = buildEngine('d2');
  const state = buildPool([PREFILL, far, near]);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  expect(action?.kind === 'grant' && action.decode).to.equal('d2');
});
