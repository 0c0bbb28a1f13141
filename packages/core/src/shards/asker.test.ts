import type {
  AttemptId,
  DataCentre,
  ReservationAsk,
  ReservationGrant,
  ReservationId,
  ServiceName,
  ShardId,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { AskerAction, Granter } from './asker-messages.js';
import { makeAskerState, type AskerState } from './asker-state.js';
import { handleAskerEvent } from './asker.js';
import { listOwners, listShards, type ShardEngine } from './shards.js';

const SERVICE = 'scribe' as ServiceName;
const SHARD = 'scribe@default' as ShardId;
const VMS = ['vm-1', 'vm-2', 'vm-3'] as VmId[];
const [FIRST = '' as VmId, SECOND = '' as VmId, THIRD = '' as VmId] = listOwners(SHARD, VMS);
const ATTEMPT = 'r1.1' as AttemptId;
const ENGINE: ShardEngine = {
  upstreamId: 'e1' as UpstreamId,
  service: SERVICE,
  dataCentre: 'a' as DataCentre,
};
const PRIVATE: Granter = { kind: 'private' };

function makeVm(vmId: VmId): Granter {
  return { kind: 'vm', vmId };
}

function makeState(liveVms: readonly VmId[] = VMS): AskerState {
  const state = makeAskerState(true);
  handleAskerEvent(state, { kind: 'view-changed', shards: listShards([ENGINE]), liveVms, now: 0 });
  return state;
}

function ask(state: AskerState, now: number): AskerAction[] {
  const wanted = { attemptId: ATTEMPT, service: SERVICE, dataCentre: 'a' } as ReservationAsk;
  return handleAskerEvent(state, { kind: 'asked', ask: wanted, now });
}

function grant(state: AskerState, from: Granter, now: number): AskerAction[] {
  const given = {
    reservationId: 'x-1' as ReservationId,
    attemptId: ATTEMPT,
    prefill: 'e1',
    prefillAt: now,
  } as ReservationGrant;
  return handleAskerEvent(state, { kind: 'granted', from, shardId: SHARD, grant: given, now });
}

function listSends(actions: readonly AskerAction[]): string[] {
  return actions.map((action) => {
    if (!('to' in action)) return action.kind;
    return `${action.kind} ${action.to.kind === 'vm' ? action.to.vmId : 'private'}`;
  });
}

it('asker: a silent owner is passed over, then the next, then the private allocator answers', () => {
  const state = makeState();
  expect(listSends(ask(state, 0))).to.deep.equal([`send-ask ${FIRST}`]);
  const second = listSends(handleAskerEvent(state, { kind: 'ticked', now: 150 }));
  expect(second).to.deep.equal([`send-withdraw ${FIRST}`, `send-ask ${SECOND}`]);
  const third = listSends(handleAskerEvent(state, { kind: 'ticked', now: 300 }));
  expect(third).to.deep.equal([`send-withdraw ${SECOND}`, 'send-ask private']);
});

it('asker: a queued ask waits for its owner', () => {
  const state = makeState();
  ask(state, 0);
  handleAskerEvent(state, { kind: 'queued', from: makeVm(FIRST), attemptId: ATTEMPT, now: 5 });
  expect(listSends(handleAskerEvent(state, { kind: 'ticked', now: 900 }))).to.deep.equal([]);
});

it('asker: a late grant of an owner that was passed over is given back', () => {
  const state = makeState();
  ask(state, 0);
  handleAskerEvent(state, { kind: 'ticked', now: 150 });
  expect(listSends(grant(state, makeVm(FIRST), 160))).to.deep.equal([`send-end ${FIRST}`]);
  expect(listSends(grant(state, makeVm(SECOND), 161))).to.deep.equal(['answer-granted']);
});

it('asker: waiting asks of a dead owner are asked again, held places are announced', () => {
  const waiting = makeState();
  ask(waiting, 0);
  const shards = listShards([ENGINE]);
  const liveVms = [SECOND, THIRD];
  const moved = handleAskerEvent(waiting, { kind: 'view-changed', shards, liveVms, now: 20 });
  expect(listSends(moved)).to.deep.equal([`send-ask ${SECOND}`]);

  const holding = makeState();
  ask(holding, 0);
  grant(holding, makeVm(FIRST), 2);
  const announced = handleAskerEvent(holding, { kind: 'view-changed', shards, liveVms, now: 20 });
  expect(listSends(announced)).to.deep.equal([`send-held ${SECOND}`]);
});

it('asker: an owner that is still live hears that places moved to another', () => {
  const state = makeState([SECOND, THIRD]);
  ask(state, 0);
  grant(state, makeVm(SECOND), 2);
  const shards = listShards([ENGINE]);
  const moved = handleAskerEvent(state, { kind: 'view-changed', shards, liveVms: VMS, now: 20 });
  expect(listSends(moved)).to.deep.equal([`send-end ${SECOND}`, `send-held ${FIRST}`]);
});

it('asker: places of the private allocator are announced once an owner answers again', () => {
  const state = makeState([]);
  ask(state, 0);
  grant(state, PRIVATE, 2);
  const shards = listShards([ENGINE]);
  const moved = handleAskerEvent(state, { kind: 'view-changed', shards, liveVms: VMS, now: 20 });
  expect(listSends(moved)).to.deep.equal(['send-end private', `send-held ${FIRST}`]);
});

it('asker: progress is sent when it moves, and again while it stands still', () => {
  const state = makeState();
  ask(state, 0);
  grant(state, makeVm(FIRST), 0);
  const tick = (now: number) => listSends(handleAskerEvent(state, { kind: 'ticked', now }));
  expect(tick(100)).to.deep.equal([`send-progress ${FIRST}`]);
  expect(tick(199)).to.deep.equal([]);
  expect(tick(200)).to.deep.equal([`send-progress ${FIRST}`]);
  expect(tick(300)).to.deep.equal([`send-progress ${FIRST}`]);
});

it('asker: baseline policies ask the private allocator only', () => {
  const state = makeAskerState(false);
  const shards = listShards([ENGINE]);
  handleAskerEvent(state, { kind: 'view-changed', shards, liveVms: VMS, now: 0 });
  expect(listSends(ask(state, 0))).to.deep.equal(['send-ask private']);
});

it('asker: a withdrawn ask is withdrawn at the owner and its late grant given back', () => {
  const state = makeState();
  ask(state, 0);
  const withdrawn = handleAskerEvent(state, { kind: 'withdrawn', attemptId: ATTEMPT, now: 5 });
  expect(listSends(withdrawn)).to.deep.equal([`send-withdraw ${FIRST}`]);
  expect(listSends(grant(state, makeVm(FIRST), 9))).to.deep.equal([`send-end ${FIRST}`]);
});
