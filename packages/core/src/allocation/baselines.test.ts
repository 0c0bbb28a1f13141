import { expect } from 'chai';
import type { AttemptEnd, LoadReport, UpstreamId } from '@tarragonspool/protocol';
import { handleAllocatorEvent, makeAllocatorState } from './allocator.js';
import type { AllocatorAction, AllocatorOptions } from './allocator-events.js';
import { makeEngines, makeOptions, makeReservationRequest, START } from './builders.test.js';

function makeState(policy: AllocatorOptions['policy'], decodes = 3) {
  const state = makeAllocatorState(makeOptions({ policy }));
  const engines = makeEngines(3, decodes);
  handleAllocatorEvent(state, { kind: 'engines-listed', engines, now: START });
  return state;
}

function getGrant([action]: AllocatorAction[]) {
  if (action?.kind !== 'grant') throw new Error(`expected a grant, got the action ${action?.kind}`);
  return action.grant;
}

function requestReservation(state: ReturnType<typeof makeState>, name: string, parts = {}) {
  return handleAllocatorEvent(state, {
    kind: 'asked',
    ask: makeReservationRequest(name, START, parts),
    now: START,
  });
}

it('baselines: round robin uses the engines in turn', () => {
  const state = makeState('round-robin');
  const usedEngines = ['a', 'b', 'c', 'd'].map(
    (name) => getGrant(requestReservation(state, name)).prefill,
  );
  expect(usedEngines).to.deep.equal(['p0', 'p1', 'p2', 'p0']);
});

it('baselines: least outstanding counts a duplicate end of an attempt once', () => {
  const state = makeState('least-outstanding');
  const first = getGrant(requestReservation(state, 'a'));
  requestReservation(state, 'b');
  requestReservation(state, 'c');
  const { reservationId, attemptId } = first;
  const end: AttemptEnd = { reservationId, attemptId, outcome: 'answered', tokens: 3 };
  handleAllocatorEvent(state, { kind: 'attempt-ended', items: [end, end], now: START });
  expect(getGrant(requestReservation(state, 'd')).decode).to.equal(first.decode);
  expect(getGrant(requestReservation(state, 'e')).decode).not.to.equal(undefined);
});

it('baselines: two choices avoids the engine that reports more load', () => {
  const state = makeState('two-choices', 2);
  const report = { role: 'decode', decodeStreams: 9, measuredAt: START } as LoadReport;
  const upstreamId = 'd0' as UpstreamId;
  handleAllocatorEvent(state, { kind: 'load-reported', upstreamId, report, now: START });
  for (const name of ['a', 'b', 'c', 'd']) {
    expect(getGrant(requestReservation(state, name)).decode).to.equal('d1');
  }
});

it('baselines: two choices refuse an `ask` that no engine can serve, as not run', () => {
  const excluded = ['d0', 'd1', 'd2'];
  const [action] = requestReservation(makeState('two-choices'), 'a', { excluded });
  expect(action).to.deep.include({ kind: 'refuse' });
  expect(action).to.have.nested.property('refusal.ran', 'not-run');
});
