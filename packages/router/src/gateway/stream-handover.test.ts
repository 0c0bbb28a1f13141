import { makeUpstreamList, type Route, type UpstreamRecord } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { PoolTaskMessage } from '../pools/pool-task.js';
import { makeChannel, offer, receive, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { HELD_LIMITS } from '../intake/held-limits-test-kit.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { AnswerHead, SendPlan } from './sender.js';
import { runStreamRequest } from './stream-flow.js';

/**
 * What an engine sends: a head, the event of this id, the end, a refusal as it is not what was expected, or a failure
 * before or after the request was sent.
 */
type EngineStep = 'head' | number | 'ended' | 'unexpected' | 'reset' | 'unreached';

/** Steps of an engine with their times after the send, in milliseconds. */
type EngineScript = readonly (readonly [number, EngineStep])[];

/** Steps that engines take in one turn, each with the engine's name. */
type Turn = readonly (readonly [string, EngineStep])[];

type Course = {
  readonly engines: Readonly<Record<string, EngineScript>>;
  /** Step of an engine that follows in the same turn when another one sends its head. */
  readonly afterHead?: { readonly of: string; readonly at: string; readonly step: EngineStep };
  /** Versions of the weights that the heads of engines name. */
  readonly weights?: Readonly<Record<string, number>>;
  /** Turns that follow a send to an engine, one after the other, however late each of them comes. */
  readonly afterSend?: { readonly of: string; readonly turns: readonly Turn[] };
  readonly maxAttempts?: number;
  readonly retrySlack?: number;
  /** What the engine `p` sends for a prefill; undefined if no prompt is prefilled after the first grant. */
  readonly prefill?: EngineScript;
  readonly deadlineMs?: number;
  readonly callerLeavesMs?: number;
};

type StreamTrace = {
  /** Sends, and those that were cancelled, in order. */
  readonly log: string[];
  readonly ids: number[];
  readonly failures: string[];
  /** Version of the weights that each run was asked for, and the KV cache that it was given. */
  readonly placements: string[];
  /** Engines that broke the stream off, as its content may have crashed them. */
  readonly suspects: string[];
  granted: number;
  freed: number;
  end: string;
};

const PREFILL = 'p';
/** What was sent in one turn is handled before the next one. */
const TURN_MS = 10;
const NOTICE = { isLeaving: false, pauseMs: undefined, limit: { kind: 'none' }, invalid: [] };
const USABLE = { requestId: 'r1', isSigned: true, isEncoded: false };
const OK = 200;
const MISDIRECTED = 421;

function buildRequest(course: Course, trace: StreamTrace): GatewayRequest {
  const now = getSteadyMs();
  const { maxAttempts = 2, deadlineMs = 8_000, callerLeavesMs } = course;
  const route = { maxAttempts, isResumable: true, gapTargetMs: 300, targetLatencyMs: 900 };
  let replyState = 'open';
  const inbox = makeChannel(64);
  setTimeout(() => offer(inbox, { kind: 'timed-out' }), deadlineMs).unref();
  if (callerLeavesMs !== undefined) {
    setTimeout(() => offer(inbox, { kind: 'caller-gone' }), callerLeavesMs);
  }
  return {
    fields: { requestId: 'r1', promptTokens: 5_000, maxOutputTokens: 9_000, promptParts: [] },
    content: { fingerprint: 'f1' },
    sharedParts: [],
    route: { ...route, targets: [] } as unknown as Route,
    service: 'llm',
    path: '/a/',
    body: Buffer.alloc(0),
    rawHeaders: [],
    arrivedAt: now,
    deadlineAt: now + deadlineMs,
    aimAt: now + 900,
    reply: {
      getState: () => replyState,
      begin: () => {
        replyState = 'begun';
      },
      write: (bytes: Buffer) => {
        for (const [, id] of String(bytes).matchAll(/^id: (\d+)$/gmu)) trace.ids.push(Number(id));
        return true;
      },
      onDrain: () => undefined,
      end: () => {
        replyState = 'ended';
        trace.end = 'whole';
      },
      breakOff: (reason: string) => {
        replyState = 'ended';
        trace.end = `broken off: ${reason}`;
      },
      refuse: (name: string) => {
        replyState = 'ended';
        trace.end = `refused: ${name}`;
      },
    },
    inbox,
  } as unknown as GatewayRequest;
}

type ScriptedCall = {
  readonly server: UpstreamRecord;
  readonly headers: readonly string[];
  readonly onSent: () => void;
};

/** Makes a client whose engines send what their scripts say. */
function makeScriptedClient(course: Course, trace: StreamTrace) {
  const emitters = new Map<string, (step: EngineStep) => void>();

  function playTurns(turns: readonly Turn[]): void {
    setTimeout(() => {
      for (const [name, step] of turns[0] ?? []) emitters.get(name)?.(step);
      if (turns.length > 1) playTurns(turns.slice(1));
    }, TURN_MS);
  }

  function send({ server, headers, onSent }: ScriptedCall, onEvent: (event: object) => void) {
    const { address } = server;
    const isPrefill = headers.includes('prefill');
    trace.log.push(isPrefill ? `prefill at ${address}` : `send to ${address}`);
    if (!isPrefill) trace.placements.push([address, ...headers].join(' '));
    let isOver = false;

    function emitHead(status: number): void {
      const framing = 'chunks';
      const named = { weights: course.weights?.[address] };
      onEvent({ kind: 'head', status, headers: named, rawHeaders: [], framing });
    }

    function emit(step: EngineStep): void {
      if (isOver) return;
      if (step === 'head') {
        emitHead(OK);
        const { afterHead } = course;
        if (afterHead?.of === address) emitters.get(afterHead.at)?.(afterHead.step);
      } else if (typeof step === 'number') {
        onEvent({ kind: 'data', chunk: Buffer.from(`id: ${step}\ndata: x\n\n`) });
      } else {
        isOver = true;
        trace.log.push(`${step} at ${address}`);
        if (step === 'unexpected') emitHead(MISDIRECTED);
        if (step === 'ended' || step === 'unexpected') onEvent({ kind: 'ended' });
        else onEvent({ kind: 'failed', isSent: step === 'reset', reason: step });
      }
    }

    function play(steps: EngineScript): void {
      for (const [afterMs, step] of steps) setTimeout(() => emit(step), afterMs);
    }

    emitters.set(address, emit);
    const script = (isPrefill ? course.prefill : course.engines[address]) ?? [];
    if (!script.some(([, step]) => step === 'unreached')) onSent();
    play(script);
    if (course.afterSend?.of === address) playTurns(course.afterSend.turns);
    return {
      cancel: () => {
        if (!isOver) trace.log.push(`cancel at ${address}`);
        isOver = true;
      },
      abort: (reason: string) => {
        isOver = true;
        trace.log.push(`abort at ${address}`);
        onEvent({ kind: 'failed', isSent: true, reason });
      },
      pause: () => undefined,
      resume: () => undefined,
    };
  }
  return { send };
}

/** Plays one stream; the owner of the pool grants the engines in their order, each with a slot free. */
async function playStream(course: Course): Promise<StreamTrace> {
  const { retrySlack = 50 } = course;
  const lists = { log: [], ids: [], failures: [], placements: [], suspects: [] };
  const trace: StreamTrace = { ...lists, granted: 0, freed: 0, end: 'none' };
  const inbox = makeChannel<PoolTaskMessage>(64);
  const upstreams = makeUpstreamList();
  const names = Object.keys(course.engines);
  const prefill = course.prefill && PREFILL;
  for (const name of prefill === undefined ? names : [...names, prefill]) {
    const stage = name === prefill ? 'prefill' : 'decode';
    const engine = { upstreamId: name, service: 'llm', address: name, stage, incarnation: 1 };
    upstreams.records.set(
      name as UpstreamId,
      {
        ...engine,
        softwareVersion: '1',
        isLeaving: false,
      } as unknown as UpstreamRecord,
    );
  }
  const guard = {
    recordAnswered: () => undefined,
    recordBroken: (upstreamId: UpstreamId) => trace.suspects.push(upstreamId),
  };
  const state = {
    pools: { inbox, countLiveVms: () => 1 },
    logger: pino({ level: 'silent' }),
    configuration: { services: new Map([['llm', { engine: { handleTtlMs: 10_000 } }]]) },
    upstreams,
    access: {
      client: makeScriptedClient(course, trace),
      hasWay: () => true,
      paths: { tryPath: () => Promise.resolve('opened') },
    },
    ports: {
      dialect: {
        makeForwardHeaders: (
          _raw: unknown,
          _length: unknown,
          { isPrefillOnly = false, weightVersion, kvSource }: SendPlan['placement'],
        ) => {
          const expected = weightVersion === undefined ? [] : [`weights ${weightVersion}`];
          const cache = kvSource === undefined ? [] : [kvSource.handle];
          return isPrefillOnly ? ['prefill'] : [...expected, ...cache];
        },
        makeAnswerHeaders: () => [],
        decodePrefill: () => ({ handle: 'kv-1' }),
        decodeUpstreamHead: (
          status: number,
          { weights }: { readonly weights?: number },
        ): Partial<AnswerHead> => {
          const isUnexpected = status === MISDIRECTED;
          const told = { status, isUnexpected, isNotRun: isUnexpected, weightVersion: weights };
          return { ...USABLE, ...told, notice: NOTICE } as unknown as AnswerHead;
        },
      },
    },
    partGuard: { ...guard, findQuarantined: () => undefined },
    heldBytes: makeHeldBytes(() => HELD_LIMITS),
    contentGuard: { ...guard, isQuarantined: () => false },
    streamOrigins: { recordOwn: () => undefined },
    metrics: makeGatewayMetrics(),
    settings: { vmId: 'vm-1', retryRatio: 0.2, retryWindowMs: 10_000, retrySlack },
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
      if (message.kind === 'end') trace.freed += 1;
      if (message.kind === 'engine-failed') {
        trace.failures.push(`${message.upstreamId} ${message.failure}`);
      }
      if (message.kind !== 'ask') continue;
      const { askId, excluded } = message.ask;
      const decode = names.find((name) => !excluded.includes(name as UpstreamId));
      if (decode === undefined) continue;
      trace.granted += 1;
      const engines = { decode: decode as UpstreamId, prefill: prefill as UpstreamId | undefined };
      const isFirst = trace.granted === 1;
      const grant = isFirst ? { ...engines, prefill: undefined } : engines;
      message.onReply({ kind: 'granted', askId, ...grant, permits: [] } as never);
    }
  }

  startTask('owner', runOwner, () => undefined);
  await new Promise<void>((resolve) => {
    startTask(
      'stream',
      () => runStreamRequest(state, buildRequest(course, trace)),
      (_name, error) => {
        if (error !== undefined) trace.end = String(error);
        resolve();
      },
    );
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  inbox.close();
  return trace;
}

/** Sends its first event and then nothing until long after another engine is asked. */
const SILENT: EngineScript = [
  [0, 'head'],
  [20, 1],
];
/** Goes on after the first event, at once. */
const GOES_ON: EngineScript = [
  [10, 'head'],
  [20, 2],
  [30, 3],
  [40, 'ended'],
];

function delay(steps: EngineScript, ms: number): EngineScript {
  return steps.map(([at, step]) => [at + ms, step]);
}

// Guards against a stream that stays at a silent engine, and against an event that is missing or comes twice.
it('handover: a stream goes on at another engine that begins it', async () => {
  const trace = await playStream({ engines: { a: SILENT, b: GOES_ON } });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 2, freed: 2 });
  expect(trace.log).to.deep.equal(['send to a', 'send to b', 'cancel at a', 'ended at b']);
});

// Guards against two runs that write, where the silent engine is heard just before the other one.
it('handover: the silent engine that is heard first goes on', async () => {
  // What both would send then comes in turn, so that a run that still writes is seen.
  const turns: Turn[] = [
    [
      ['a', 2],
      ['b', 'head'],
    ],
    [['b', 2]],
    [['a', 3]],
    [['b', 3]],
    [['b', 'ended']],
    [['a', 'ended']],
  ];
  const trace = await playStream({
    engines: { a: SILENT, b: [] },
    afterSend: { of: 'b', turns },
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 2, freed: 2 });
  expect(trace.log).to.deep.equal(['send to a', 'send to b', 'cancel at b', 'ended at a']);
});

// Guards against an event that is missing or comes twice where a stream is handed over more than once.
it('handover: a stream goes on at a third engine when the second one is silent too', async () => {
  const second: EngineScript = [
    [10, 'head'],
    [20, 2],
  ];
  const third: EngineScript = [
    [10, 'head'],
    [20, 3],
    [30, 'ended'],
  ];
  const trace = await playStream({
    engines: { a: SILENT, b: second, c: third },
    maxAttempts: 3,
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 3, freed: 3 });
  const first = ['send to a', 'send to b', 'cancel at a'];
  expect(trace.log).to.deep.equal([...first, 'send to c', 'cancel at b', 'ended at c']);
});

// Guards against a run that writes after another one took its place, in the same turn or later.
for (const [what, step] of [
  ['an event', 2],
  ['its end', 'ended'],
  ['a reset', 'reset'],
] as const) {
  it(`handover: ${what} of the silent engine just after the head of the other one is not used`, async () => {
    const afterHead = { of: 'b', at: 'a', step };
    const trace = await playStream({ engines: { a: SILENT, b: GOES_ON }, afterHead });
    expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 2, freed: 2 });
  });
}

// Guards against a stream that counts an engine which refused it, and against a slot that is not freed.
it('handover: a stream goes on at a third engine when the second one refuses it', async () => {
  const trace = await playStream({ engines: { a: SILENT, b: [[50, 'unreached']], c: GOES_ON } });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 3, freed: 3 });
});

// Guards against a stream that is sent to more engines than its route allows.
it('handover: a stream whose engine falls silent twice is sent to no third engine', async () => {
  const twice = [...SILENT, [1_400, 2], ...delay(GOES_ON.slice(2), 3_500)] as const;
  const trace = await playStream({ engines: { a: twice, b: delay(GOES_ON, 280), c: GOES_ON } });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole' });
  expect(trace.log).to.deep.equal(['send to a', 'send to b', 'cancel at b', 'ended at a']);
});

// Guards against engines that work on for a caller that has left.
for (const [when, callerLeavesMs] of [
  ['before the other engine is heard', 1_400],
  ['after the other engine has begun', 1_700],
] as const) {
  it(`handover: both runs are ended when the caller leaves ${when}`, async () => {
    const second: EngineScript = [[250, 'head']];
    const trace = await playStream({ engines: { a: SILENT, b: second }, callerLeavesMs });
    expect(trace).to.deep.include({ ids: [1], granted: 2, freed: 2 });
    expect([...trace.log].sort()).to.deep.equal([
      'cancel at a',
      'cancel at b',
      'send to a',
      'send to b',
    ]);
  });
}

// Guards against a slot that is held beyond the deadline of its stream.
it('handover: both runs are ended at the deadline', async () => {
  const second: EngineScript = [[10, 'head']];
  const trace = await playStream({ engines: { a: SILENT, b: second }, deadlineMs: 2_000 });
  expect(trace).to.deep.include({ end: 'broken off: deadline', granted: 2, freed: 2 });
});

// Guards against a stream that is broken off by its silent engine's reset although another engine has it already.
it('handover: a stream goes on at the engine that has it when the silent one breaks off', async () => {
  const trace = await playStream({
    engines: { a: [...SILENT, [1_330, 'reset']], b: delay(GOES_ON, 250) },
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole' });
});

// Guards against a second retry for one search, where the silent engine breaks off while its prompt is prefilled elsewhere.
it('handover: a stream whose silent engine breaks off during the search takes no second retry', async () => {
  const trace = await playStream({
    engines: { a: [...SILENT, [1_330, 'reset']], b: GOES_ON },
    prefill: [
      [200, 'head'],
      [210, 'ended'],
    ],
    maxAttempts: 3,
    retrySlack: 2,
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole' });
});

// Guards against two engines that work on one stream: one that was displaced sends its head just afterwards.
it('handover: an engine is ended although its head comes just after the other one', async () => {
  const slow = [...GOES_ON.slice(0, 3), [1_000, 'ended']] as const;
  const trace = await playStream({
    engines: { a: [], b: slow },
    afterHead: { of: 'b', at: 'a', step: 'head' },
  });
  expect(trace).to.deep.include({ ids: [2, 3], end: 'whole' });
  expect(trace.log).to.deep.equal(['send to a', 'send to b', 'cancel at a', 'ended at b']);
});

// Guards against a sound engine that is given up for one that could not be reached.
it('handover: a stream goes on at its silent engine while the other one takes no connection', async () => {
  const trace = await playStream({
    engines: { a: [...SILENT, ...delay(GOES_ON.slice(1), 1_900)], b: [[500, 'unreached']] },
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole' });
});

// Guards against retries that are used up by prefills that fail again and again.
it('handover: a prompt whose prefill fails is sent for prefill three times at most', async () => {
  const trace = await playStream({
    engines: { a: [...SILENT, ...delay(GOES_ON.slice(1), 4_500)], b: GOES_ON },
    prefill: [[5, 'reset']],
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole' });
  expect(trace.log.filter((line) => line === 'prefill at p').length).to.be.at.most(3);
});

// Guards against a sound engine of which the pool hears twice that it failed, for one silence.
it('handover: an engine that is displaced is reported once', async () => {
  const { failures } = await playStream({ engines: { a: SILENT, b: GOES_ON } });
  expect(failures.filter((line) => line === 'a broken')).to.have.length(1);
});

/** Sends its first event and breaks off. */
const BREAKS: EngineScript = [...SILENT, [30, 'reset']];
const REFUSES: EngineScript = [[10, 'unexpected']];
/** Goes on after the first event and is not near its end. */
const STAYS: EngineScript = [...GOES_ON.slice(0, 2), [5_000, 'ended']];
/** Allows three retries and no fourth one, as 0.7 of the slack are used. */
const SLACK_OF_THREE = 5;
const PREFILLS: EngineScript = [
  [5, 'head'],
  [10, 'ended'],
];

// Guards against sound engines, and a sound KV cache, that are told as full or lost since a stream needs other weights.
it('weights: engines that refuse a stream for its weights are not blamed, nor is its KV cache', async () => {
  const trace = await playStream({
    engines: { a: BREAKS, b: REFUSES, c: REFUSES, d: GOES_ON },
    weights: { a: 1, b: 2, d: 1 },
    prefill: PREFILLS,
    retrySlack: SLACK_OF_THREE,
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 4, freed: 4 });
  expect(trace.failures).to.deep.equal(['a broken']);
  expect(trace.suspects).to.deep.equal(['a']);
  const further = ['b', 'c', 'd'].map((name) => `${name} weights 1 kv-1`);
  expect(trace.placements).to.deep.equal(['a', ...further]);
  expect(trace.log.filter((line) => line === 'prefill at p').length).to.equal(1);
});

// Guards against a refusal that has another reason, and an engine that is asked by all others in vain.
for (const [what, weights] of [
  ['that names the weights of the answer', { a: 1, b: 1 }],
  ['of an answer whose weights are not known', { b: 2 }],
] as const) {
  it(`weights: an engine is told as full after a refusal ${what}`, async () => {
    const trace = await playStream({ engines: { a: BREAKS, b: REFUSES, c: GOES_ON }, weights });
    expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole' });
    expect(trace.failures).to.deep.equal(['a broken', 'b full']);
  });
}

// Guards against a run of other weights that is joined, that works on for nobody, or whose engine is told as broken.
it('weights: an engine that runs a stream with other weights is stopped, not joined and not blamed', async () => {
  const trace = await playStream({
    engines: { a: BREAKS, b: STAYS, c: GOES_ON },
    weights: { a: 1, b: 2, c: 1 },
    maxAttempts: 3,
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 3, freed: 3 });
  expect(trace.log).to.include('abort at b');
  expect(trace.failures).to.deep.equal(['a broken']);
  expect(trace.suspects).to.deep.equal(['a']);
});

// Guards against a stream that runs more often than its route allows, as a run that was not joined is not counted.
it('weights: a run that is not joined counts as one of the runs that a route allows', async () => {
  const trace = await playStream({
    engines: { a: BREAKS, b: STAYS, c: GOES_ON },
    weights: { a: 1, b: 2, c: 1 },
    maxAttempts: 2,
  });
  expect(trace).to.deep.include({ ids: [1], end: 'broken off: engine-failed', granted: 2 });
  expect(trace.placements).to.deep.equal(['a', 'b weights 1']);
});

// Guards against an answer that is held although no engine could go on with it.
it('weights: a stream is broken off at once when the last engine refuses it for its weights', async () => {
  const trace = await playStream({
    engines: { a: BREAKS, b: REFUSES, c: REFUSES },
    weights: { a: 1, b: 2, c: 2 },
  });
  expect(trace).to.deep.include({ ids: [1], end: 'broken off: no-engine', granted: 3, freed: 3 });
});

// Guards against a prompt that is prefilled again for each engine that a silent one's stream is offered to in vain.
it('weights: a KV cache that a refusal left goes to the next engine that takes over', async () => {
  const trace = await playStream({
    engines: { a: SILENT, b: REFUSES, c: REFUSES, d: GOES_ON },
    weights: { a: 1, b: 2, c: 2, d: 1 },
    prefill: PREFILLS,
  });
  expect(trace).to.deep.include({ ids: [1, 2, 3], end: 'whole', granted: 4, freed: 4 });
  expect(trace.failures.filter((line) => !line.startsWith('a '))).to.deep.equal([]);
  expect(trace.log.filter((line) => line === 'prefill at p').length).to.equal(1);
});
