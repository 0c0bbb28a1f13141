import { makeUpstreamList, type UpstreamRecord } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { pino } from 'pino';
import { makeAnswerEnds } from '../answer-ends/answer-ends.js';
import { makeServerConnections } from '../answer-ends/server-connections.js';
import type { PoolTaskMessage } from '../pools/pool-task.js';
import { makeChannel, offer, receive, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { UpstreamEvent } from '../upstreams/upstream-client.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { HELD_LIMITS } from '../intake/held-limits-test-kit.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { SendPlan } from './sender.js';
import { runStreamRequest } from './stream-flow.js';

/** How a run of an engine goes; times are in milliseconds. */
type RunScript = {
  readonly headMs: number;
  readonly gapMs: number;
  /** The engine is silent for `silentMs` after this many events. */
  readonly silentAfter: number;
  readonly silentMs: number;
  /** Events that come in one piece. */
  readonly eventsPerPiece: number;
  /** Bytes of an event that come with the next one. */
  readonly lateBytes: number;
  /** `dies` closes the connection between two events, as the kernel does for a process that ended. */
  readonly end: 'whole' | 'reset' | 'reset-in-event' | 'dies' | 'refused' | 'unreached';
  /** What tells the end of its answer. */
  readonly framing: 'chunks' | 'connection';
  /** How many events from the right place it begins, if it was asked to go on after some. */
  readonly shift: number;
  /** Events after which it ends, unless it ends whole. */
  readonly endAfter: number;
};

type Course = {
  readonly runs: readonly RunScript[];
  readonly events: number;
  readonly maxAttempts: number;
  /** The caller takes nothing for `stallMs` after this many writes. */
  readonly stallAfter: number;
  readonly stallMs: number;
  /** The caller has events up to this one. */
  readonly hasUpTo: number;
};

/** Around the times after which a silent engine is given up, so that it wakes as another one takes over. */
const SILENCES_MS = fc.oneof(
  fc.constant(0),
  fc.integer({ min: 1_150, max: 1_300 }),
  fc.integer({ min: 1_450, max: 1_650 }),
  fc.integer({ min: 1_000, max: 3_000 }),
);
const SOUND_RUN = {
  headMs: fc.oneof(fc.integer({ min: 0, max: 40 }), SILENCES_MS),
  gapMs: fc.integer({ min: 0, max: 80 }),
  silentAfter: fc.integer({ min: 0, max: 10 }),
  silentMs: SILENCES_MS,
  eventsPerPiece: fc.integer({ min: 1, max: 3 }),
  lateBytes: fc.constantFrom(0, 0, 1, 2, 9),
  end: fc.constantFrom<RunScript['end'][]>(
    'whole',
    'whole',
    'whole',
    'reset',
    'reset-in-event',
    'refused',
    'unreached',
  ),
  endAfter: fc.integer({ min: 0, max: 10 }),
  framing: fc.constant('chunks' as const),
  shift: fc.constant(0),
};
/** Runs that begin in another place than they were asked to, and engines that die without a word. */
const FAULTY_RUN = {
  ...SOUND_RUN,
  end: fc.oneof(SOUND_RUN.end, fc.constant('dies' as const)),
  framing: fc.constantFrom<RunScript['framing'][]>('chunks', 'chunks', 'connection'),
  shift: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, -2, -1, 1, 2),
};

function buildCourses(run: fc.Arbitrary<RunScript>): fc.Arbitrary<Course> {
  return fc.record({
    runs: fc.array(run, { minLength: 4, maxLength: 4 }),
    events: fc.integer({ min: 1, max: 14 }),
    maxAttempts: fc.integer({ min: 2, max: 4 }),
    stallAfter: fc.integer({ min: 0, max: 20 }),
    stallMs: fc.constantFrom(0, 0, 1_300, 1_700, 2_400),
    hasUpTo: fc.constantFrom(0, 0, 3),
  });
}

/** When the process stands still, after the start of all courses, and for how long. */
const STANDSTILLS = [
  { atMs: 900, forMs: 1_300 },
  { atMs: 3_100, forMs: 700 },
] as const;
/** They are played side by side; rare ones take this many to meet. */
const MIN_COURSES = 1_500;
const DEADLINE_MS = 9_000;
const REPORT_PATH = '/report';
const NOTICE = { isLeaving: false, pauseMs: undefined, limit: { kind: 'none' }, invalid: [] };

/** What one caller got. */
type Outcome = {
  text: string;
  end: string;
  /** Engines that got the stream. */
  readonly sentTo: string[];
  /** Failures that the pool was told. */
  readonly failures: string[];
};

function buildEvent(id: number): string {
  return `id: ${id}\ndata: part ${id}\n\n`;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Builds the pieces that a run sends after its head, with the times before each. */
function buildPieces(run: RunScript, after: number, events: number): [number, string][] {
  const last = run.end === 'whole' ? events : Math.min(events, after + run.endAfter);
  const pieces: [number, string][] = [];
  let rest = '';
  for (let id = after + 1; id <= last; id += run.eventsPerPiece) {
    const count = Math.min(run.eventsPerPiece, last + 1 - id);
    const ids = Array.from({ length: count }, (_, index) => id + index);
    const text = rest + ids.map(buildEvent).join('');
    const sent = id - after - 1;
    const isSilent = sent <= run.silentAfter && run.silentAfter < sent + count;
    const isLast = id + count > last;
    const late = isLast ? 0 : run.lateBytes;
    rest = text.slice(text.length - late);
    pieces.push([run.gapMs + (isSilent ? run.silentMs : 0), text.slice(0, text.length - late)]);
  }
  if (run.end === 'reset-in-event') pieces.push([run.gapMs, buildEvent(last + 1).slice(0, 7)]);
  return pieces;
}

/** Plays a run: its bytes wait while the exchange is paused, as they do on a connection. */
function startRun(
  run: RunScript,
  after: number,
  events: number,
  onEvent: (event: UpstreamEvent) => void,
): { cancel: () => void; pause: () => void; resume: () => void; abort: (reason: string) => void } {
  let isOver = false;
  let isPaused = false;
  const unread: UpstreamEvent[] = [];

  function read(): void {
    while (!isOver && !isPaused) {
      const event = unread.shift();
      if (event === undefined) return;
      if (event.kind === 'ended' || event.kind === 'failed') isOver = true;
      onEvent(event);
    }
  }

  function emit(event: UpstreamEvent): void {
    // What was not read when a connection is reset is lost.
    if (event.kind === 'failed') unread.length = 0;
    if (event.kind === 'failed') isPaused = false;
    unread.push(event);
    read();
  }

  async function play(): Promise<void> {
    await wait(run.headMs);
    if (run.end === 'unreached') {
      emit({ kind: 'failed', isSent: false, reason: 'unreached' });
      return;
    }
    const status = run.end === 'refused' ? 503 : 200;
    emit({ kind: 'head', status, headers: {}, rawHeaders: [], framing: run.framing });
    if (status === 200) {
      for (const [beforeMs, text] of buildPieces(run, after, events)) {
        // eslint-disable-next-line no-await-in-loop -- one piece after the other
        await wait(beforeMs);
        emit({ kind: 'data', chunk: Buffer.from(text) });
      }
    }
    const isCut = run.end === 'dies' && run.framing === 'chunks';
    const isReset = run.end === 'reset' || run.end === 'reset-in-event' || isCut;
    emit(isReset ? { kind: 'failed', isSent: true, reason: 'reset' } : { kind: 'ended' });
  }

  play().catch(() => undefined);
  return {
    cancel: () => {
      isOver = true;
    },
    abort: (reason) => emit({ kind: 'failed', isSent: true, reason }),
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      read();
    },
  };
}

/** Answers the question for an engine's report, unless the engine has died. */
function startReport(run: RunScript, onEvent: (event: UpstreamEvent) => void) {
  const emit = (event: UpstreamEvent): void => {
    setImmediate(() => onEvent(event));
  };
  if (run.end === 'dies') emit({ kind: 'failed', isSent: true, reason: 'closed' });
  else {
    emit({ kind: 'head', status: 200, headers: {}, rawHeaders: [], framing: 'length' });
    emit({ kind: 'ended' });
  }
  const ignore = (): void => undefined;
  return { cancel: ignore, pause: ignore, resume: ignore, abort: ignore };
}

function buildRequest({ maxAttempts, stallAfter, stallMs, hasUpTo }: Course, outcome: Outcome) {
  const now = getSteadyMs();
  let replyState = 'open';
  let writes = 0;
  const inbox = makeChannel(64);
  const drains: (() => void)[] = [];
  setTimeout(() => offer(inbox, { kind: 'timed-out' }), DEADLINE_MS).unref();
  const endWith = (end: string): void => {
    replyState = 'ended';
    outcome.end = end;
  };
  const lastEventId = hasUpTo === 0 ? undefined : hasUpTo;
  return {
    fields: {
      requestId: 'r1',
      promptTokens: 500,
      maxOutputTokens: 900,
      promptParts: [],
      lastEventId,
    },
    content: { fingerprint: 'f1' },
    sharedParts: [],
    route: {
      maxAttempts,
      isResumable: true,
      gapTargetMs: 300,
      targetLatencyMs: 900,
      targets: [{ service: 'llm' }],
    },
    service: 'llm',
    path: '/a/',
    body: Buffer.alloc(0),
    rawHeaders: [],
    arrivedAt: now,
    deadlineAt: now + DEADLINE_MS,
    aimAt: now + 900,
    reply: {
      getState: () => replyState,
      begin: () => {
        replyState = 'begun';
      },
      write: (bytes: Buffer) => {
        if (replyState === 'begun') outcome.text += String(bytes);
        writes += 1;
        if (stallMs === 0 || writes !== stallAfter) return true;
        setTimeout(() => drains.splice(0).forEach((drain) => drain()), stallMs);
        return false;
      },
      onDrain: (resume: () => void) => drains.push(resume),
      end: () => endWith('whole'),
      breakOff: () => endWith('broken off'),
      refuse: () => endWith('refused'),
    },
    inbox,
  } as unknown as GatewayRequest;
}

/** Plays one stream: the pool grants its engines in their order, each run as the next script says. */
async function playStream(course: Course): Promise<Outcome> {
  const outcome: Outcome = { text: '', end: 'none', sentTo: [], failures: [] };
  const inbox = makeChannel<PoolTaskMessage>(64);
  const upstreams = makeUpstreamList();
  const names = course.runs.map((_, index) => `e${index}`);
  for (const name of names) {
    const engine = { upstreamId: name, service: 'llm', address: name, stage: 'decode' };
    const record = { ...engine, incarnation: 1, softwareVersion: '1', isLeaving: false };
    upstreams.records.set(name as UpstreamId, record as unknown as UpstreamRecord);
  }
  const guard = { recordAnswered: () => undefined, recordBroken: () => undefined };
  type Call = {
    server: UpstreamRecord;
    path: string;
    headers: readonly string[];
    onSent: () => void;
  };
  const send = (call: Call, onEvent: (event: UpstreamEvent) => void) => {
    const { server, path, headers, onSent } = call;
    const run = course.runs[names.indexOf(server.upstreamId)] as RunScript;
    if (path === REPORT_PATH) return startReport(run, onEvent);
    outcome.sentTo.push(server.upstreamId);
    if (run.end !== 'unreached') onSent();
    const after = Number(headers[0]);
    // Before two events nothing shows whether ids count by one; after the last one nothing that some are left out.
    const shifted = Math.max(0, after + run.shift);
    const isShown = after >= course.hasUpTo + 2 && shifted < course.events;
    const begin = isShown ? shifted : after;
    return startRun(run, begin, course.events, onEvent);
  };
  // A proxy takes connections, also for an engine that has died.
  const tryPath = () => Promise.resolve('opened');
  const origin = { service: 'llm', softwareVersion: '1' };
  const logger = pino({ level: 'silent' });
  const answerEnds = makeAnswerEnds({
    connections: makeServerConnections(),
    questions: { ask: () => Promise.resolve({ isHeard: false, endedBeside: [] }) },
    isLeaving: () => false,
    hasStoodStill: () => false,
    logger,
  });
  const state = {
    answerEnds,
    pools: { inbox, countLiveVms: () => 1 },
    logger,
    configuration: { services: new Map([['llm', { engine: {} }]]) },
    upstreams,
    access: {
      client: { send },
      hasWay: () => true,
      paths: { tryPath },
      tryServer: tryPath,
    },
    ports: {
      dialect: {
        reportPath: REPORT_PATH,
        makeInstanceHeaders: () => ({}),
        decodeReport: () => ({ stage: 'decode', isBusy: false, orderCount: 0 }),
        makeForwardHeaders: (_raw: unknown, _length: unknown, placement: SendPlan['placement']) => [
          String(placement.resumeAfterEvent ?? course.hasUpTo),
        ],
        makeAnswerHeaders: () => [],
        decodeUpstreamHead: (status: number) => ({
          requestId: 'r1',
          isSigned: true,
          isNotRun: status !== 200,
          isEncoded: false,
          status,
          notice: NOTICE,
        }),
      },
    },
    partGuard: { ...guard, findQuarantined: () => undefined },
    heldBytes: makeHeldBytes(() => HELD_LIMITS),
    contentGuard: { ...guard, isQuarantined: () => false },
    streamOrigins: { recordOwn: () => undefined, find: () => origin },
    metrics: makeGatewayMetrics(),
    settings: { vmId: 'vm-1', retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50 },
    retryWindows: new Map(),
    takeFraction: () => 0.5,
    listedVmCount: 1,
    processStartId: 'vm-1-x',
    slotRequestCount: 0,
  } as unknown as GatewayState;

  function* runOwner(): Task {
    for (;;) {
      const received = yield* receive(inbox);
      if (received === undefined) return;
      if (received.kind !== 'request') continue;
      const { message } = received;
      if (message.kind === 'engine-failed') outcome.failures.push(message.failure);
      if (message.kind !== 'ask') continue;
      const { askId, excluded } = message.ask;
      const decode = names.find((name) => !excluded.includes(name as UpstreamId));
      if (decode === undefined) continue;
      message.onReply({ kind: 'granted', askId, decode, prefill: undefined, permits: [] } as never);
    }
  }

  startTask('owner', runOwner, () => undefined);
  await new Promise<void>((resolve) => {
    startTask(
      'stream',
      () => runStreamRequest(state, buildRequest(course, outcome)),
      (_name, error) => {
        if (error !== undefined) outcome.end = String(error);
        resolve();
      },
    );
  });
  // What an engine sends that was given up would come now.
  await wait(100);
  inbox.close();
  return outcome;
}

/** Finds what is wrong with what a caller got; undefined if nothing is. */
function findFault({ events, hasUpTo }: Course, { text, end }: Outcome): string | undefined {
  const ids = [...text.matchAll(/^id: (\d+)$/gmu)].map(([, id]) => Number(id));
  const wanted = ids.map((_, index) => hasUpTo + index + 1);
  if (text !== wanted.map(buildEvent).join('')) return `events ${ids.join(' ')}`;
  if (end === 'whole') {
    const isAll = ids.length === Math.max(0, events - hasUpTo);
    return isAll ? undefined : `complete with ${ids.length}`;
  }
  return end === 'broken off' || end === 'refused' ? undefined : end;
}

function standStill(forMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
}

/** So few that a busy machine has time for each of them. */
const COURSES_AT_ONCE = 500;

/** Plays courses side by side in a process that stands still now and then. */
async function playTogether(courses: readonly Course[]): Promise<Outcome[]> {
  const plays = courses.map(playStream);
  for (const { atMs, forMs } of STANDSTILLS) setTimeout(() => standStill(forMs), atMs);
  return Promise.all(plays);
}

/** Plays many courses and checks what each caller got. */
async function expectInOrder(run: fc.Arbitrary<RunScript>): Promise<void> {
  const { numRuns = 0 } = fc.readConfigureGlobal();
  const courses = fc.sample(buildCourses(run), Math.max(MIN_COURSES, numRuns));
  const outcomes: Outcome[] = [];
  for (let first = 0; first < courses.length; first += COURSES_AT_ONCE) {
    // eslint-disable-next-line no-await-in-loop -- one group after the other
    outcomes.push(...(await playTogether(courses.slice(first, first + COURSES_AT_ONCE))));
  }
  const faults = outcomes.flatMap((outcome, index) => {
    const course = courses[index] as Course;
    const fault = findFault(course, outcome);
    const { end, sentTo } = outcome;
    return fault === undefined ? [] : [{ fault, end, sentTo, course }];
  });
  expect(faults.slice(0, 3), `${faults.length} of ${courses.length}`).to.deep.equal([]);
  const whole = outcomes.filter(({ end }) => end === 'whole');
  expect(whole.length).to.be.greaterThan(courses.length / 4);
}

// Guards against two runs that write to one answer: an engine or a VM that wakes as another engine takes over.
it('stream joins: whatever engines, the caller and the process do, events come once and in order', () =>
  expectInOrder(fc.record(SOUND_RUN)));

// Guards against a run that goes on in a wrong place, and against an engine that dies and is taken to have sent all.
it('stream joins: engines that go on in a wrong place, and that die between events, put nothing out of order', () =>
  expectInOrder(fc.record(FAULTY_RUN)));

const STEADY_RUN: RunScript = {
  headMs: 0,
  gapMs: 60,
  silentAfter: 0,
  silentMs: 0,
  eventsPerPiece: 1,
  lateBytes: 0,
  end: 'whole',
  endAfter: 0,
  framing: 'chunks',
  shift: 0,
};

// Guards against a sound engine that is given up, and told as silent, since the caller reads nothing for a while.
it('stream joins: a stream whose caller stops reading stays at its engine, which is not blamed', async () => {
  const runs = [STEADY_RUN, STEADY_RUN];
  const stall = { stallAfter: 3, stallMs: 2_400 };
  const outcome = await playStream({ runs, events: 8, maxAttempts: 2, hasUpTo: 0, ...stall });
  const { end, sentTo, failures } = outcome;
  expect({ end, sentTo, failures }).to.deep.equal({ end: 'whole', sentTo: ['e0'], failures: [] });
});

// Guards against an engine that falls silent behind such a pause and is never given up.
it('stream joins: an engine that is silent after its caller has read again is given up', async () => {
  const silent = { ...STEADY_RUN, silentAfter: 4, silentMs: 20_000 };
  const stall = { stallAfter: 3, stallMs: 1_500 };
  const runs = [silent, STEADY_RUN];
  const outcome = await playStream({ runs, events: 8, maxAttempts: 2, hasUpTo: 0, ...stall });
  expect(findFault({ events: 8, hasUpTo: 0 } as Course, outcome)).to.equal(undefined);
  expect(outcome.end).to.equal('whole');
  expect(outcome.sentTo).to.deep.equal(['e0', 'e1']);
});
