import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type PoolState } from './index.js';
import { buildEngine, buildSlotRequest, buildPool, TWO_DECODE } from './pool-test-kit.js';

const ANSWER_MS = 700;
const SHORT_PROMPT = { promptTokens: 100, outputTokens: 1_000 } as const;

// The forecast expected the first prompt only once the prefill engine was no longer avoided, so that all
// streams of a burst that could not start at once were refused.
it('pools: prefill outage: while the only prefill engine is avoided, streams of a burst wait for local prefills that are on time', () => {
  const state = buildPool(TWO_DECODE);
  const upstreamId = 'p' as UpstreamId;
  handlePoolEvent(state, { kind: 'engine-failed', upstreamId, failure: 'handle-lost' }, 0);
  const kinds: string[] = [];
  for (let count = 0; count < 8; count += 1) {
    const ask = buildSlotRequest(0, { ...SHORT_PROMPT, aimAt: 500 });
    const actions = handlePoolEvent(state, { kind: 'asked', ask }, 0);
    kinds.push(actions[0]?.kind ?? 'wait');
  }
  expect(kinds).to.deep.equal(['grant', 'grant', ...Array.from({ length: 6 }, () => 'wait')]);
  for (let now = 10; now <= 400; now += 10) {
    for (const askId of state.runs.keys()) {
      handlePoolEvent(state, { kind: 'prefilled', askId }, now);
    }
    handlePoolEvent(state, { kind: 'ticked' }, now);
  }
  expect(state.runs.size).to.equal(8);
});

/** Sends requests whose prompts decode engines prefill; each prefill is reported `prefillMs` after its grant. */
function prefillLocally(
  state: PoolState,
  { fromMs, untilMs, prefillMs }: { fromMs: number; untilMs: number; prefillMs: number },
): { granted: number; refused: number } {
  const counts = { granted: 0, refused: 0 };
  for (let now = fromMs; now < untilMs; now += 10) {
    const events: Parameters<typeof handlePoolEvent>[1][] = [{ kind: 'ticked' }];
    if (now % 100 === 0) {
      const ask = buildSlotRequest(now, { ...SHORT_PROMPT, aimAt: now + 500 });
      events.push({ kind: 'asked', ask });
    }
    for (const [askId, { grantedAt, prefill }] of state.runs) {
      if (prefill !== undefined && now - grantedAt >= prefillMs) {
        events.push({ kind: 'prefilled', askId });
      }
      if (now - grantedAt >= prefillMs + ANSWER_MS) {
        events.push({ kind: 'ended', askId, didFinish: true });
      }
    }
    for (const event of events) {
      for (const { kind } of handlePoolEvent(state, event, now)) {
        counts[kind === 'grant' ? 'granted' : 'refused'] += 1;
      }
    }
  }
  return counts;
}

const WITHOUT_PREFILL = [buildEngine('d1'), buildEngine('d2')];

/** Has prefills take longer in two steps, so that each is reported before it is overdue. */
function prefillUnderOverload(state: PoolState): void {
  prefillLocally(state, { fromMs: 0, untilMs: 30_000, prefillMs: 200 });
  prefillLocally(state, { fromMs: 30_000, untilMs: 60_000, prefillMs: 400 });
  expect(state.localPrefillMsPerToken).to.be.greaterThan(3);
}

// Soak seed 5045: the pool expected 2.3 local prefills per second long after an overload, refused
// the others with 3 to 5 free slots, and so hardly measured the speed again.
it('pools: prefill outage: the speed of local prefills recovers soon after an overload', () => {
  const state = buildPool(WITHOUT_PREFILL);
  prefillUnderOverload(state);
  prefillLocally(state, { fromMs: 60_000, untilMs: 61_500, prefillMs: 10 });
  const burst = Array.from({ length: 6 }, () =>
    buildSlotRequest(61_500, { ...SHORT_PROMPT, aimAt: 62_000 }),
  );
  for (const ask of burst) {
    const [action] = handlePoolEvent(state, { kind: 'asked', ask }, 61_500);
    expect(action?.kind).to.not.equal('refuse');
  }
  const after = prefillLocally(state, { fromMs: 61_500, untilMs: 63_500, prefillMs: 10 });
  expect(after.refused).to.equal(0);
});

// A speed from an overload of an earlier outage held back the streams of the next one.
it('pools: prefill outage: the speed of local prefills that has not been measured for seconds is at least half that of prefill engines', () => {
  const state = buildPool(WITHOUT_PREFILL);
  prefillUnderOverload(state);
  for (let now = 60_000; now <= 70_000; now += 100) handlePoolEvent(state, { kind: 'ticked' }, now);
  expect(state.localPrefillMsPerToken).to.be.at.most(0.036);
});
