import type { SlotRequestId, SlotRequest } from '@tarragonspool/core';
import type {
  DataCentre,
  PoolMessage,
  ServiceName,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeOwnerSelector } from './owners.js';
import { makePoolClient } from './place-asker.js';
import type { SlotReply } from './place-messages.js';

const SELF = 'vm-1' as VmId;
const PEERS = ['vm-2', 'vm-3', 'vm-4', 'vm-5'] as VmId[];
const DECODE = 'd' as UpstreamId;

function buildSlotRequest(askId: string): SlotRequest {
  return {
    askId: askId as SlotRequestId,
    vmId: SELF,
    dataCentre: 'dc' as DataCentre,
    rank: 0,
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
    softwareVersion: undefined,
  };
}

function buildClient(linkedBy = 0) {
  const ownerSelector = makeOwnerSelector(SELF);
  for (const peer of PEERS) ownerSelector.addLink(peer, 0);
  const sent: { to: VmId; message: PoolMessage }[] = [];
  const replies: SlotReply[] = [];
  const logger = pino({ level: 'silent' });
  const send = (to: VmId, message: PoolMessage): void => {
    sent.push({ to, message });
  };
  const client = makePoolClient({ self: SELF, linkedBy, ownerSelector, send, logger });
  let service = 'service-0' as ServiceName;
  for (let index = 0; ownerSelector.chooseOwner(service, 0) === SELF; index += 1) {
    service = `service-${index}` as ServiceName;
  }
  const ask = (askId: string, hasRun = false): void => {
    const onReply = (reply: SlotReply): void => {
      replies.push(reply);
    };
    const message = {
      kind: 'ask',
      service,
      ask: buildSlotRequest(askId),
      hasRun,
      onReply,
    } as const;
    client.handleRequest(message, 0);
  };
  const listAskedOwners = (): VmId[] =>
    sent.filter(({ message }) => message.kind === 'pool-ask').map(({ to }) => to);
  return { ownerSelector, client, sent, replies, service, ask, listAskedOwners };
}

function buildGrant(
  service: ServiceName,
  askId: string,
): Extract<PoolMessage, { kind: 'pool-grant' }> {
  return { kind: 'pool-grant', service, askId, decode: DECODE, endsInMs: 1_000, permits: [] };
}

it('pool client: the next VM takes over in place of an owner that does not acknowledge a request', () => {
  const { ownerSelector, client, ask, listAskedOwners } = buildClient();
  ask('a');
  for (const peer of PEERS) ownerSelector.recordMessage(peer, 100);
  client.checkOwners(100);
  expect(listAskedOwners()).to.have.length(1);
  client.checkOwners(130);
  const [first, second] = listAskedOwners();
  expect(second).not.to.equal(undefined);
  expect(second).not.to.equal(first);
});

it('pool client: an acknowledged request keeps its place in the queue while its owner is alive', () => {
  const { ownerSelector, client, ask, listAskedOwners } = buildClient();
  ask('a');
  const [owner = SELF] = listAskedOwners();
  client.handleAnswer(owner, { kind: 'pool-queued', askId: 'a' }, 5);
  for (const peer of PEERS) ownerSelector.recordMessage(peer, 600);
  client.checkOwners(600);
  expect(listAskedOwners()).to.have.length(1);
});

it('pool client: a second grant does not take the place of the first and is released', () => {
  const { client, ask, listAskedOwners, sent, replies, service } = buildClient();
  ask('a');
  const [owner = SELF] = listAskedOwners();
  client.handleAnswer(owner, buildGrant(service, 'a'), 5);
  const other = PEERS.find((peer) => peer !== owner) ?? SELF;
  client.handleAnswer(other, buildGrant(service, 'a'), 6);
  expect(replies).to.have.length(1);
  expect(sent.at(-1)).to.deep.equal({
    to: other,
    message: { kind: 'pool-end', service, askId: 'a', didFinish: false },
  });
});

it('pool client: a VM that takes the place of an owner is sent all assignments, the old owner none', () => {
  const { ownerSelector, client, ask, listAskedOwners, sent, service } = buildClient();
  ask('a');
  const [owner = SELF] = listAskedOwners();
  client.handleAnswer(owner, buildGrant(service, 'a'), 5);
  ownerSelector.removeLink(owner);
  client.checkOwners(10);
  const lists = sent.slice(-2);
  expect(
    lists.map(({ message }) => message.kind === 'pool-runs' && message.runs.length),
  ).to.deep.equal([0, 1]);
  expect(lists[0]?.to).to.equal(owner);
});

it('pool client: planned stop: pending requests are sent again in place, with the time of the stop', () => {
  const { client, ask, sent, service } = buildClient();
  ask('a');
  ask('has-run', true);
  client.handleStop(7_000, 500);
  const again = sent.slice(-2).map(({ message }) => message);
  expect(again).to.deep.include({ kind: 'pool-withdraw', service, askId: 'a' });
  const [, asked] = again;
  expect(asked).to.include({ kind: 'pool-ask', askId: 'a', endsInMs: 6_500 });
  ask('b');
  const last = sent.at(-1)?.message;
  expect(last).to.include({ kind: 'pool-ask', askId: 'b', endsInMs: 7_000 });
});

it('pool client: VMs that all start at once ask no owner before the peers are linked', () => {
  const { client, ask, sent, listAskedOwners } = buildClient(400);
  ask('a');
  ask('gone');
  client.checkOwners(380);
  expect(sent).to.deep.equal([]);
  client.handleRequest({ kind: 'withdraw', askId: 'gone' as SlotRequestId }, 390);
  client.checkOwners(410);
  expect(listAskedOwners()).to.have.length(1);
  client.checkOwners(430);
  expect(listAskedOwners()).to.have.length(1);
});

// Guards against a request that waits until its deadline for an owner that has forgotten it.
it('pool client: a request that is acknowledged and neither granted nor refused is sent again to its owner', () => {
  const { ownerSelector, client, ask, sent, replies, service } = buildClient();
  ask('a');
  const [owner = SELF] = sent.map(({ to }) => to);
  client.handleAnswer(owner, { kind: 'pool-queued', askId: 'a' }, 5);
  const listRepeated = () => sent.filter(({ message }) => message.kind === 'pool-ask-again');
  for (let now = 25; now <= 1_000; now += 25) {
    for (const peer of PEERS) ownerSelector.recordMessage(peer, now);
    client.checkOwners(now);
  }
  expect(listRepeated().map(({ to }) => to)).to.deep.equal([owner, owner, owner]);
  client.handleAnswer(owner, buildGrant(service, 'a'), 1_010);
  for (const peer of PEERS) ownerSelector.recordMessage(peer, 1_500);
  client.checkOwners(1_500);
  expect(listRepeated()).to.have.length(3);
  expect(replies).to.have.length(1);
});

// Guards against a slot that is given up because the grant of a repeated request comes twice.
it('pool client: a grant that an owner repeats leaves the first one in place', () => {
  const { client, ask, sent, replies, service, listAskedOwners } = buildClient();
  ask('a');
  const [owner = SELF] = listAskedOwners();
  client.handleAnswer(owner, buildGrant(service, 'a'), 5);
  client.handleAnswer(owner, buildGrant(service, 'a'), 6);
  expect(replies).to.have.length(1);
  expect(sent.filter(({ message }) => message.kind === 'pool-end')).to.deep.equal([]);
});

// Guards against a request that was lost on its way to the next owner and counts as received there.
it('pool client: a late acknowledgement of an owner before says nothing of the next one', () => {
  const { ownerSelector, client, ask, listAskedOwners } = buildClient();
  ask('a');
  const step = (now: number): void => {
    for (const peer of PEERS) ownerSelector.recordMessage(peer, now);
    client.checkOwners(now);
  };
  const [first = SELF] = listAskedOwners();
  for (const vmId of [SELF, first]) ownerSelector.recordUnfit(vmId, true);
  step(20);
  client.handleAnswer(first, { kind: 'pool-queued', askId: 'a' }, 30);
  step(100);
  expect(listAskedOwners()).to.have.length(2);
  step(150);
  expect(listAskedOwners()).to.have.length(3);
});
