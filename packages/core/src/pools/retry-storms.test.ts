import { expect } from 'chai';
import { handlePoolEvent, type PoolEvent, type PoolState, type SlotRequest } from './index.js';
import { buildEngine, buildPool, buildSlotRequest, PREFILL } from './pool-test-kit.js';

const SLOTS = 4;
const DECODE = [buildEngine('d1', { slots: SLOTS }), buildEngine('d2', { slots: SLOTS })];
const TARGET_MS = 500;
const PREFILL_MS = 15;
const ANSWER_MS = 720;
const RETRY_MS = 40;
const STEP_MS = 5;

/** Refusals count here if more slots were free than streams waited for. */
type Result = { granted: number; refusedWithFreeSlots: number };

/**
 * Simulates callers that send the next request at once when one has been refused or answered; each
 * is a new request to the pool.
 */
function runCallers(state: PoolState, callers: number, untilMs: number): Result {
  const result: Result = { granted: 0, refusedWithFreeSlots: 0 };
  const due: { at: number; event: PoolEvent | 'ask' }[] = [];
  for (let caller = 0; caller < callers; caller += 1) due.push({ at: 7 * caller, event: 'ask' });
  for (let at = 0; at < untilMs; at += STEP_MS) due.push({ at, event: { kind: 'ticked' } });

  function ask(now: number): SlotRequest {
    return buildSlotRequest(now, {
      promptTokens: 100,
      outputTokens: 300,
      aimAt: now + TARGET_MS,
      patienceEndsAt: now + 2_500,
    });
  }

  while (due.length > 0) {
    due.sort((a, b) => a.at - b.at);
    const next = due.shift();
    if (next === undefined || next.at > untilMs) break;
    const { at: now } = next;
    const event = next.event === 'ask' ? ({ kind: 'asked', ask: ask(now) } as const) : next.event;
    for (const action of handlePoolEvent(state, event, now)) {
      if (action.kind === 'refuse') {
        if (action.freePlaces > action.waiting) result.refusedWithFreeSlots += 1;
        due.push({ at: now + RETRY_MS, event: 'ask' });
        continue;
      }
      result.granted += 1;
      const { askId } = action.ask;
      const endAt = now + PREFILL_MS + ANSWER_MS;
      due.push({ at: now + PREFILL_MS, event: { kind: 'prefilled', askId } });
      due.push({ at: endAt, event: { kind: 'ended', askId, didFinish: true } });
      due.push({ at: endAt + RETRY_MS, event: 'ask' });
    }
  }
  return result;
}

const UNTIL_MS = 20_000;
/** Answers that the slots could serve if none were ever free. */
const MAX_ANSWERS = (2 * SLOTS * UNTIL_MS) / (PREFILL_MS + ANSWER_MS);

// Guards against a pool that expects more arrivals the more callers it refuses, and refuses all of them.
it('pools: retry storm: callers that come back at once after each refusal find all slots in use', () => {
  const { granted, refusedWithFreeSlots } = runCallers(
    buildPool([PREFILL, ...DECODE]),
    20,
    UNTIL_MS,
  );
  expect(granted).to.be.at.least(0.9 * MAX_ANSWERS);
  expect(refusedWithFreeSlots).to.equal(0);
});

// Guards against the same where decode engines prefill prompts themselves.
it('pools: retry storm: without a prefill engine, callers that come back at once find the slots in use too', () => {
  const { granted, refusedWithFreeSlots } = runCallers(buildPool(DECODE), 20, UNTIL_MS);
  expect(granted).to.be.at.least(0.9 * MAX_ANSWERS);
  expect(refusedWithFreeSlots).to.equal(0);
});
