import {
  makePermitSchedules,
  type PoolEngine,
  type SlotRequest,
  type SlotRequestId,
} from '@tarragonspool/core';
import type {
  DataCentre,
  PoolMessage,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeOwnerSelector } from './owners.js';
import { makePoolClient, type OwnerReply } from './place-asker.js';
import type { SlotReply } from './place-messages.js';
import { makePoolOwner, type OwnerMessage } from './pool-owner.js';

const CLIENT = 'vm-1' as VmId;
const OWNER = 'vm-2' as VmId;
const ENGINE = 'd' as UpstreamId;
const DATA_CENTRE = 'dc' as DataCentre;
const STEP_MS = 25;
const PATIENCE_MS = 6_000;
/** A request whose reply was lost gets another one within this time. */
const FOUND_WITHIN_MS = 400;

function buildEngine(slots: number): PoolEngine {
  return {
    upstreamId: ENGINE,
    dataCentre: DATA_CENTRE,
    stage: 'decode',
    incarnation: 1,
    isLeaving: false,
    slots,
    requestsPerSecond: undefined,
    softwareVersion: 'v1' as SoftwareVersion,
    kvCapacityTokens: 100_000,
  };
}

function buildRequest(askId: string): SlotRequest {
  return {
    askId: askId as SlotRequestId,
    vmId: CLIENT,
    dataCentre: DATA_CENTRE,
    rank: 0,
    contentKey: askId,
    promptTokens: 100,
    outputTokens: 30,
    aimAt: PATIENCE_MS,
    pauseMs: 300,
    patienceEndsAt: PATIENCE_MS,
    needsPrefill: false,
    // So that it is not refused for a forecast of its wait.
    isContinued: true,
    endsBy: Infinity,
    excluded: [],
    softwareVersion: undefined,
  };
}

/** A VM with requests and the owner of their pool, on one clock; messages arrive at once unless they are lost. */
function makePair(slots: number) {
  const logger = pino({ level: 'silent' });
  const ownerSelector = makeOwnerSelector(CLIENT);
  ownerSelector.addLink(OWNER, 0);
  let service = 'service-0' as ServiceName;
  for (let index = 0; ownerSelector.chooseOwner(service, 0) === CLIENT; index += 1) {
    service = `service-${index}` as ServiceName;
  }
  const replies: SlotReply[] = [];
  const pair = {
    now: 0,
    lostKinds: new Set<PoolMessage['kind']>(),
    handleReply: (_message: OwnerReply): void => undefined,
  };
  const handleReply = (message: PoolMessage): void => {
    if (!pair.lostKinds.has(message.kind)) pair.handleReply(message as OwnerReply);
  };
  const owner = makePoolOwner({
    self: OWNER,
    takeFraction: () => 0.5,
    reply: (_to, message) => handleReply(message),
    permits: makePermitSchedules(),
    isOwner: () => true,
    logger,
  });
  const client = makePoolClient({
    self: CLIENT,
    linkedBy: 0,
    ownerSelector,
    send: (to, message) => {
      expect(to).to.equal(OWNER);
      owner.handleMessage(CLIENT, message as OwnerMessage, pair.now);
    },
    logger,
  });
  pair.handleReply = (message) => client.handleAnswer(OWNER, message, pair.now);
  owner.updateEngines(service, [buildEngine(slots)], 0);
  const ask = (askId: string): void => {
    const onReply = (reply: SlotReply): void => {
      replies.push(reply);
    };
    const slotRequest = buildRequest(askId);
    client.handleRequest(
      { kind: 'ask', service, ask: slotRequest, hasRun: false, onReply },
      pair.now,
    );
  };
  const end = (askId: string): void => {
    const message = { kind: 'end', askId: askId as SlotRequestId, didFinish: true } as const;
    client.handleRequest(message, pair.now);
  };
  const play = (durationMs: number): void => {
    const until = pair.now + durationMs;
    while (pair.now < until) {
      pair.now += STEP_MS;
      ownerSelector.recordMessage(OWNER, pair.now);
      owner.tick(pair.now);
      client.checkOwners(pair.now);
    }
  };
  const listReplies = (): string[] => replies.map(({ kind, askId }) => `${kind} ${askId}`);
  return Object.assign(pair, { owner, service, ask, end, play, listReplies });
}

// Guards against streams that get 504 because their owner forgot their requests in a pause of its process.
it('lost requests: a request that waits while its owner stands still is granted after it', () => {
  const pair = makePair(1);
  pair.ask('first');
  pair.ask('second');
  pair.play(100);
  pair.owner.dropAssignmentsOfOthers(pair.now);
  pair.end('first');
  pair.play(FOUND_WITHIN_MS);
  expect(pair.listReplies()).to.deep.equal(['granted first', 'granted second']);
});

// Guards against the same where the reply was sent on a link that closed.
for (const lost of ['pool-grant', 'pool-refuse'] as const) {
  it(`lost requests: a request whose ${lost} does not arrive is answered with another one`, () => {
    const pair = makePair(1);
    pair.ask('first');
    pair.ask('second');
    pair.play(100);
    pair.lostKinds.add(lost);
    if (lost === 'pool-grant') pair.end('first');
    else pair.owner.updateEngines(pair.service, [], pair.now);
    pair.play(STEP_MS);
    expect(pair.listReplies()).to.deep.equal(['granted first']);
    pair.lostKinds.clear();
    pair.play(FOUND_WITHIN_MS);
    const expected = lost === 'pool-grant' ? 'granted second' : 'refused second';
    expect(pair.listReplies()).to.deep.equal(['granted first', expected]);
  });
}
