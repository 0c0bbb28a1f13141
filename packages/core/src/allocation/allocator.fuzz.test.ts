import { expect } from 'chai';
import fc from 'fast-check';
import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  EngineHold,
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

/**
 * One random step: `eventKind` selects the kind of event, `subject` what it is about, and
 * `waitMs` passes before it.
 */
type Step = { readonly eventKind: number; readonly subject: number; readonly waitMs: number };

/** State of the allocator as an outside observer derives it from events and actions. */
type Oracle = {
  /** Requests that have been neither answered nor withdrawn. */
  readonly open: Map<AttemptId, ReservationRequest>;
  readonly live: Map<AttemptId, { ask: ReservationRequest; grant: ReservationGrant }>;
  readonly past: ReservationGrant[];
  /** Attempts that were withdrawn or ended; a delayed request for one is dropped. */
  readonly closed: Set<AttemptId>;
  asks: number;
};

const SLOTS_PER_ENGINE = 2;
const MAX_BORROWED_SLOTS = { tail: 0, crest: 4 } as const;
const EXPIRY_GRACE_MS = 2_000;
const IDLE_MS = 60_000;
const STEP_KINDS = 14;

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  eventKind: fc.nat(STEP_KINDS * 2),
  subject: fc.nat(1_000),
  waitMs: fc.oneof(
    { weight: 8, arbitrary: fc.nat(60) },
    { weight: 1, arbitrary: fc.nat(3_000) },
    { weight: 1, arbitrary: fc.constant(12_000) },
  ),
});

function makeRandomRequest(oracle: Oracle, subject: number, now: number): ReservationRequest {
  oracle.asks += 1;
  const resumes = subject % 11 === 0 ? { resumeFrom: 'd0' as UpstreamId } : {};
  const [liveAttemptId] = oracle.live.keys();
  const moves =
    subject % 13 === 0 && liveAttemptId !== undefined ? { movesFrom: liveAttemptId } : {};
  return makeReservationRequest(`r${oracle.asks}`, now, {
    vmId: `vm-${subject % 3}` as VmId,
    incarnation: (subject % 2) as Incarnation,
    callerId: `caller-${subject % 4}` as ReservationRequest['callerId'],
    priority: subject % 10,
    promptTokens: 100 + subject * 10,
    firstTokenDeadline: now + 100 + (subject % 7) * 300,
    answerDeadline: now + 2_500 + (subject % 5) * 1_000,
    excluded: subject % 5 === 0 ? ['d1' as UpstreamId] : [],
    ...resumes,
    ...moves,
  });
}

function pickGrant(oracle: Oracle, subject: number): ReservationGrant | undefined {
  return oracle.past[subject % Math.max(1, oracle.past.length)];
}

function makeEnd(oracle: Oracle, subject: number): AttemptEnd | undefined {
  const grant = pickGrant(oracle, subject);
  if (grant === undefined) return undefined;
  const { reservationId, attemptId } = grant;
  const outcomes = ['answered', 'cancelled', 'prefill-failed', 'decode-failed', 'unused'] as const;
  const outcome = outcomes[subject % outcomes.length] ?? 'unused';
  const times = subject % 2 === 0 ? { prefillMs: subject % 300, cachedTokens: 0, importMs: 9 } : {};
  return { reservationId, attemptId, outcome, tokens: subject % 50, ...times };
}

function makeProgress(oracle: Oracle, subject: number, now: number): AttemptProgress | undefined {
  const grant = pickGrant(oracle, subject);
  if (grant === undefined) return undefined;
  const { reservationId, attemptId, decode: upstreamId } = grant;
  const stage = (['prefill', 'import', 'decode'] as const)[subject % 3] ?? 'decode';
  return { reservationId, attemptId, upstreamId, stage, tokens: subject % 40, movedAt: now - 20 };
}

function makeReports(now: number): AllocatorEvent[] {
  const parts = {
    role: 'decode',
    decodePlaces: SLOTS_PER_ENGINE,
    decodeStreams: 0,
    totalPieces: 1_000,
  };
  const report = { ...parts, measuredAt: now } as LoadReport;
  return (['d0', 'd1'] as UpstreamId[]).map((upstreamId) => ({
    kind: 'load-reported',
    upstreamId,
    report,
    now,
  }));
}

function makeEvents(oracle: Oracle, { eventKind, subject }: Step, now: number): AllocatorEvent[] {
  const upstreamId = `d${subject % 2}` as UpstreamId;
  switch (eventKind) {
    case 0: {
      const end = makeEnd(oracle, subject);
      return end === undefined ? [] : [{ kind: 'attempt-ended', items: [end, end], now }];
    }
    case 1: {
      const item = makeProgress(oracle, subject, now);
      return item === undefined ? [] : [{ kind: 'progressed', items: [item, item], now }];
    }
    case 2: {
      const attemptId = `r${1 + (subject % (oracle.asks + 2))}.1` as AttemptId;
      return [{ kind: 'withdrawn', attemptId, now }];
    }
    case 3: {
      const incarnation = (subject % 2) as Incarnation;
      return [{ kind: 'vm-gone', vmId: `vm-${subject % 3}` as VmId, incarnation, now }];
    }
    case 4: {
      const engines = makeEngines(3, 2).filter((_, index) => index !== subject % 9);
      return [{ kind: 'engines-listed', engines, now }, ...makeReports(now)];
    }
    case 5: {
      const [reservationRequest] = [
        ...oracle.open.values(),
        ...[...oracle.live.values()].map((each) => each.ask),
      ];
      return reservationRequest === undefined
        ? []
        : [{ kind: 'asked', ask: reservationRequest, now }];
    }
    case 6: {
      const owner = { attemptId: `x${subject % 3}`, deadline: now + 500 };
      const holds = [{ owner, kind: 'decode', pieces: 3 }] as unknown as EngineHold[];
      return [{ kind: 'holds-listed', upstreamId, holds: subject % 2 === 0 ? holds : [], now }];
    }
    case 7: {
      const prefixes = [`h${subject % 5}` as ReservationRequest['prefixes'][number]];
      const events = [{ sequence: subject % 40, kind: 'stored', prefixes } as const];
      return [{ kind: 'cache-changed', upstreamId: 'p0' as UpstreamId, events, now }];
    }
    case 8: {
      const [live] = oracle.live.values();
      if (live === undefined) return [];
      const held = { ...live, stage: 'decode', tokens: 2 } as const;
      return [{ kind: 'held-announced', items: [held, held], now }];
    }
    case 9:
    case 10:
    case 11:
      return [{ kind: 'ticked', now }];
    default:
      return [{ kind: 'asked', ask: makeRandomRequest(oracle, subject, now), now }];
  }
}

function observeEvent(oracle: Oracle, event: AllocatorEvent): void {
  const { now } = event;
  for (const [attemptId, { ask: reservationRequest }] of oracle.live) {
    if (now <= reservationRequest.answerDeadline) continue;
    oracle.closed.add(attemptId);
    if (now > reservationRequest.answerDeadline + EXPIRY_GRACE_MS) oracle.live.delete(attemptId);
  }
  if (event.kind === 'attempt-ended') {
    for (const { attemptId } of event.items) {
      oracle.closed.add(attemptId);
      oracle.live.delete(attemptId);
    }
  }
  if (event.kind === 'withdrawn') {
    oracle.closed.add(event.attemptId);
    oracle.open.delete(event.attemptId);
    oracle.live.delete(event.attemptId);
  }
  if (event.kind === 'vm-gone') {
    const isGone = (request: ReservationRequest) =>
      request.vmId === event.vmId && request.incarnation <= event.incarnation;
    for (const [id, request] of oracle.open) if (isGone(request)) oracle.open.delete(id);
    for (const [id, { ask: request }] of oracle.live) if (isGone(request)) oracle.live.delete(id);
  }
}

/**
 * Checks that an answer belongs to an open request, or to a closed attempt that was requested again
 * much later.
 */
function checkAnswer(oracle: Oracle, attemptId: AttemptId): void {
  const isExpected = oracle.open.delete(attemptId) || oracle.closed.has(attemptId);
  expect(isExpected, 'one answer per request').to.equal(true);
}

function checkAction(oracle: Oracle, action: AllocatorAction, limit: number, now: number): void {
  expect(action.kind, JSON.stringify(action)).not.to.equal('report-violation');
  if (action.kind === 'refuse') {
    expect(action.refusal.ran).to.equal('not-run');
    checkAnswer(oracle, action.attemptId);
  }
  if (action.kind !== 'grant') return;
  const { ask: reservationRequest, grant } = action;
  if (oracle.live.has(reservationRequest.attemptId)) return;
  checkAnswer(oracle, reservationRequest.attemptId);
  expect(now, 'granted before the answer deadline').to.be.at.most(
    reservationRequest.answerDeadline,
  );
  expect(reservationRequest.excluded, 'not excluded').not.to.include(grant.decode);
  oracle.live.set(reservationRequest.attemptId, { ask: reservationRequest, grant });
  oracle.past.push(grant);
  const takenSlots = [...oracle.live.values()].filter((each) => each.grant.decode === grant.decode);
  expect(takenSlots.length, `slots of ${grant.decode}`).to.be.at.most(limit);
}

function checkIdle(state: AllocatorState, oracle: Oracle): void {
  if (state.kind !== 'shard') throw new Error('not the state of a shard allocator');
  expect(state.queue.items, 'no waiting requests').to.deep.equal([]);
  expect(state.queue.countByCaller.size).to.equal(0);
  expect([...oracle.open.keys()], 'every request answered').to.deep.equal([]);
  expect(state.reservations.size + state.reservationsByAttempt.size).to.equal(0);
  for (const engine of state.pool.byId.values()) {
    const { streams, prefills, decodingStreams, reservedPieces, unaccounted } = engine;
    const usage = [
      streams.size,
      prefills.length,
      decodingStreams,
      reservedPieces,
      unaccounted.size,
    ];
    expect(usage, `${engine.upstreamId} is free`).to.deep.equal([0, 0, 0, 0, 0]);
  }
}

function runSteps(objective: 'tail' | 'crest', steps: readonly Step[]): void {
  const state = makeAllocatorState(makeOptions({ objective }));
  const oracle: Oracle = {
    open: new Map(),
    live: new Map(),
    past: [],
    closed: new Set(),
    asks: 0,
  };
  let now = START;
  const run = (event: AllocatorEvent): void => {
    observeEvent(oracle, event);
    const isNew =
      event.kind === 'asked' &&
      !oracle.live.has(event.ask.attemptId) &&
      !oracle.closed.has(event.ask.attemptId);
    if (isNew) {
      oracle.open.set(event.ask.attemptId, event.ask);
    }
    for (const action of handleAllocatorEvent(state, event)) {
      checkAction(oracle, action, SLOTS_PER_ENGINE + MAX_BORROWED_SLOTS[objective], now);
    }
  };
  run({ kind: 'engines-listed', engines: makeEngines(3, 2), now });
  for (const event of makeReports(now)) run(event);
  for (const step of steps) {
    now += step.waitMs;
    for (const event of makeEvents(oracle, step, now)) run(event);
  }
  run({ kind: 'engines-listed', engines: makeEngines(3, 2), now });
  for (const event of makeReports(now)) run(event);
  for (let at = 0; at < IDLE_MS; at += 500) {
    now += 500;
    run({ kind: 'ticked', now });
  }
  checkIdle(state, oracle);
}

for (const objective of ['tail', 'crest'] as const) {
  it(`allocator fuzz: slots stay within bounds, each request gets one answer, everything is freed when idle (${objective})`, () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
        runSteps(objective, steps);
      }),
    );
  });
}
