import { expect } from 'chai';
import { handlePoolEvent, type PoolAction, type PoolState, type SlotRequest } from './index.js';
import {
  buildArrivals,
  buildEngine,
  buildPool,
  buildSlotRequest,
  PREFILL,
  runArrivals,
  TWO_DECODE,
} from './pool-test-kit.js';

function requestSlot(state: PoolState, slotRequest: SlotRequest, now: number): PoolAction[] {
  return handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, now);
}

/** Grants a slot and completes its prefill, so that only slots are scarce. */
function startAnswer(state: PoolState, now: number, changes: Partial<SlotRequest> = {}): void {
  const slotRequest = buildSlotRequest(now, changes);
  requestSlot(state, slotRequest, now);
  handlePoolEvent(state, { kind: 'prefilled', askId: slotRequest.askId }, now);
}

function setRank(arrivals: readonly SlotRequest[], rank: number): SlotRequest[] {
  return arrivals.map((slotRequest) => ({ ...slotRequest, rank }));
}

it('ranks: a waiting request of a higher rank gets the next slot before an earlier one of a lower rank', () => {
  const state = buildPool([PREFILL, buildEngine('d1')]);
  requestSlot(state, buildSlotRequest(0), 0);
  requestSlot(state, buildSlotRequest(0), 0);
  const low = buildSlotRequest(0, { rank: 2, aimAt: 2_000 });
  const high = buildSlotRequest(1, { rank: 0, aimAt: 2_500 });
  expect(requestSlot(state, low, 0)).to.deep.equal([]);
  expect(requestSlot(state, high, 1)).to.deep.equal([]);
  const granted = handlePoolEvent(state, { kind: 'ticked' }, 100);
  expect(granted[0]?.ask.askId).to.equal(high.askId);
});

it('ranks: a burst of the top rank is served more often than a steady lower rank, which goes on being served', () => {
  const low = setRank(buildArrivals(0, 16_000, 5), 2);
  const burst = setRank(buildArrivals(6_000, 12_000, 9), 0);
  const state = buildPool(TWO_DECODE);
  const ranks = new Map([...low, ...burst].map(({ askId, rank }) => [askId, rank]));
  const granted = [0, 0, 0];
  const arrivals = [...low, ...burst];
  runArrivals(state, arrivals, 24_000, ({ kind, ask }) => {
    if (kind === 'grant') granted[ranks.get(ask.askId) ?? 0] = (granted[ask.rank] ?? 0) + 1;
  });
  const highShare = (granted[0] ?? 0) / burst.length;
  const lowShare = (granted[2] ?? 0) / low.length;
  expect(highShare).to.be.greaterThan(0.5);
  expect(lowShare).to.be.greaterThan(0.25);
});

it('ranks: while slots are free a lower rank is granted at once, whatever the higher ranks do', () => {
  const state = buildPool(TWO_DECODE);
  startAnswer(state, 0, { rank: 0 });
  const [action] = requestSlot(state, buildSlotRequest(500, { rank: 2 }), 500);
  expect(action?.kind).to.equal('grant');
});

it('ranks: a refused caller of a lower rank is told to come later than one of a higher rank', () => {
  const refuse = (rank: number): number => {
    const state = buildPool([PREFILL, buildEngine('d1', { slots: 4 })]);
    for (let index = 0; index < 4; index += 1) startAnswer(state, index * 60, { rank: 1 });
    for (let index = 0; index < 3; index += 1) {
      requestSlot(state, buildSlotRequest(300, { rank: 1, aimAt: 9_000 }), 300);
    }
    const [action] = requestSlot(state, buildSlotRequest(300, { rank, aimAt: 350 }), 300);
    if (action?.kind !== 'refuse') throw new Error('slot request was not refused');
    return action.retryAfterMs;
  };
  expect(refuse(2)).to.be.greaterThan(refuse(0));
});

it('ranks: the order among equal ranks is by latency target', () => {
  const state = buildPool([PREFILL, buildEngine('d1')]);
  requestSlot(state, buildSlotRequest(0), 0);
  requestSlot(state, buildSlotRequest(0), 0);
  const late = buildSlotRequest(0, { rank: 1, aimAt: 3_000 });
  const early = buildSlotRequest(1, { rank: 1, aimAt: 1_500 });
  requestSlot(state, late, 0);
  requestSlot(state, early, 1);
  const granted = handlePoolEvent(state, { kind: 'ticked' }, 100);
  expect(granted[0]?.ask.askId).to.equal(early.askId);
});
