import type { SlotRequestId, SlotRequest } from '@tarragonspool/core';
import type { PoolMessage, ServiceName, UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeOwners } from './owners.js';
import { makePlaceAsker } from './place-asker.js';
import type { PlaceReply } from './place-messages.js';

const SELF = 'vm-1' as VmId;
const PEERS = ['vm-2', 'vm-3', 'vm-4', 'vm-5'] as VmId[];
const DECODE = 'd' as UpstreamId;

function buildAsk(askId: string): SlotRequest {
  return {
    askId: askId as SlotRequestId,
    vmId: SELF,
    contentKey: askId,
    promptTokens: 10,
    outputTokens: 10,
    aimAt: 900,
    pauseMs: 300,
    patienceEndsAt: 3_000,
    needsPrefill: true,
    isContinued: false,
    endsBy: Infinity,
    excluded: [],
  };
}

function buildSite(asksFrom = 0) {
  const owners = makeOwners(SELF);
  for (const peer of PEERS) owners.addLink(peer, 0);
  const sent: { to: VmId; message: PoolMessage }[] = [];
  const replies: PlaceReply[] = [];
  const logger = pino({ level: 'silent' });
  const tell = (to: VmId, message: PoolMessage): void => {
    sent.push({ to, message });
  };
  const asker = makePlaceAsker({ self: SELF, asksFrom, owners, tell, logger });
  let service = 'service-0' as ServiceName;
  for (let index = 0; owners.chooseOwner(service, 0) === SELF; index += 1) {
    service = `service-${index}` as ServiceName;
  }
  const ask = (askId: string, hasRun = false): void => {
    const onReply = (reply: PlaceReply): void => {
      replies.push(reply);
    };
    const message = { kind: 'ask', service, ask: buildAsk(askId), hasRun, onReply } as const;
    asker.handleRequest(message, 0);
  };
  const findAsks = (): VmId[] =>
    sent.filter(({ message }) => message.kind === 'pool-ask').map(({ to }) => to);
  return { owners, asker, sent, replies, service, ask, findAsks };
}

function buildGrant(
  service: ServiceName,
  askId: string,
): Extract<PoolMessage, { kind: 'pool-grant' }> {
  return { kind: 'pool-grant', service, askId, decode: DECODE, endsInMs: 1_000 };
}

it('place asker: an owner that does not say that it heard is passed over', () => {
  const { owners, asker, ask, findAsks } = buildSite();
  ask('a');
  for (const peer of PEERS) owners.recordHeard(peer, 100);
  asker.checkOwners(100);
  expect(findAsks()).to.have.length(1);
  asker.checkOwners(130);
  const [first, second] = findAsks();
  expect(second).not.to.equal(undefined);
  expect(second).not.to.equal(first);
});

it('place asker: an ask that was heard waits as long as its owner lives', () => {
  const { owners, asker, ask, findAsks } = buildSite();
  ask('a');
  const [owner = SELF] = findAsks();
  asker.handleAnswer(owner, { kind: 'pool-queued', askId: 'a' }, 5);
  for (const peer of PEERS) owners.recordHeard(peer, 600);
  asker.checkOwners(600);
  expect(findAsks()).to.have.length(1);
});

it('place asker: a second grant for one ask gives its place back', () => {
  const { asker, ask, findAsks, sent, replies, service } = buildSite();
  ask('a');
  const [owner = SELF] = findAsks();
  asker.handleAnswer(owner, buildGrant(service, 'a'), 5);
  const other = PEERS.find((peer) => peer !== owner) ?? SELF;
  asker.handleAnswer(other, buildGrant(service, 'a'), 6);
  expect(replies).to.have.length(1);
  expect(sent.at(-1)).to.deep.equal({
    to: other,
    message: { kind: 'pool-end', service, askId: 'a', didFinish: false },
  });
});

it('place asker: a new owner hears of all runs, the old one that there are none', () => {
  const { owners, asker, ask, findAsks, sent, service } = buildSite();
  ask('a');
  const [owner = SELF] = findAsks();
  asker.handleAnswer(owner, buildGrant(service, 'a'), 5);
  owners.removeLink(owner);
  asker.checkOwners(10);
  const lists = sent.slice(-2);
  expect(
    lists.map(({ message }) => message.kind === 'pool-runs' && message.runs.length),
  ).to.deep.equal([0, 1]);
  expect(lists[0]?.to).to.equal(owner);
});

it('place asker: planned stop: what waits is asked for again with the time of the stop', () => {
  const { asker, ask, sent, service } = buildSite();
  ask('a');
  ask('has-run', true);
  asker.handleStop(7_000, 500);
  const again = sent.slice(-2).map(({ message }) => message);
  expect(again).to.deep.include({ kind: 'pool-withdraw', service, askId: 'a' });
  const [, asked] = again;
  expect(asked).to.include({ kind: 'pool-ask', askId: 'a', endsInMs: 6_500 });
  ask('b');
  const last = sent.at(-1)?.message;
  expect(last).to.include({ kind: 'pool-ask', askId: 'b', endsInMs: 7_000 });
});

it('place asker: all VMs start at once: nothing is asked before the peers are linked', () => {
  const { asker, ask, sent, findAsks } = buildSite(400);
  ask('a');
  ask('gone');
  asker.checkOwners(380);
  expect(sent).to.deep.equal([]);
  asker.handleRequest({ kind: 'withdraw', askId: 'gone' as SlotRequestId }, 390);
  asker.checkOwners(410);
  expect(findAsks()).to.have.length(1);
  asker.checkOwners(430);
  expect(findAsks()).to.have.length(1);
});
