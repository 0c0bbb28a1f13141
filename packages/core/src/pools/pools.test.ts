import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import {
  handlePoolEvent,
  type AskId,
  type PlaceAsk,
  type PoolAction,
  type PoolState,
} from './index.js';
import {
  AIM_MS,
  buildArrivals,
  buildAsk,
  buildEngine,
  buildPool,
  PREFILL,
  runArrivals,
  TWO_DECODE,
  VM,
} from './pool-test-kit.js';

it('pools: a calm load is served on time', () => {
  const result = runArrivals(buildPool(TWO_DECODE), buildArrivals(0, 20_000, 5), 30_000);
  expect(result).to.include({ granted: 100, late: 0, refused: 0 });
});

it('pools: a wave with a burst on top is served up to the places, the rest refused at once', () => {
  const arrivals = [...buildArrivals(0, 8_000, 5), ...buildArrivals(8_000, 12_000, 16)];
  const result = runArrivals(buildPool(TWO_DECODE), arrivals, 25_000);
  expect(result.granted + result.refused).to.equal(arrivals.length);
  expect(result.refused).to.be.greaterThan(10);
  const quick = result.refusedAfterMs.filter((ms) => ms <= AIM_MS / 8).length;
  expect(quick / result.refused).to.be.greaterThan(0.9);
});

it('pools: one kind doubled, with the places of an engine lost at the peak', () => {
  const state = buildPool(TWO_DECODE);
  const before = runArrivals(state, buildArrivals(0, 6_000, 5), 6_000);
  expect(before.refused).to.equal(0);
  handlePoolEvent(state, { kind: 'engines-listed', engines: [PREFILL, buildEngine('d1')] }, 6_000);
  const after = runArrivals(state, buildArrivals(6_001, 10_000, 10), 16_000);
  // Two thirds of the twelve starts that the places of one engine allow in that time.
  expect(after.granted).to.be.at.least(8);
  expect(after.refused).to.be.greaterThan(10);
});

it('pools: callers that return after a refusal get only what is left over', () => {
  const state = buildPool(TWO_DECODE);
  const late = (now: number): PlaceAsk => buildAsk(now, { aimAt: now - 2_000 });
  for (let ask = 0; ask < 22; ask += 1) {
    const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
    if (action?.kind !== 'grant') continue;
    const { askId } = action.ask;
    handlePoolEvent(state, { kind: 'prefilled', askId }, 0);
  }
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: late(10) }, 10);
  expect(refusal?.kind).to.equal('refuse');
});

it('pools: a stream whose prompt has been read is not refused for load, and goes first', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 2 })]);
  const running = [buildAsk(0), buildAsk(0)];
  for (const ask of running) {
    handlePoolEvent(state, { kind: 'asked', ask }, 0);
    handlePoolEvent(state, { kind: 'prefilled', askId: ask.askId }, 0);
  }
  const fresh = buildAsk(10);
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: fresh }, 10);
  expect(refusal?.kind).to.equal('refuse');
  const continued = buildAsk(10, { isContinued: true, needsPrefill: false, aimAt: 5 });
  expect(handlePoolEvent(state, { kind: 'asked', ask: continued }, 10)).to.deep.equal([]);
  const [first] = running;
  if (first === undefined) throw new Error('nothing runs');
  const [grant] = handlePoolEvent(
    state,
    { kind: 'ended', askId: first.askId, didFinish: true },
    900,
  );
  expect(grant?.ask.askId).to.equal(continued.askId);
});

it('pools: the target of a caller that returns counts from its first attempt', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  const first = buildAsk(0, { contentKey: 'same' });
  const [refusal] = handlePoolEvent(state, { kind: 'asked', ask: first }, 0);
  expect(refusal?.kind).to.equal('refuse');
  const second = buildAsk(2_000, { contentKey: 'same' });
  handlePoolEvent(state, { kind: 'asked', ask: second }, 2_000);
  expect(second.aimAt).to.equal(AIM_MS);
  const other = buildAsk(2_000);
  handlePoolEvent(state, { kind: 'asked', ask: other }, 2_000);
  expect(other.aimAt).to.equal(2_000 + AIM_MS);
});

it('pools: no prefill engine left, so decode engines read only where nobody would pause', () => {
  const state = buildPool([buildEngine('d1'), buildEngine('d2')]);
  const ask = (): PoolAction[] => handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  const grants = [ask(), ask(), ask()].flat().filter(({ kind }) => kind === 'grant');
  expect(grants.map((action) => action.kind === 'grant' && action.prefill)).to.deep.equal([
    undefined,
    undefined,
  ]);
  for (const { ask: granted } of grants) {
    handlePoolEvent(state, { kind: 'prefilled', askId: granted.askId }, 200);
  }
  const punctual = [...state.runs.values()].filter((run) => !run.isLate);
  expect(punctual.length).to.be.at.least(2);
});

it('pools: answers that cannot be on time any more do not keep an engine from reading', () => {
  const state = buildPool([buildEngine('d1')]);
  const late = (): PlaceAsk => buildAsk(0, { aimAt: -1_000, patienceEndsAt: 60_000 });
  const granted: AskId[] = [];
  for (let round = 0; round < 4; round += 1) {
    const now = round * 450;
    const actions = handlePoolEvent(state, { kind: 'asked', ask: late() }, now);
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      granted.push(action.ask.askId);
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, now + 200);
    }
  }
  expect(granted).to.have.length(4);
});

it('pools: where no prefill engine comes back, decode engines read after all', () => {
  const state = buildPool([buildEngine('d1')]);
  let granted = 0;
  for (let now = 20_000; now < 22_700; now += 450) {
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(now) }, now);
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      granted += 1;
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, now + 200);
    }
  }
  expect(granted).to.equal(6);
});

it('pools: where no prefill engine comes back, a long prompt makes few answers late, and no more', () => {
  const countGrants = (now: number, runs: number): number => {
    const state = buildPool([buildEngine('d1')]);
    for (let run = 0; run < runs; run += 1) {
      const at = now - 4_000 + run * 450;
      const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(at) }, at);
      const askId = grant?.ask.askId;
      if (askId !== undefined) handlePoolEvent(state, { kind: 'prefilled', askId }, at + 180);
    }
    const ask = buildAsk(now, { promptTokens: 11_000 });
    const actions = handlePoolEvent(state, { kind: 'asked', ask }, now);
    return actions.filter(({ kind }) => kind === 'grant').length;
  };
  expect(countGrants(10_000, 1)).to.equal(1);
  expect(countGrants(10_000, 3)).to.equal(0);
  expect(countGrants(30_000, 3)).to.equal(1);
  expect(countGrants(30_000, 5)).to.equal(0);
});

it('pools: a prompt whose engine failed says nothing of the speed of engines', () => {
  const state = buildPool(TWO_DECODE);
  const before = state.prefillBusyMs / state.prefillTokens;
  const [grant] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  if (grant?.kind !== 'grant') throw new Error('not granted');
  const { askId } = grant.ask;
  handlePoolEvent(state, { kind: 'ended', askId, didFinish: false }, 5_000);
  const [next] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(5_000) }, 5_000);
  if (next?.kind !== 'grant') throw new Error('not granted');
  handlePoolEvent(state, { kind: 'prefilled', askId: next.ask.askId }, 5_090);
  expect(state.prefillBusyMs / state.prefillTokens).to.be.closeTo(before, 0.001);
});

/** Gives every decode engine answers that would pause if it read a prompt itself. */
function occupyEngines(state: PoolState, asks: number): number {
  let now = 0;
  for (let ask = 0; ask < asks; ask += 1) {
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(now) }, now);
    now += 90;
    for (const action of actions) {
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, now);
    }
  }
  return now;
}

it('pools: prompts are read one after the other', () => {
  const state = buildPool(TWO_DECODE);
  const now = occupyEngines(state, 6);
  const ask = () => handlePoolEvent(state, { kind: 'asked', ask: buildAsk(now) }, now);
  expect([ask(), ask(), ask()].flat()).to.have.length(1);
  expect(handlePoolEvent(state, { kind: 'ticked' }, now + 20)).to.have.length(0);
  expect(handlePoolEvent(state, { kind: 'ticked' }, now + 85)).to.have.length(1);
});

it('pools: a decode engine reads a prompt itself only while it would pause nobody', () => {
  const state = buildPool(TWO_DECODE);
  const grants = [0, 1, 2].flatMap(() =>
    handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0),
  );
  const readers = grants.map((action) => action.kind === 'grant' && action.prefill);
  expect(readers).to.deep.equal(['p', undefined, undefined]);
});

it('pools: memory binds before slots where prompts are long', () => {
  const engines = [PREFILL, buildEngine('d1', { kvCapacityTokens: 72_567 })];
  const state = buildPool(engines);
  let grants = 0;
  for (let ask = 0; ask < 12; ask += 1) {
    const actions = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      grants += 1;
      handlePoolEvent(state, { kind: 'prefilled', askId: action.ask.askId }, 0);
    }
  }
  expect(grants).to.be.within(5, 8);
});

it('pools: an engine that sends nothing gets no new work while it is silent', () => {
  const state = buildPool([PREFILL, buildEngine('d1'), buildEngine('d2')]);
  const silent = { kind: 'engine-failed', upstreamId: 'd1', failure: 'silent' } as const;
  handlePoolEvent(state, { ...silent, upstreamId: 'd1' as UpstreamId }, 0);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(1) }, 1);
  expect(action).to.include({ kind: 'grant', decode: 'd2' });
});

it('pools: an engine that changes its stage gets no work, whoever asks', () => {
  const state = buildPool([PREFILL, buildEngine('d1')]);
  const ordered = { kind: 'engine-ordered', stage: 'prefill', doneBy: 9_000 } as const;
  handlePoolEvent(state, { ...ordered, upstreamId: 'd1' as UpstreamId }, 0);
  const actions = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(1) }, 1);
  expect(actions.some(({ kind }) => kind === 'grant')).to.equal(false);
});

it('pools: an owner that takes over counts the runs of others, and no others', () => {
  const first = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  const [grant] = handlePoolEvent(first, { kind: 'asked', ask: buildAsk(0) }, 0);
  if (grant?.kind !== 'grant') throw new Error('not granted');
  const run = first.runs.get(grant.ask.askId);
  if (run === undefined) throw new Error('no run');
  const second = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  handlePoolEvent(second, { kind: 'runs-announced', vmId: VM, runs: [run] }, 10);
  const ask = buildAsk(20);
  expect(
    handlePoolEvent(second, { kind: 'asked', ask }, 20).some((a) => a.kind === 'grant'),
  ).to.equal(false);
  // The VM's run ended while another VM was the owner: its next list does not name it.
  const late = buildAsk(30);
  handlePoolEvent(second, { kind: 'asked', ask: late }, 30);
  handlePoolEvent(second, { kind: 'runs-announced', vmId: VM, runs: [] }, 40);
  expect(second.runs.has(run.ask.askId)).to.equal(false);
});

it('pools: a server that starts again under its id holds nothing of before', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  const engines = [PREFILL, buildEngine('d1', { slots: 1, incarnation: 2 })];
  handlePoolEvent(state, { kind: 'engines-listed', engines }, 10);
  expect(state.runs.size).to.equal(0);
});

it('pools: a withdrawn ask frees its place', () => {
  const state = buildPool([PREFILL, buildEngine('d1', { slots: 1 })]);
  const ask = buildAsk(0);
  handlePoolEvent(state, { kind: 'asked', ask }, 0);
  handlePoolEvent(state, { kind: 'withdrawn', askId: ask.askId }, 5);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(6) }, 6);
  expect(action?.kind).to.equal('grant');
});

it('pools: without a decode engine the refusal comes at once', () => {
  const state = buildPool([PREFILL]);
  const [action] = handlePoolEvent(state, { kind: 'asked', ask: buildAsk(0) }, 0);
  expect(action).to.include({ kind: 'refuse', reason: 'no-engine' });
});
