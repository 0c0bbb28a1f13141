import { makeUpstreamList, type Route, type UpstreamRecord } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeChannel, startTask } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { runCallRequest } from './call-flow.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { SendPlan } from './sender.js';

type CallTrace = {
  readonly sends: string[];
  readonly refusals: string[];
};

const NAMES = ['a', 'b'] as UpstreamId[];

function buildRequest(refusals: string[]): GatewayRequest {
  const now = getSteadyMs();
  const route = { kind: 'idempotent', maxAttempts: 3, isResumable: false, targetLatencyMs: 400 };
  return {
    fields: { requestId: 'r1' },
    sharedParts: [],
    route: route as unknown as Route,
    service: 'ledger',
    body: Buffer.alloc(0),
    rawHeaders: [],
    arrivedAt: now,
    deadlineAt: now + 10_000,
    aimAt: now + 400,
    reply: { getState: () => 'open', refuse: (name: string) => refusals.push(name) },
    inbox: makeChannel(16),
  } as unknown as GatewayRequest;
}

/** Plays one call whose servers break off each answer; the first one brings it into quarantine. */
async function playCall(isQuarantinedLater: boolean): Promise<CallTrace> {
  const trace: CallTrace = { sends: [], refusals: [] };
  const upstreams = makeUpstreamList();
  for (const upstreamId of NAMES) {
    const fields = { upstreamId, service: 'ledger', address: upstreamId, incarnation: 1 };
    upstreams.records.set(upstreamId, {
      ...fields,
      isLeaving: false,
    } as unknown as UpstreamRecord);
  }
  let isQuarantined = false;
  const state = {
    upstreams,
    pools: { countLiveVms: () => 1 },
    logger: pino({ level: 'silent' }),
    client: {
      send: ({ address }: { address: string }, onEvent: (event: object) => void) => {
        trace.sends.push(address);
        setImmediate(() => onEvent({ kind: 'failed', isSent: true, reason: 'socket hang up' }));
        return { cancel: () => undefined };
      },
    },
    ports: { dialect: { makeForwardHeaders: () => [] } },
    partGuard: { findQuarantined: () => undefined },
    contentGuard: {
      isQuarantined: () => isQuarantined,
      recordBroken: () => {
        isQuarantined = isQuarantinedLater;
      },
    },
    metrics: makeGatewayMetrics(),
    settings: { vmId: 'vm-1', retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 20 },
    loads: new Map(),
    retryWindows: new Map(),
    takeFraction: () => 0.5,
    listedVmCount: 1,
    heldAnswerBytes: 0,
  } as unknown as GatewayState;
  await new Promise<void>((resolve) => {
    startTask(
      'call',
      () => runCallRequest(state, buildRequest(trace.refusals)),
      () => resolve(),
    );
  });
  return trace;
}

// Guards against a content that crashes servers being sent again by the request that showed it.
it('calls: a content that comes into quarantine after a send is not sent again', async () => {
  expect(await playCall(false)).to.deep.equal({
    sends: ['a', 'b', 'a'],
    refusals: ['upstream-failed'],
  });
  expect(await playCall(true)).to.deep.equal({ sends: ['a'], refusals: ['quarantined'] });
});

// Guards against a send for which the question was not asked; the compiler is the check.
it('sends: a server of which was not asked whether it may get something does not type-check', () => {
  const record = { upstreamId: 'a', address: 'a' } as unknown as UpstreamRecord;
  // @ts-expect-error -- a listed server is not one that may get a send
  const server: SendPlan['server'] = record;
  expect(server).to.equal(record);
});
