import { makeUpstreamList, type SlotRequest, type Route } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { PlaceReply, PlaceRequestMessage } from '../pools/place-messages.js';
import type { PoolTaskMessage } from '../pools/pool-task.js';
import { makeChannel, receive, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { runStreamRequest } from './stream-flow.js';

type Played = {
  readonly asks: SlotRequest[];
  readonly told: string[];
  readonly refusals: string[];
};

function buildRequest(refusals: string[]): GatewayRequest {
  const now = getSteadyMs();
  const route = { maxAttempts: 1, isResumable: false, gapTargetMs: 300, targetLatencyMs: 900 };
  return {
    fields: { requestId: 'r1', promptTokens: 5_000, maxOutputTokens: 9_000 },
    route: route as unknown as Route,
    service: 'llm',
    path: '/a/',
    arrivedAt: now,
    deadlineAt: now + 10_000,
    aimAt: now + 900,
    reply: { getState: () => 'open', refuse: (name: string) => refusals.push(name) },
    inbox: makeChannel(16),
  } as unknown as GatewayRequest;
}

/** Plays one stream against an owner that answers each ask with the next of these replies. */
type Answer =
  | Omit<Extract<PlaceReply, { kind: 'granted' }>, 'askId'>
  | Omit<Extract<PlaceReply, { kind: 'refused' }>, 'askId'>;

async function playStream(replies: readonly Answer[]): Promise<Played> {
  const played: Played = { asks: [], told: [], refusals: [] };
  const inbox = makeChannel<PoolTaskMessage>(64);
  const state = {
    pools: { inbox, countLiveVms: () => 1 },
    logger: pino({ level: 'silent' }),
    upstreams: makeUpstreamList(),
    settings: { vmId: 'vm-1', retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 0 },
    retries: new Map(),
    listedVms: 1,
    startName: 'vm-1-x',
    askCount: 0,
  } as unknown as GatewayState;

  function answer(message: PlaceRequestMessage): void {
    if (message.kind !== 'ask') {
      played.told.push(message.kind);
      return;
    }
    const reply = replies[played.asks.length];
    played.asks.push(message.ask);
    if (reply !== undefined) message.onReply({ ...reply, askId: message.ask.askId });
  }

  function* runOwner(): Task {
    for (;;) {
      const message = yield* receive(inbox);
      if (message === undefined) return;
      if (message.kind === 'request') answer(message.message);
    }
  }

  startTask('owner', runOwner, () => undefined);
  await new Promise<void>((resolve) => {
    startTask(
      'stream',
      () => runStreamRequest(state, buildRequest(played.refusals)),
      () => resolve(),
    );
  });
  inbox.close();
  return played;
}

const GONE = 'gone' as UpstreamId;
const NEVER_SEEN = 'never-seen' as UpstreamId;
const REFUSED = { kind: 'refused', reason: 'no-engine', retryAfterMs: 900 } as const;

it('streams: an owner that still lists an engine that is gone is asked for another one', async () => {
  const grants = [
    { kind: 'granted', prefill: undefined, decode: GONE },
    { kind: 'granted', prefill: NEVER_SEEN, decode: GONE },
  ] as const;
  const { asks, refusals, told } = await playStream([...grants, REFUSED]);
  expect(asks.map(({ excluded }) => [...excluded])).to.deep.equal([[], [GONE], [GONE, NEVER_SEEN]]);
  expect(refusals).to.deep.equal(['deadline-unreachable']);
  expect(told).to.deep.equal(['end', 'end']);
});

it('streams: an engine that only this VM does not know costs nothing of the retry budget', async () => {
  const { asks } = await playStream([
    { kind: 'granted', prefill: undefined, decode: GONE } as const,
    REFUSED,
  ]);
  expect(asks).to.have.length(2);
});
