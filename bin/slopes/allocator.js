/** Shard allocator: state and processor time against engines and reservations. */

import { handleAllocatorEvent, makeAllocatorState } from '../../packages/core/dist/index.js';
import { encodePeerMessage } from '../../packages/protocol/dist/index.js';
import { measureCpu, measureKept } from './measure.js';

const START = 1_000_000;
const COPIES = 40;
const PREFIXES = Array.from({ length: 32 }, (_, index) => `prefix-${index}`);

function makeEngines(count) {
  const half = count / 2;
  return Array.from({ length: count }, (_, index) => ({
    upstreamId: `engine-${index}`,
    role: index < half ? 'prefill' : 'decode',
    models: ['declaration-llm'],
    isLeaving: false,
  }));
}

function makeAsk(index, now) {
  return {
    requestId: `9b3f0a52-7f6e-4a5d-9d1e-${String(index).padStart(12, '0')}`,
    attemptId: `9b3f0a52-7f6e-4a5d-9d1e-${String(index).padStart(12, '0')}.1`,
    vmId: `vm-${index % 9}`,
    incarnation: 1,
    callerId: `caller-${index % 200}`,
    service: 'declaration-llm',
    target: { model: 'declaration-llm' },
    dataCentre: 'negombo',
    promptTokens: 4_000,
    maxTokens: 64,
    prefixes: PREFIXES,
    priority: index % 10,
    firstTokenDeadline: now + 60_000,
    answerDeadline: now + 120_000,
    fingerprint: `fingerprint-${index}`,
    excluded: [],
  };
}

function makeReport(engine, now) {
  return {
    kind: 'load-reported',
    upstreamId: engine.upstreamId,
    report: {
      role: engine.role,
      queuedPrefillTokens: 0,
      decodeStreams: 0,
      decodePlaces: 20,
      freePieces: 1_000,
      totalPieces: 1_000,
      loadedTargets: [{ model: 'declaration-llm' }],
      fencingNumber: 1,
      measuredAt: now - 500,
    },
    now,
  };
}

function makeState(engines) {
  const options = { vmId: 'vm-1', policy: 'ours', objective: 'tail', seed: 1 };
  const state = makeAllocatorState(options);
  handleAllocatorEvent(state, { kind: 'engines-listed', engines, now: START });
  for (const engine of engines) handleAllocatorEvent(state, makeReport(engine, START));
  return state;
}

/** One request from its ask to its end; 200 ms between requests on the clock of the machine. */
function runRequest(state, index) {
  const now = START + 1_000 + index * 200;
  const actions = handleAllocatorEvent(state, { kind: 'asked', ask: makeAsk(index, now), now });
  const grant = actions.find((action) => action.kind === 'grant')?.grant;
  if (grant === undefined) throw new Error(`no grant: ${JSON.stringify(actions)}`);
  const { reservationId, attemptId } = grant;
  const base = { reservationId, attemptId };
  const items = [
    { ...base, upstreamId: grant.decode, stage: 'decode', tokens: 20, movedAt: now + 100 },
  ];
  handleAllocatorEvent(state, { kind: 'progressed', items, now: now + 100 });
  const end = {
    ...base,
    outcome: 'answered',
    prefillMs: 50,
    cachedTokens: 0,
    importMs: 10,
    decodeMs: 100,
    tokens: 40,
  };
  handleAllocatorEvent(state, { kind: 'attempt-ended', items: [end], now: now + 150 });
}

/** Makes the state of 64 engines that were asked `count` times at once. */
function makeAsked(count) {
  const state = makeState(makeEngines(64));
  for (let index = 0; index < count; index += 1) {
    const now = START + 1_000;
    const ask = makeAsk(index, now);
    handleAllocatorEvent(state, { kind: 'asked', ask, now });
  }
  return state;
}

/** Sums the frames that one request takes between its entry VM and the owner of the shard. */
function countRequestBytes(prefixes) {
  const shardId = 'model-12@region-3/site-17';
  const ask = { ...makeAsk(1, START), prefixes: Array(prefixes).fill('0123456789abcdef') };
  const { attemptId } = ask;
  const reservationId = 'vm-100-1796354481790-123456';
  const grant = {
    reservationId,
    attemptId,
    prefill: 'model-12-engine-100',
    decode: 'model-12-engine-101',
    prefillAt: 1_796_354_481_790,
    startDeadline: 1_796_354_481_790,
    predictedFirstTokenAt: 1_796_354_481_790,
    predictedAnswerAt: 1_796_354_481_790,
  };
  const moved = { reservationId, attemptId, upstreamId: grant.decode, stage: 'decode' };
  const end = { reservationId, attemptId, outcome: 'answered', prefillMs: 204, cachedTokens: 512 };
  const messages = [
    { kind: 'ask', shardId, ask },
    { kind: 'grant', shardId, grant },
    { kind: 'progress', shardId, items: [{ ...moved, tokens: 12, movedAt: 1_796_354_481_790 }] },
    { kind: 'end', shardId, items: [{ ...end, importMs: 44, decodeMs: 4_700, tokens: 235 }] },
  ];
  return messages.reduce((sum, message) => sum + encodePeerMessage(message).length, 0);
}

/** Measures the allocator. */
export function measureAllocator() {
  const warm = makeState(makeEngines(16));
  measureCpu(2_000, (index) => runRequest(warm, index));
  const engineBytes = [];
  const requestCpu = [];
  const tickCpu = [];
  const reportCpu = [];
  for (const size of [8, 16, 32, 64]) {
    const engines = makeEngines(size);
    const { made, bytes } = measureKept(() => makeState(engines), COPIES);
    engineBytes.push({ size, value: bytes });
    requestCpu.push({ size, value: measureCpu(2_000, (index) => runRequest(made, index)) });
    const now = START + 10_000_000;
    const tick = (index) => handleAllocatorEvent(made, { kind: 'ticked', now: now + index * 50 });
    tickCpu.push({ size, value: measureCpu(4_000, tick) });
    const report = (index) =>
      handleAllocatorEvent(made, makeReport(engines[index % size], now + 400_000 + index));
    reportCpu.push({ size, value: measureCpu(4_000, report) });
  }
  const waiting = [];
  for (const size of [100, 200, 400, 800]) {
    const { bytes } = measureKept(() => makeAsked(size), COPIES);
    waiting.push({ size, value: bytes });
  }
  const prefixes = [0, 8, 32].map((size) => ({ size, value: countRequestBytes(size) }));
  const role = 'shard allocator';
  return [
    { role, what: 'state without requests', unit: 'bytes', per: 'engine', points: engineBytes },
    { role, what: 'state of asks, granted or waiting', unit: 'bytes', per: 'ask', points: waiting },
    {
      role,
      what: 'processor time of one request: ask, grant, progress, end',
      unit: 'µs',
      per: 'engine',
      points: requestCpu,
    },
    { role, what: 'processor time of one tick', unit: 'µs', per: 'engine', points: tickCpu },
    {
      role,
      what: 'processor time of one load report',
      unit: 'µs',
      per: 'engine',
      points: reportCpu,
    },
    {
      role,
      what: 'frames of one request: ask, grant, progress, end',
      unit: 'bytes',
      per: 'prefix',
      points: prefixes,
    },
  ];
}
