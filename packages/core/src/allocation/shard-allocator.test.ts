import { expect } from 'chai';
import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  EngineHold,
  HeldReservation,
  Incarnation,
  LoadReport,
  ReservationRequest,
  ReservationGrant,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { type AllocatorState, handleAllocatorEvent, makeAllocatorState } from './allocator.js';
import type { AllocatorAction, AllocatorEvent } from './allocator-events.js';
import { makeEngines, makeOptions, makeReservationRequest, START } from './builders.test.js';

/** An event without its time, which the runner adds. */
type Untimed<E> = E extends AllocatorEvent ? Omit<E, 'now'> : never;

function makeRunner(prefills: number, decodes: number, options = {}) {
  const state: AllocatorState = makeAllocatorState(makeOptions(options));
  const run = (event: Untimed<AllocatorEvent>, now: number): AllocatorAction[] =>
    handleAllocatorEvent(state, { ...event, now });
  run({ kind: 'engines-listed', engines: makeEngines(prefills, decodes) }, START - 10_000);
  const requestReservation = (name: string, now: number, parts: Partial<ReservationRequest> = {}) =>
    run({ kind: 'asked', ask: makeReservationRequest(name, now, parts) }, now);
  return { state, run, ask: requestReservation };
}

function findGrant(actions: readonly AllocatorAction[]): ReservationGrant | undefined {
  for (const action of actions) {
    if (action.kind === 'grant') return action.grant;
  }
  return undefined;
}

function listRefusals(actions: readonly AllocatorAction[]): string[] {
  return actions.flatMap((action) => (action.kind === 'refuse' ? [action.refusal.name] : []));
}

function makeEnd(grant: ReservationGrant, parts: Partial<AttemptEnd> = {}): AttemptEnd {
  const { reservationId, attemptId } = grant;
  return { reservationId, attemptId, outcome: 'answered', tokens: 40, ...parts };
}

/**
 * Runs requests one after the other until there are enough samples to refuse on the basis of the
 * estimates.
 */
function trainEstimates(
  { ask: requestReservation, run }: ReturnType<typeof makeRunner>,
  prefillMs = 204,
): void {
  for (let index = 0; index < 6; index += 1) {
    const at = START - 9_000 + index * 1_000;
    const grant = findGrant(requestReservation(`t${index}`, at));
    if (grant === undefined) throw new Error('the allocator returned no grant');
    const end = makeEnd(grant, { prefillMs, cachedTokens: 0, importMs: 44 });
    run({ kind: 'attempt-ended', items: [end] }, at + 900);
  }
}

it('allocator: grants prefill and decode together when both are free', () => {
  const grant = findGrant(makeRunner(1, 1).ask('a', START));
  expect(grant).to.include({ prefill: 'p0', decode: 'd0', prefillAt: START });
});

it('allocator: queues while the prefill engine is busy and grants just before it is free', () => {
  const runner = makeRunner(1, 1);
  trainEstimates(runner);
  const first = findGrant(runner.ask('a', START));
  expect(first).not.to.equal(undefined);
  expect(runner.ask('b', START + 1)).to.deep.equal([]);
  expect(runner.run({ kind: 'ticked' }, START + 20)).to.deep.equal([]);
  expect(findGrant(runner.run({ kind: 'ticked' }, START + 180))?.attemptId).to.equal('b.1');
});

it('allocator: starts no prefill while no decode slot is free', () => {
  const runner = makeRunner(40, 1);
  const grants = Array.from({ length: 21 }, (_, index) =>
    findGrant(runner.ask(`a${index}`, START)),
  );
  expect(grants.filter((grant) => grant !== undefined)).to.have.lengthOf(20);
  const [first] = grants;
  if (first === undefined) throw new Error('the allocator returned no grant');
  const actions = runner.run({ kind: 'attempt-ended', items: [makeEnd(first)] }, START + 50);
  expect(findGrant(actions)?.attemptId).to.equal('a20.1');
});

it('allocator: an `ask` that waits for one engine does not block one that can use another', () => {
  const runner = makeRunner(2, 2);
  trainEstimates(runner);
  const excluded = ['p1' as UpstreamId];
  expect(findGrant(runner.ask('a', START, { excluded }))?.prefill).to.equal('p0');
  expect(findGrant(runner.ask('b', START, { excluded, priority: 9 }))).to.equal(undefined);
  expect(findGrant(runner.ask('c', START, { priority: 0 }))?.prefill).to.equal('p1');
});

it('allocator: refuses an `ask` that cannot meet its deadline, at once and as not run', () => {
  const runner = makeRunner(1, 1);
  trainEstimates(runner);
  const [action] = runner.ask('a', START, { firstTokenDeadline: START + 150 });
  expect(action).to.have.nested.property('refusal.name', 'deadline-unreachable');
  expect(action).to.have.nested.property('refusal.ran', 'not-run');
  expect(action).to.have.nested.property('refusal.retryAt').above(START);
});

it('allocator: refuses the last requests of a burst, whose place in the queue is too late for their deadlines', () => {
  const runner = makeRunner(1, 1);
  trainEstimates(runner);
  const refused = Array.from({ length: 12 }, (_, index) => runner.ask(`a${index}`, START)).flatMap(
    listRefusals,
  );
  expect(refused.length).to.be.within(6, 9);
});

it('allocator: refuses a waiting `ask` request on the first tick at which its deadline is unreachable', () => {
  const runner = makeRunner(1, 1);
  trainEstimates(runner);
  runner.ask('a', START);
  expect(runner.ask('b', START)).to.deep.equal([]);
  runner.run(
    { kind: 'engines-listed', engines: makeEngines(1, 1).map((e) => ({ ...e, isLeaving: true })) },
    START + 20,
  );
  expect(listRefusals(runner.run({ kind: 'ticked' }, START + 40))).to.deep.equal([
    'deadline-unreachable',
  ]);
});

it('allocator: a higher priority is granted first', () => {
  const runner = makeRunner(1, 1);
  trainEstimates(runner);
  runner.ask('a', START);
  runner.ask('low', START, { priority: 1 });
  runner.ask('high', START, { priority: 8 });
  expect(findGrant(runner.run({ kind: 'ticked' }, START + 180))?.attemptId).to.equal('high.1');
});

it('allocator: one caller cannot keep the others out of the queue', () => {
  const runner = makeRunner(1, 1);
  trainEstimates(runner);
  for (let index = 0; index < 20; index += 1) runner.ask(`a${index}`, START);
  const actions = runner.ask('b', START + 1, {
    callerId: 'caller-2' as ReservationRequest['callerId'],
  });
  expect(actions).to.have.lengthOf(1);
  expect(actions[0]).to.include({ kind: 'refuse' });
  expect(actions[0]).to.have.nested.property('refusal.name', 'share-exceeded');
  expect(actions[0]).to.have.property('requestId').match(/^a/);
});

it('allocator: never grants a leaving engine, and refuses the `ask` immediately', () => {
  const runner = makeRunner(1, 1);
  const engines = makeEngines(1, 1).map((engine) => ({ ...engine, isLeaving: true }));
  runner.run({ kind: 'engines-listed', engines }, START);
  runner.run({ kind: 'engines-listed', engines: makeEngines(1, 1) }, START + 1);
  expect(listRefusals(runner.ask('a', START + 2))).to.deep.equal(['no-upstream']);
});

it('allocator: a repeated `ask` gets the same grant, and no answer after its end', () => {
  const runner = makeRunner(1, 1);
  const grant = findGrant(runner.ask('a', START));
  if (grant === undefined) throw new Error('the allocator returned no grant');
  expect(findGrant(runner.ask('a', START + 1))).to.equal(grant);
  runner.run({ kind: 'attempt-ended', items: [makeEnd(grant), makeEnd(grant)] }, START + 9);
  expect(runner.ask('a', START + 10)).to.deep.equal([]);
});

it('allocator: an `ask` that arrives after its withdrawal is dropped', () => {
  const runner = makeRunner(1, 1);
  runner.run({ kind: 'withdrawn', attemptId: 'a.1' as AttemptId }, START);
  expect(runner.ask('a', START + 1)).to.deep.equal([]);
});

it('allocator: frees the reservations of a VM that is gone, of that incarnation only', () => {
  const runner = makeRunner(40, 1);
  for (let index = 0; index < 20; index += 1) {
    const incarnation = (index < 19 ? 1 : 2) as Incarnation;
    runner.ask(`a${index}`, START, { incarnation });
  }
  const vmId = 'vm-1' as VmId;
  runner.run({ kind: 'vm-gone', vmId, incarnation: 1 as Incarnation }, START + 1);
  if (runner.state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  expect(runner.state.reservations.size).to.equal(1);
});

it('allocator: frees a reservation whose end message never arrives', () => {
  const runner = makeRunner(1, 1);
  runner.ask('a', START);
  runner.run({ kind: 'ticked' }, START + 20_000);
  if (runner.state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  expect(runner.state.reservations.size).to.equal(0);
});

it('allocator: a resume reserves a decode slot only', () => {
  const runner = makeRunner(1, 2);
  const resumeFrom = 'd0' as UpstreamId;
  const grant = findGrant(runner.ask('a', START, { resumeFrom, excluded: [resumeFrom] }));
  expect(grant).to.include({ prefill: 'd0', decode: 'd1' });
});

it('allocator: while it rebuilds, reported streams without a reservation take slots', () => {
  const state = makeAllocatorState(makeOptions());
  const now = START;
  handleAllocatorEvent(state, { kind: 'engines-listed', engines: makeEngines(1, 1), now });
  const report = { role: 'decode', decodePlaces: 20, decodeStreams: 20, totalPieces: 1_000 };
  handleAllocatorEvent(state, {
    kind: 'load-reported',
    upstreamId: 'd0' as UpstreamId,
    report: { ...report, measuredAt: now } as LoadReport,
    now,
  });
  const reservationRequest = makeReservationRequest('a', now);
  expect(
    handleAllocatorEvent(state, { kind: 'asked', ask: reservationRequest, now }),
  ).to.deep.equal([]);
  const actions = handleAllocatorEvent(state, {
    kind: 'holds-listed',
    upstreamId: 'd0' as UpstreamId,
    holds: [],
    now: now + 50,
  });
  const laterActions = handleAllocatorEvent(state, { kind: 'ticked', now: now + 60 });
  expect(findGrant([...actions, ...laterActions])?.attemptId).to.equal('a.1');
});

it('allocator: holds that belong to no reservation count as taken until their deadline', () => {
  const runner = makeRunner(40, 1);
  const holds = Array.from({ length: 19 }, (_, index) => ({
    owner: { attemptId: `x${index}.1`, deadline: START + 1_000 },
    kind: 'decode',
    pieces: 9,
  })) as unknown as EngineHold[];
  runner.run({ kind: 'holds-listed', upstreamId: 'd0' as UpstreamId, holds }, START);
  expect(findGrant(runner.ask('a', START))?.decode).to.equal('d0');
  expect(findGrant(runner.ask('b', START, { firstTokenDeadline: START + 5_000 }))).to.equal(
    undefined,
  );
  expect(findGrant(runner.run({ kind: 'ticked' }, START + 4_000))?.attemptId).to.equal('b.1');
});

it('allocator: a new allocator takes over announced reservations and does not grant them again', () => {
  const previous = makeRunner(1, 1);
  const reservationRequest = makeReservationRequest('a', START);
  const grant = findGrant(previous.run({ kind: 'asked', ask: reservationRequest }, START));
  if (grant === undefined) throw new Error('the allocator returned no grant');
  const successor = makeRunner(1, 1);
  const held: HeldReservation = { grant, ask: reservationRequest, stage: 'decode', tokens: 3 };
  successor.run({ kind: 'held-announced', items: [held, held] }, START + 300);
  if (successor.state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  expect(successor.state.reservations.size).to.equal(1);
  successor.run({ kind: 'attempt-ended', items: [makeEnd(grant)] }, START + 400);
  successor.run({ kind: 'held-announced', items: [held] }, START + 401);
  expect(successor.state.reservations.size).to.equal(0);
});

/** Makes the progress report of a VM for a stream that has reached a number of tokens. */
function makeProgress(
  grant: ReservationGrant,
  tokens: number,
  progressedAt: number,
): AttemptProgress {
  const { reservationId, attemptId, decode } = grant;
  return {
    reservationId,
    attemptId,
    upstreamId: decode,
    stage: 'decode',
    tokens,
    movedAt: progressedAt,
  };
}

/**
 * Runs one stream per decode engine with one token per 30 ms; those on the `stalled` engines stop
 * at 600 ms.
 */
function runStreams(runner: ReturnType<typeof makeRunner>, stalled: readonly string[]) {
  const grants = ['a', 'b', 'c', 'd'].flatMap((name) => findGrant(runner.ask(name, START)) ?? []);
  for (let at = 300; at <= 900; at += 30) {
    const items = grants.map((grant) => {
      const progressedAt = stalled.includes(grant.decode) ? Math.min(at, 600) : at;
      return makeProgress(grant, progressedAt / 30, START + progressedAt);
    });
    runner.run({ kind: 'progressed', items }, START + at);
    runner.run({ kind: 'ticked' }, START + at);
  }
  return grants;
}

it('stragglers: new work avoids a stalled decode engine within a few token times', () => {
  const runner = makeRunner(8, 4);
  runStreams(runner, ['d1']);
  const decodes = Array.from({ length: 4 }, (_, index) =>
    findGrant(runner.ask(`n${index}`, START + 900)),
  ).map((grant) => grant?.decode);
  expect(decodes).to.have.lengthOf(4).and.not.include('d1').and.not.include(undefined);
});

it('stragglers: no engine is suspect if the whole pool stalls', () => {
  const runner = makeRunner(8, 4);
  runStreams(runner, ['d0', 'd1', 'd2', 'd3']);
  const { state } = runner;
  if (state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  expect(state.pool.decode.filter(({ isSuspect }) => isSuspect)).to.deep.equal([]);
});

it('stragglers: an engine that makes progress again is no longer suspect', () => {
  const runner = makeRunner(8, 4);
  const grants = runStreams(runner, ['d1']);
  for (let at = 930; at <= 1_400; at += 30) {
    const items = grants.map((grant) => makeProgress(grant, at / 30, START + at));
    runner.run({ kind: 'progressed', items }, START + at);
    runner.run({ kind: 'ticked' }, START + at);
  }
  const { state } = runner;
  if (state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  expect(state.pool.decode.filter(({ isSuspect }) => isSuspect)).to.deep.equal([]);
});

it('stragglers: a stalled stream may be moved, one that makes progress stays on its engine', () => {
  const runner = makeRunner(8, 4);
  const grants = runStreams(runner, ['d1']);
  const requestMove = (decode: string) => {
    const grant = grants.find((each) => each.decode === decode);
    if (grant === undefined) throw new Error('the allocator returned no grant');
    return runner.ask(`${decode}-move`, START + 901, {
      movesFrom: grant.attemptId,
      resumeFrom: grant.decode,
      excluded: [grant.decode],
    });
  };
  expect(findGrant(requestMove('d1'))).to.include({ prefill: 'd1' });
  expect(listRefusals(requestMove('d2'))).to.deep.equal(['no-upstream']);
});

it('stragglers: a started prefill is moved only within the budget for wasted work', () => {
  const runner = makeRunner(2, 2);
  trainEstimates(runner);
  const grant = findGrant(runner.ask('a', START));
  if (grant === undefined) throw new Error('the allocator returned no grant');
  const requestMove = (name: string) =>
    runner.ask(name, START + 600, { movesFrom: grant.attemptId, excluded: [grant.prefill] });
  expect(listRefusals(requestMove('x'))).to.deep.equal(['no-upstream']);
  if (runner.state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  runner.state.moves.grantedTokens = 400_000;
  expect(findGrant(requestMove('y'))?.prefill).not.to.equal(grant.prefill);
});
