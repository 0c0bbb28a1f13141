import { expect } from 'chai';
import { handlePoolEvent, type PoolAction, type PoolEvent } from '../pools/index.js';
import { buildEngine, buildPool, buildSlotRequest } from '../pools/pool-test-kit.js';

const MS_PER_TOKEN = 0.018;
const STEP_MS = 5;

/** Plays 17 requests a second at two prefill engines, of which `p1` has this speed; counts its prompts. */
function countPrompts(untilMs: number, getSpeed: (now: number) => number) {
  const decode = buildEngine('d', { slots: 1_000, kvCapacityTokens: 100_000_000 });
  const prefill = ['p1', 'p2'].map((name) => buildEngine(name, { stage: 'prefill' }));
  const state = buildPool([decode, ...prefill]);
  const left = new Map<string, { action: PoolAction; engine: string; ms: number }>();
  const times: number[] = [];
  let slowest = 0;
  for (let now = 0; now < untilMs; now += STEP_MS) {
    const events: PoolEvent[] = [];
    for (const engine of ['p1', 'p2']) {
      const first = [...left.values()].find((prompt) => prompt.engine === engine);
      if (first === undefined) continue;
      first.ms -= STEP_MS * (engine === 'p1' ? getSpeed(now) : 1);
      const { askId, aimAt } = first.action.ask;
      if (first.ms > 0) continue;
      left.delete(askId);
      slowest = Math.max(slowest, now - (aimAt - 900));
      events.push({ kind: 'prefilled', askId }, { kind: 'ended', askId, didFinish: false });
    }
    if (now % 60 === 0) events.push({ kind: 'asked', ask: buildSlotRequest(now) });
    events.push({ kind: 'ticked' });
    for (const action of events.flatMap((event) => handlePoolEvent(state, event, now))) {
      if (action.kind !== 'grant') continue;
      const ms = MS_PER_TOKEN * action.ask.promptTokens;
      left.set(action.ask.askId, { action, engine: action.prefill ?? action.decode, ms });
      if (action.prefill === 'p1') times.push(now);
    }
  }
  const count = (from: number, to: number): number =>
    times.filter((at) => at >= from && at < to).length;
  return { count, slowest };
}

// Guards against prompts that wait at a prefill engine that has become slow.
it('speeds: a prefill engine that turns three times slower gets few prompts, and its share once it is as before', () => {
  const { count, slowest } = countPrompts(30_000, (now) =>
    now >= 10_000 && now < 16_000 ? 0.33 : 1,
  );
  expect(count(11_000, 16_000)).to.be.at.most(22);
  expect(count(16_000, 18_000)).to.be.at.least(15);
  expect(slowest).to.be.lessThan(1_500);
});
