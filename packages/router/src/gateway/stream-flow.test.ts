import {
  makeUpstreamList,
  recordLeaving,
  recordLimit,
  recordPause,
  type SlotRequest,
  type Route,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { SlotReply, PoolRequestMessage } from '../pools/place-messages.js';
import type { PoolTaskMessage } from '../pools/pool-task.js';
import { makeChannel, offer, receive, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { HELD_LIMITS } from '../intake/held-limits-test-kit.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { runStreamRequest } from './stream-flow.js';

type StreamTrace = {
  readonly slotRequests: SlotRequest[];
  readonly notifications: string[];
  readonly refusals: string[];
  /** Engines that something was sent to. */
  readonly sends: string[];
};

function buildRequest(refusals: string[]): GatewayRequest {
  const now = getSteadyMs();
  const route = { maxAttempts: 1, isResumable: false, gapTargetMs: 300, targetLatencyMs: 900 };
  return {
    fields: { requestId: 'r1', promptTokens: 5_000, maxOutputTokens: 9_000 },
    content: { fingerprint: 'f1' },
    sharedParts: [],
    route: route as unknown as Route,
    service: 'llm',
    path: '/a/',
    body: Buffer.alloc(0),
    rawHeaders: [],
    arrivedAt: now,
    deadlineAt: now + 10_000,
    aimAt: now + 900,
    reply: { getState: () => 'open', refuse: (name: string) => refusals.push(name) },
    inbox: makeChannel(16),
  } as unknown as GatewayRequest;
}

type OwnerReply =
  | Omit<Extract<SlotReply, { kind: 'granted' }>, 'askId'>
  | Omit<Extract<SlotReply, { kind: 'refused' }>, 'askId'>;

const LISTED = {
  upstreamId: 'listed' as UpstreamId,
  service: 'llm',
  address: '127.0.0.1:1',
  stage: 'decode',
  incarnation: 1,
  isLeaving: false,
};

/** What changes while the stream waits for the reply to its first slot request. */
type ChangeWhileWaiting = 'none' | 'quarantine' | 'pause' | 'leaving' | 'limit';

/** Plays one stream against an owner that answers each slot request with the next reply. */
async function playStream(
  replies: readonly OwnerReply[],
  change: ChangeWhileWaiting = 'none',
): Promise<StreamTrace> {
  const trace: StreamTrace = { slotRequests: [], notifications: [], refusals: [], sends: [] };
  const inbox = makeChannel<PoolTaskMessage>(64);
  const upstreams = makeUpstreamList();
  upstreams.records.set(LISTED.upstreamId, LISTED as unknown as UpstreamRecord);
  const state = {
    pools: { inbox, countLiveVms: () => 1 },
    logger: pino({ level: 'silent' }),
    upstreams,
    access: {
      client: {
        send: ({ server }: { server: UpstreamRecord }, onEvent: (event: object) => void) => {
          trace.sends.push(server.address);
          setImmediate(() => onEvent({ kind: 'failed', isSent: false, reason: 'not connected' }));
          return { cancel: () => undefined };
        },
      },
      hasWay: () => true,
    },
    ports: { dialect: { makeForwardHeaders: () => [] } },
    partGuard: { findQuarantined: () => undefined },
    heldBytes: makeHeldBytes(() => HELD_LIMITS),
    contentGuard: {
      isQuarantined: () => change === 'quarantine' && trace.slotRequests.length > 0,
    },
    metrics: makeGatewayMetrics(),
    settings: { vmId: 'vm-1', retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 0 },
    retryWindows: new Map(),
    takeFraction: () => 0.5,
    listedVmCount: 1,
    processStartId: 'vm-1-x',
    slotRequestCount: 0,
  } as unknown as GatewayState;

  function answerRequest(message: PoolRequestMessage): void {
    if (message.kind !== 'ask') {
      trace.notifications.push(message.kind);
      return;
    }
    const reply = replies[trace.slotRequests.length];
    const leaving = { upstreamId: LISTED.upstreamId, incarnation: LISTED.incarnation };
    const now = getSteadyMs();
    const paused = { incarnation: LISTED.incarnation, until: now + 10_000 };
    if (change === 'pause') recordPause(upstreams.beliefs, LISTED.upstreamId, paused);
    if (change === 'leaving') recordLeaving(upstreams, leaving);
    if (change === 'limit') {
      recordLimit(upstreams.beliefs, {
        ...leaving,
        requestsPerSecond: 4,
        sentAt: now,
        heardAt: now,
      });
    }
    trace.slotRequests.push(message.ask);
    if (reply !== undefined) message.onReply({ ...reply, askId: message.ask.askId });
  }

  let onTicked = (): void => undefined;

  function* runOwner(): Task {
    for (;;) {
      const message = yield* receive(inbox);
      if (message === undefined) return;
      if (message.kind === 'request') answerRequest(message.message);
      else if (message.kind === 'ticked') onTicked();
    }
  }

  startTask('owner', runOwner, () => undefined);
  await new Promise<void>((resolve) => {
    startTask(
      'stream',
      () => runStreamRequest(state, buildRequest(trace.refusals)),
      () => resolve(),
    );
  });
  // The owner has read all messages once it has read this one.
  await new Promise<void>((resolve) => {
    onTicked = resolve;
    offer(inbox, { kind: 'ticked' });
  });
  inbox.close();
  return trace;
}

const GONE = 'gone' as UpstreamId;
const NEVER_SEEN = 'never-seen' as UpstreamId;
const REFUSED = { kind: 'refused', reason: 'no-engine', retryAfterMs: 900 } as const;

it('streams: a slot is requested again without an engine that is gone but that the owner still lists', async () => {
  const grants = [
    { kind: 'granted', prefill: undefined, decode: GONE, permits: [] },
    { kind: 'granted', prefill: NEVER_SEEN, decode: GONE, permits: [] },
  ] as const;
  const { slotRequests, refusals, notifications } = await playStream([...grants, REFUSED]);
  expect(slotRequests.map(({ excluded }) => [...excluded])).to.deep.equal([
    [],
    [GONE],
    [GONE, NEVER_SEEN],
  ]);
  expect(refusals).to.deep.equal(['deadline-unreachable']);
  expect(notifications).to.deep.equal(['end', 'end']);
});

it('streams: an engine that only the list of this VM lacks takes no retry from the budget', async () => {
  const { slotRequests } = await playStream([
    { kind: 'granted', prefill: undefined, decode: GONE, permits: [] } as const,
    REFUSED,
  ]);
  expect(slotRequests).to.have.length(2);
});

// Guards against a content that reaches a server because its request waited when it became known.
it('streams: a content that comes into quarantine while its request waits is refused and not sent', async () => {
  const grant = { kind: 'granted', prefill: undefined, decode: LISTED.upstreamId, permits: [] };
  const trace = await playStream([grant as OwnerReply, REFUSED], 'quarantine');
  expect(trace.sends).to.deep.equal([]);
  expect(trace.refusals).to.deep.equal(['quarantined']);
  expect(trace.notifications).to.deep.equal(['end']);
});

// Guards against a request beyond the limit that an engine names while the request waits for its slot.
it('streams: an engine that names a limit while a stream waits for a slot gets nothing without a permit', async () => {
  const grant = { kind: 'granted', prefill: undefined, decode: LISTED.upstreamId } as const;
  const without = await playStream([{ ...grant, permits: [] }, REFUSED], 'limit');
  expect(without.sends).to.deep.equal([]);
  expect(without.slotRequests[1]?.excluded).to.deep.equal([LISTED.upstreamId]);
  const permitted = await playStream([{ ...grant, permits: [LISTED.upstreamId] }], 'limit');
  expect(permitted.sends).to.deep.equal([LISTED.address]);
});

// Guards against a server that is sent what waited for a slot there when it asked to be left alone.
for (const change of ['pause', 'leaving'] as const) {
  it(`streams: an engine that asks to be left alone while a stream waits for a slot gets nothing (${change})`, async () => {
    const grant = { kind: 'granted', prefill: undefined, decode: LISTED.upstreamId, permits: [] };
    const trace = await playStream([grant as OwnerReply], change);
    expect(trace.sends).to.deep.equal([]);
    expect(trace.refusals).to.deep.equal(['no-upstream']);
    expect(trace.notifications).to.deep.equal(['end']);
  });
}
