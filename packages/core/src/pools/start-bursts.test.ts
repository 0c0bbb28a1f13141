import { expect } from 'chai';
import type { UpstreamId } from '@tarragonspool/protocol';
import { handlePoolEvent, type PoolAction, type PoolState, type SlotRequest } from './index.js';
import { PREFILL, VM, buildEngine, buildPool, buildSlotRequest } from './pool-test-kit.js';

const DECODE = [buildEngine('d1', { slots: 4 }), buildEngine('d2', { slots: 4 })];
const TICK_MS = 25;
const SHORT_TARGET_MS = 500;
const SHORT_PROMPT = { promptTokens: 100, outputTokens: 300 };

/** Feeds slot requests and ticks to a pool whose engines prefill the prompts one after the other. */
function playArrivals(
  state: PoolState,
  arrivals: readonly (readonly [number, SlotRequest])[],
  prefillMs: number,
  untilMs: number,
): PoolAction[] {
  const actions: PoolAction[] = [];
  const prefills: { readonly askId: SlotRequest['askId']; readonly endAt: number }[] = [];
  const remaining = [...arrivals];
  let busyUntil = 0;
  const apply = (list: readonly PoolAction[], now: number): void => {
    for (const action of list) {
      actions.push(action);
      if (action.kind !== 'grant' || action.prefill === undefined) continue;
      busyUntil = Math.max(now, busyUntil) + prefillMs;
      prefills.push({ askId: action.ask.askId, endAt: busyUntil });
    }
  };
  for (let now = 0; now <= untilMs; now += 1) {
    while (prefills[0] !== undefined && prefills[0].endAt <= now) {
      const { askId } = prefills.shift() ?? prefills[0];
      apply(handlePoolEvent(state, { kind: 'prefilled', askId }, now), now);
    }
    while (remaining[0] !== undefined && remaining[0][0] <= now) {
      const [, ask] = remaining.shift() ?? remaining[0];
      apply(handlePoolEvent(state, { kind: 'asked', ask }, now), now);
    }
    if (now % TICK_MS === 0) apply(handlePoolEvent(state, { kind: 'ticked' }, now), now);
  }
  return actions;
}

function listKinds(actions: readonly PoolAction[]): string[] {
  return actions.map(({ kind }) => kind);
}

// Guards against a wait that is estimated from a rate of slots which no answer has shown yet.
it('start bursts: a burst right after the start is granted all the free slots, although one engine reads its prompts in turn', () => {
  for (const prefillMs of [8, 30, 90]) {
    const state = buildPool([PREFILL, ...DECODE]);
    const arrivals = [0, 20, 40, 60, 80, 100].map(
      (at) => [at, buildSlotRequest(at, { ...SHORT_PROMPT, aimAt: at + SHORT_TARGET_MS })] as const,
    );
    const kinds = listKinds(playArrivals(state, arrivals, prefillMs, 1_500));
    expect(kinds, `prompts that take ${prefillMs} ms`).to.deep.equal(Array(6).fill('grant'));
  }
});

it('start bursts: prompts that arrive at once at one prefill engine wait for it while slots are free, and none is refused that it reads in time', () => {
  const state = buildPool([PREFILL, buildEngine('d1'), buildEngine('d2')]);
  const arrivals = Array.from({ length: 8 }, () => [0, buildSlotRequest(0)] as const);
  const actions = playArrivals(state, arrivals, 90, 1_500);
  expect(listKinds(actions)).to.deep.equal(Array(8).fill('grant'));
});

it('start bursts: of many prompts that arrive at once at one prefill engine, those beyond what it reads in time are refused at once', () => {
  const state = buildPool([PREFILL, buildEngine('d1'), buildEngine('d2')]);
  const arrivals = Array.from({ length: 24 }, () => [0, buildSlotRequest(0)] as const);
  const atOnce = playArrivals(state, arrivals, 90, 0);
  const refused = atOnce.filter(({ kind }) => kind === 'refuse').length;
  expect(refused).to.be.within(12, 16);
});

/** Announces answers that occupy all slots of a pool and are expected to end at the given times. */
function occupySlots(state: PoolState, grantedAt: number, endTimes: readonly number[]): void {
  const runs = endTimes.map((expectedEndAt, index) => ({
    ask: buildSlotRequest(grantedAt, { needsPrefill: false, promptTokens: 100 }),
    decode: (index % 2 === 0 ? 'd1' : 'd2') as UpstreamId,
    prefill: undefined,
    grantedAt,
    isLate: false,
    expectedEndAt,
  }));
  handlePoolEvent(state, { kind: 'runs-announced', vmId: VM, runs }, 0);
}

// Guards against a mean rate of slots that hides that all answers of a burst began together.
it('start bursts: while answers that began together run, a stream is refused at once if none ends before its deadline', () => {
  const state = buildPool([PREFILL, ...DECODE]);
  occupySlots(state, -200, Array<number>(8).fill(3_300));
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: buildSlotRequest(0) }, 0);
  expect(refusal).to.include({ kind: 'refuse', reason: 'overloaded' });
});

it('start bursts: streams wait for answers that are about to end, as many as end in time', () => {
  const state = buildPool([PREFILL, ...DECODE]);
  occupySlots(state, -3_000, [150, 200, 250, 300, 350, 3_300, 3_300, 3_300]);
  const requests = Array.from({ length: 7 }, () => buildSlotRequest(0, { rank: 0 }));
  const refused = requests.flatMap((ask) => handlePoolEvent(state, { kind: 'asked', ask }, 0));
  expect(listKinds(refused)).to.deep.equal(['refuse', 'refuse']);
  expect(state.waiting.size).to.equal(5);
});

it('start bursts: answers that outlast their expected end count as slots that are about to be free', () => {
  const state = buildPool([PREFILL, ...DECODE]);
  occupySlots(state, -3_000, [-10, -10, -10, -10, 3_300, 3_300, 3_300, 3_300]);
  const requests = Array.from({ length: 4 }, () => buildSlotRequest(0));
  for (const ask of requests.slice(0, 3)) {
    expect(handlePoolEvent(state, { kind: 'asked', ask }, 0)).to.deep.equal([]);
  }
});
