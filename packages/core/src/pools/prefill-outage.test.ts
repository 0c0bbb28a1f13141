import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent } from './index.js';
import { buildSlotRequest, buildPool, TWO_DECODE } from './pool-test-kit.js';

const SHORT_PROMPT = { promptTokens: 100, outputTokens: 1_000 } as const;

// The forecast had the first prompt at the end of the time for which the prefill engine was avoided, so
// that of a burst all streams were refused which could not start at once.
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
