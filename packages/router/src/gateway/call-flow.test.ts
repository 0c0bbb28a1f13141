import {
  makeUpstreamList,
  recordLimit,
  recordPermitWait,
  type Route,
  type UpstreamList,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeSharedLoads, type SharedLoadParts } from '../speeds/shared-loads.js';
import { makeChannel, startTask } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { runCallRequest } from './call-flow.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { HELD_LIMITS } from '../intake/held-limits-test-kit.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { SendPlan } from './sender.js';

type CallTrace = {
  readonly sends: string[];
  readonly answers: number[];
  readonly refusals: string[];
};

const NAMES = ['a', 'b'] as UpstreamId[];

function buildRequest({ refusals, answers }: CallTrace): GatewayRequest {
  const now = getSteadyMs();
  const route = { kind: 'idempotent', maxAttempts: 3, isResumable: false, targetLatencyMs: 400 };
  return {
    fields: { requestId: 'r1' },
    content: { fingerprint: 'f1' },
    sharedParts: [],
    route: route as unknown as Route,
    service: 'ledger',
    body: Buffer.alloc(0),
    rawHeaders: [],
    arrivedAt: now,
    deadlineAt: now + 10_000,
    aimAt: now + 400,
    reply: {
      getState: () => 'open',
      refuse: (name: string) => refusals.push(name),
      begin: (status: number) => answers.push(status),
      answer: (status: number) => answers.push(status),
      write: () => true,
      end: () => undefined,
    },
    inbox: makeChannel(16),
  } as unknown as GatewayRequest;
}

/** What happens to the calls of a test. */
type Course = {
  /** Whether a call comes into quarantine by its first broken answer. */
  readonly isQuarantinedLater?: boolean;
  /** Time after which servers answer, in milliseconds; undefined if they break off each answer. */
  readonly answerMs?: number;
  readonly retrySlack?: number;
  readonly names?: readonly UpstreamId[];
  /** Server whose permits are used up. */
  readonly usedUp?: UpstreamId;
};

/** Records that a server names a limit, and that it is used up for long. */
function useUp({ beliefs }: UpstreamList, upstreamId: UpstreamId): void {
  const now = getSteadyMs();
  const limit = { upstreamId, incarnation: 1, requestsPerSecond: 1, sentAt: now, heardAt: now };
  recordLimit(beliefs, limit);
  recordPermitWait(beliefs, upstreamId, { incarnation: 1, until: now + 10_000 });
}

/** Answers a call after some time, or breaks it off. */
function answerSend(onEvent: (event: object) => void, { answerMs }: Course): void {
  if (answerMs === undefined) {
    setImmediate(() => onEvent({ kind: 'failed', isSent: true, reason: 'socket hang up' }));
    return;
  }
  setTimeout(() => {
    onEvent({ kind: 'head', status: 200, headers: {}, rawHeaders: [], framing: 'length' });
    onEvent({ kind: 'ended' });
  }, answerMs);
}

const HEAD = { requestId: 'r1', isSigned: true, isNotRun: false, isEncoded: false };
const NOTICE = { isLeaving: false, pauseMs: undefined, limit: { kind: 'none' }, invalid: [] };

/** Plays one call. */
async function playCall(course: Course): Promise<CallTrace> {
  const { isQuarantinedLater = false, retrySlack = 20, names = NAMES } = course;
  const trace: CallTrace = { sends: [], answers: [], refusals: [] };
  const upstreams = makeUpstreamList();
  for (const upstreamId of names) {
    const fields = { upstreamId, service: 'ledger', address: upstreamId, incarnation: 1 };
    upstreams.records.set(upstreamId, {
      ...fields,
      isLeaving: false,
    } as unknown as UpstreamRecord);
  }
  if (course.usedUp !== undefined) useUp(upstreams, course.usedUp);
  let isQuarantined = false;
  const state = {
    upstreams,
    pools: { countLiveVms: () => 1 },
    logger: pino({ level: 'silent' }),
    access: {
      client: {
        send: ({ server }: { server: UpstreamRecord }, onEvent: (event: object) => void) => {
          trace.sends.push(server.address);
          answerSend(onEvent, course);
          return { cancel: () => undefined };
        },
      },
    },
    ports: {
      dialect: {
        makeForwardHeaders: () => [],
        makeAnswerHeaders: () => [],
        decodeUpstreamHead: (status: number) => ({ ...HEAD, status, notice: NOTICE }),
      },
    },
    partGuard: { findQuarantined: () => undefined },
    contentGuard: {
      isQuarantined: () => isQuarantined,
      recordAnswered: () => undefined,
      recordBroken: () => {
        isQuarantined = isQuarantinedLater;
      },
    },
    metrics: makeGatewayMetrics(),
    sharedLoads: makeSharedLoads({ isShared: () => false } as unknown as SharedLoadParts, 0),
    settings: { vmId: 'vm-1', retryRatio: 0.2, retryWindowMs: 10_000, retrySlack },
    loads: new Map(),
    retryWindows: new Map(),
    takeFraction: () => 0.5,
    listedVmCount: 1,
    heldBytes: makeHeldBytes(() => HELD_LIMITS),
  } as unknown as GatewayState;
  await new Promise<void>((resolve) => {
    startTask(
      'call',
      () => runCallRequest(state, buildRequest(trace)),
      () => resolve(),
    );
  });
  return trace;
}

// Guards against a content that crashes servers being sent again by the request that showed it.
it('calls: a content that comes into quarantine after a send is not sent again', async () => {
  expect(await playCall({})).to.deep.equal({
    sends: ['a', 'b', 'a'],
    answers: [],
    refusals: ['upstream-failed'],
  });
  const quarantined = { sends: ['a'], answers: [], refusals: ['quarantined'] };
  expect(await playCall({ isQuarantinedLater: true })).to.deep.equal(quarantined);
});

/** After the time at which a call that may be repeated is sent to another server. */
const LATE_ANSWER_MS = 600;

// Guards against a call that is failed at a silent server although nothing else may take it.
it('calls: a call goes on at a silent server when no retry is left', async () => {
  const trace = await playCall({ answerMs: LATE_ANSWER_MS, retrySlack: 0 });
  expect(trace).to.deep.equal({ sends: ['a'], answers: [200], refusals: [] });
});

// Guards against a call that is sent once more to the server that is silent.
it('calls: a call goes on at a silent server when there is no other', async () => {
  const names = ['a'] as UpstreamId[];
  const trace = await playCall({ answerMs: LATE_ANSWER_MS, names });
  expect(trace).to.deep.equal({ sends: ['a'], answers: [200], refusals: [] });
});

// Guards against the same where the permits of the other one are known to be used up.
it('calls: a call goes on at a silent server when the other one has no permit left', async () => {
  const usedUp = 'b' as UpstreamId;
  const trace = await playCall({ answerMs: LATE_ANSWER_MS, usedUp });
  expect(trace).to.deep.equal({ sends: ['a'], answers: [200], refusals: [] });
});

// Guards against a call that waits for a silent server while another one may take it.
it('calls: a call is sent to another server while its own is silent', async () => {
  const { sends } = await playCall({ answerMs: LATE_ANSWER_MS });
  expect(sends.slice(0, 2)).to.deep.equal(['a', 'b']);
});

// Guards against a send for which the question was not asked; the compiler is the check.
it('sends: a server of which was not asked whether it may get something does not type-check', () => {
  const record = { upstreamId: 'a', address: 'a' } as unknown as UpstreamRecord;
  // @ts-expect-error -- a listed server is not one that may get a send
  const server: SendPlan['server'] = record;
  expect(server).to.equal(record);
});
