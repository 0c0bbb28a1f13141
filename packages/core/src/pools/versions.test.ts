import type { SoftwareVersion } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type PoolAction, type SlotRequest } from './index.js';
import { buildEngine, buildPool, buildSlotRequest, PREFILL } from './pool-test-kit.js';

const V1 = 'v1' as SoftwareVersion;
const V2 = 'v1.1' as SoftwareVersion;
const OLD = buildEngine('old', { softwareVersion: V1, slots: 2 });
const NEW = buildEngine('new', { softwareVersion: V2, slots: 2 });

function request(
  state: ReturnType<typeof buildPool>,
  now: number,
  changes: Partial<SlotRequest>,
): PoolAction[] {
  const slotRequest = buildSlotRequest(now, changes);
  return handlePoolEvent(state, { kind: 'asked', ask: slotRequest }, now);
}

const RESUMED = { softwareVersion: V2, isContinued: true };

// Guards against a slot for a stream at an engine of another software version.
it('versions: a stream that goes on gets a slot at its software version only, or waits for one', () => {
  const state = buildPool([PREFILL, OLD, NEW]);
  const actions: PoolAction[] = [];
  for (let now = 0; now < 3; now += 1) actions.push(...request(state, 1_000 * now, RESUMED));
  const decodes = actions.map((action) =>
    action.kind === 'grant' ? action.decode : action.reason,
  );
  expect(decodes).to.deep.equal(['new', 'new']);
  expect(state.waiting.size).to.equal(1);
});

it('versions: a stream whose software version no engine has is refused at once', () => {
  const state = buildPool([PREFILL, OLD]);
  const [action] = request(state, 0, RESUMED);
  expect(action).to.include({ kind: 'refuse', reason: 'no-engine' });
});

it('versions: a stream that waits for its software version is refused when the last engine of it leaves', () => {
  const state = buildPool([PREFILL, OLD, NEW]);
  for (let now = 0; now < 3; now += 1) request(state, 1_000 * now, RESUMED);
  const engines = [PREFILL, OLD, { ...NEW, isLeaving: true }];
  const actions = handlePoolEvent(state, { kind: 'engines-listed', engines }, 3_000);
  expect(actions.map(({ kind }) => kind)).to.deep.equal(['refuse']);
});

// Guards against callers with half an answer that come after new ones.
it('versions: a stream that goes on gets a free slot before a new one that waits', () => {
  const state = buildPool([PREFILL, NEW]);
  const first = [...request(state, 0, {}), ...request(state, 500, {})];
  expect(first.map(({ kind }) => kind)).to.deep.equal(['grant', 'grant']);
  request(state, 1_000, { isContinued: false, aimAt: 9_000, patienceEndsAt: 9_000 });
  request(state, 1_010, { ...RESUMED, patienceEndsAt: 9_000 });
  const [{ ask }] = first as [PoolAction];
  const ended = { kind: 'ended', askId: ask.askId, didFinish: true } as const;
  const [next] = handlePoolEvent(state, ended, 1_500);
  expect(next?.ask.softwareVersion).to.equal(V2);
});

// A stream that only a full engine may continue kept late streams from the free slots of all others.
it('versions: a stream that waits for its software version does not keep late streams from free slots of another one', () => {
  const slots = 6;
  const state = buildPool([PREFILL, { ...OLD, slots }, { ...NEW, slots: 1 }]);
  const wait = { patienceEndsAt: 9_000 } as const;
  expect(request(state, 0, RESUMED)).to.have.length(1);
  expect(request(state, 500, { ...RESUMED, ...wait })).to.deep.equal([]);
  const [late] = request(state, 1_000, { aimAt: 900, ...wait });
  expect(late).to.include({ kind: 'grant', decode: OLD.upstreamId });
  // One that any engine may serve still goes first.
  for (let now = 1_500; state.waiting.size < 2; now += 500) {
    request(state, now, { isContinued: true, ...wait });
  }
  const old = [...state.runs.values()].find(({ decode }) => decode === OLD.upstreamId);
  if (old === undefined) throw new Error('no answer');
  const { askId } = old.ask;
  const [next] = handlePoolEvent(state, { kind: 'ended', askId, didFinish: true }, 5_000);
  expect(next?.ask.isContinued).to.equal(true);
});
