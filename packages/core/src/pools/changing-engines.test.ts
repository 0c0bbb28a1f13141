import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { findStageChange } from '../stages/index.js';
import { handlePoolEvent, listPlannedEngines, type PoolAction, type PoolState } from './index.js';
import { buildSlotRequest, buildEngine, buildPool, PREFILL } from './pool-test-kit.js';

const SMALL = { slots: 4 } as const;

const IDLE_CHANGE_MS = 3_500;

function order(state: PoolState, name: string, stage: 'prefill' | 'decode', doneBy: number): void {
  const upstreamId = name as UpstreamId;
  const change = { upstreamId, stage, doneBy, idleChangeMs: IDLE_CHANGE_MS };
  handlePoolEvent(state, { kind: 'engine-ordered', ...change }, 0);
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

function runTicks(state: PoolState, fromMs: number, untilMs: number): void {
  for (let now = fromMs; now <= untilMs; now += 25) {
    handlePoolEvent(state, { kind: 'ticked' }, now);
  }
}

/** Counts the streams that start on each engine when this many are asked for. */
function countStarts(state: PoolState, count: number, now: number): Map<string, number> {
  const starts = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const ask = buildSlotRequest(now, { needsPrefill: false });
    for (const action of handlePoolEvent(state, { kind: 'asked', ask }, now)) {
      if (action.kind !== 'grant') continue;
      starts.set(action.decode, (starts.get(action.decode) ?? 0) + 1);
    }
  }
  return starts;
}

// An engine that accepted an order and did not execute it got nothing for 9 s longer than the change
// takes, as long as if it still had answers to complete.
it('pools: an engine without work that does not execute its order to change is used again after the time that a change takes', () => {
  const state = buildPool([PREFILL, buildEngine('d1', SMALL), buildEngine('d2', SMALL)]);
  order(state, 'd1', 'prefill', 12_500);
  runTicks(state, 25, 3_400);
  expect([...countStarts(state, 2, 3_400).keys()]).to.deep.equal(['d2']);
  runTicks(state, 3_425, 3_525);
  expect(countStarts(state, 6, 3_525).get('d1')).to.equal(4);
  // Its new answers don't make it count as changing again.
  runTicks(state, 3_550, 4_000);
  for (const [askId, { decode }] of [...state.runs]) {
    if (decode !== 'd1') continue;
    handlePoolEvent(state, { kind: 'ended', askId, didFinish: true }, 4_025);
  }
  expect(countStarts(state, 3, 4_025).get('d1')).to.equal(3);
});

// Guards against requests to an engine that completes its answers before it changes.
it('pools: an engine that has answers from before its order to change counts as changing until they have ended', () => {
  const state = buildPool([PREFILL, buildEngine('d1', SMALL), buildEngine('d2', SMALL)]);
  countStarts(state, 2, 0);
  order(state, 'd1', 'prefill', 12_500);
  runTicks(state, 25, 5_000);
  expect([...countStarts(state, 8, 5_000).keys()]).to.deep.equal(['d2']);
  for (const [askId, { decode }] of [...state.runs]) {
    if (decode !== 'd1') continue;
    handlePoolEvent(state, { kind: 'ended', askId, didFinish: true }, 5_000);
  }
  runTicks(state, 5_025, 8_500);
  const changing = state.engines.get('d1' as UpstreamId);
  expect(changing?.runs.size).to.equal(0);
  runTicks(state, 8_525, 8_600);
  countStarts(state, 4, 8_600);
  expect(changing?.runs.size).to.equal(4);
});

// An engine that ignored an order was ordered again at once and counted as changing without end.
it('pools: an engine that has not executed an order to change is not ordered again, but another one is', () => {
  const state = buildPool(['d1', 'd2', 'd3'].map((name) => buildEngine(name)));
  countStarts(state, 4, 0);
  for (const [askId, { decode }] of [...state.runs]) {
    if (decode !== 'd1') continue;
    handlePoolEvent(state, { kind: 'ended', askId, didFinish: true }, 0);
  }
  const demand = { prefillMs: 95, occupancyMs: 3_500, slotsPerEngine: 12 };
  const findChange = (now: number): unknown =>
    findStageChange(listPlannedEngines(state, now), demand);
  expect(findChange(0)).to.include({ upstreamId: 'd1', stage: 'prefill' });
  order(state, 'd1', 'prefill', 12_500);
  runTicks(state, 25, 3_525);
  expect(findChange(3_525)).to.include({ upstreamId: 'd2', stage: 'prefill' });
  // It may have been unable to: later it is ordered again.
  expect(findChange(40_000)).to.include({ upstreamId: 'd1', stage: 'prefill' });
});
