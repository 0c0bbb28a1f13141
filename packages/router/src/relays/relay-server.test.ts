import type { ClearedUpstream, SendClearance } from '@tarragonspool/core';
import type { DataCentre, RelayMessage, UpstreamId, VmId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { UpstreamEvent } from '../upstreams/upstream-client.js';
import { makeRelayClient } from './relay-client.js';
import { makeRelayServer } from './relay-server.js';

const PEER = 'vm-1' as VmId;
const SERVER = { upstreamId: 'a', incarnation: 1 } as unknown as ClearedUpstream;
const CLEARED: SendClearance = { kind: 'cleared', server: SERVER };
const LEAVING: SendClearance = { kind: 'refused', refusal: { reason: 'leaving' } };

type Options = {
  readonly clearance: SendClearance;
  readonly hasStoodStill: boolean;
  readonly isLost: boolean;
  readonly hasRoom: boolean;
};

function buildRelay(options: Partial<Options> = {}) {
  const { clearance = CLEARED, hasStoodStill = false, isLost = false, hasRoom = true } = options;
  const told: RelayMessage[] = [];
  const calls: string[] = [];
  const held: {
    emit?: (event: UpstreamEvent) => void;
    queuedBytes: number;
    open: number;
    bodies: number;
  } = { queuedBytes: 0, open: 0, bodies: 0 };
  const relay = makeRelayServer({
    ask: () => clearance,
    isLost: () => isLost,
    sendDirect: (_call, emit) => {
      calls.push('send');
      held.emit = emit;
      return {
        cancel: () => calls.push('cancel'),
        abort: () => calls.push('abort'),
        pause: () => calls.push('pause'),
        resume: () => calls.push('resume'),
      };
    },
    tryPath: () => Promise.resolve('opened'),
    sendTo: (_vmId, message) => {
      told.push(message);
      return true;
    },
    countQueuedBytes: () => held.queuedBytes,
    beginBody: () => {
      if (!hasRoom) return undefined;
      held.bodies += 1;
      return {
        end: () => {
          held.bodies -= 1;
        },
      };
    },
    hasStoodStill: () => hasStoodStill,
    onCount: (change) => {
      held.open += change;
    },
    recordRelayed: () => undefined,
    logger: pino({ level: 'silent' }),
  });
  const send = (): void =>
    relay.handleSend(PEER, {
      kind: 'relay-send',
      number: 1,
      requestId: 'r',
      upstreamId: 'a' as UpstreamId,
      incarnation: 1,
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
    });
  return { relay, send, told, calls, held };
}

function listUnsentReasons(told: readonly RelayMessage[]): string[] {
  const reasons: string[] = [];
  for (const message of told) {
    if (message.kind !== 'relay-event' || message.event.kind !== 'failed') continue;
    if (!message.event.isSent) reasons.push(message.event.reason);
  }
  return reasons;
}

// Guards against a server that leaves getting requests on the second way.
it('relay: a server that leaves by what this VM knows gets nothing for a peer', () => {
  const { send, told, calls } = buildRelay({ clearance: LEAVING });
  send();
  expect(calls).to.deep.equal([]);
  expect(listUnsentReasons(told)).to.deep.equal(['leaving']);
});

// Guards against requests being sent after their VM gave them up, while this one stood still.
it('relay: what was read after this process stood still is not sent', () => {
  const { send, told, calls } = buildRelay({ hasStoodStill: true });
  send();
  expect(calls).to.deep.equal([]);
  expect(listUnsentReasons(told)).to.deep.equal(['relay stood still']);
});

// Guards against a send waiting at a peer that reaches the server no better.
it('relay: a server whose way is lost here too is refused at once', () => {
  const { send, told, calls } = buildRelay({ isLost: true });
  send();
  expect(calls).to.deep.equal([]);
  expect(listUnsentReasons(told)).to.have.length(1);
});

// Guards against servers working on for callers that have left, or for a VM that is gone.
it('relay: sends of a peer are dropped as it cancels them or its link ends', () => {
  const { relay, send, calls, held } = buildRelay();
  send();
  relay.handleCancel(PEER, 1);
  relay.handleCancel(PEER, 1);
  expect(calls).to.deep.equal(['send', 'cancel']);
  send();
  relay.handleLinkEnded(PEER);
  expect(calls).to.deep.equal(['send', 'cancel', 'send', 'cancel']);
  expect(held.open).to.equal(0);
});

// Guards against a link that is closed as unused while requests of its peer are sent.
it('relay: a peer uses this VM while a send for it is under way', () => {
  const { relay, send, held } = buildRelay();
  expect(relay.isUsedBy(PEER)).to.equal(false);
  send();
  expect(relay.isUsedBy(PEER)).to.equal(true);
  held.emit?.({ kind: 'ended' });
  expect(relay.isUsedBy(PEER)).to.equal(false);
});

// Guards against the same while a peer sends requests of this VM.
it('relay: this VM uses a peer while a send by way of it is under way', () => {
  const relay = makeRelayClient({
    dataCentre: 'dc' as DataCentre,
    listPeers: () => [{ vmId: PEER, dataCentre: 'dc' as DataCentre }],
    sendTo: () => true,
    takeFraction: () => 0,
    onSent: () => undefined,
    logger: pino({ level: 'silent' }),
  });
  const call = { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), requestId: 'r' };
  const onSent = (): void => undefined;
  relay.send({ ...call, server: SERVER, onSent }, new Set(), () => undefined);
  expect(relay.isUsing(PEER)).to.equal(true);
  relay.handleEvent(PEER, 1, { kind: 'ended' });
  expect(relay.isUsing(PEER)).to.equal(false);
});

// Guards against an answer filling the memory of this VM while its peer does not read.
it('relay: an answer is read on only while its peer takes it', () => {
  const { relay, send, calls, held } = buildRelay();
  send();
  held.queuedBytes = 2_000_000;
  held.emit?.({ kind: 'data', chunk: Buffer.from('x') });
  expect(calls).to.deep.equal(['send', 'pause']);
  held.queuedBytes = 0;
  relay.handleFlow(PEER, 1, true);
  relay.handleFlow(PEER, 1, false);
  relay.handleCancel(PEER, 1);
  expect(calls).to.deep.equal(['send', 'pause', 'pause', 'pause', 'cancel']);
});

// Guards against bodies of many cut VMs that fill the memory of the one that sends them.
it('relay: a body for which there is no room is not sent, others are counted until their send ends', () => {
  const refused = buildRelay({ hasRoom: false });
  refused.send();
  expect(refused.calls).to.deep.equal([]);
  expect(listUnsentReasons(refused.told)).to.deep.equal(['relay has no room for the body']);
  const { relay, send, held } = buildRelay();
  send();
  expect(held.bodies).to.equal(1);
  held.emit?.({ kind: 'ended' });
  expect(held.bodies).to.equal(0);
  send();
  relay.handleLinkEnded(PEER);
  expect(held.bodies).to.equal(0);
});
