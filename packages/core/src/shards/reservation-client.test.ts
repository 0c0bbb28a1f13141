import type {
  AttemptId,
  DataCentre,
  ReservationRequest,
  ReservationGrant,
  ReservationId,
  ServiceName,
  ShardId,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { ReservationClientAction, AllocatorAddress } from './reservation-client-messages.js';
import {
  makeReservationClientState,
  type ReservationClientState,
} from './reservation-client-state.js';
import { handleReservationEvent } from './reservation-client.js';
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
const PRIVATE_ALLOCATOR: AllocatorAddress = { kind: 'private' };

function makeVmAllocator(vmId: VmId): AllocatorAddress {
  return { kind: 'vm', vmId };
}

function makeState(liveVms: readonly VmId[] = VMS): ReservationClientState {
  const state = makeReservationClientState(true);
  handleReservationEvent(state, {
    kind: 'view-changed',
    shards: listShards([ENGINE]),
    liveVms,
    now: 0,
  });
  return state;
}

function requestSlots(state: ReservationClientState, now: number): ReservationClientAction[] {
  const reservationRequest = {
    attemptId: ATTEMPT,
    service: SERVICE,
    dataCentre: 'a',
  } as ReservationRequest;
  return handleReservationEvent(state, { kind: 'asked', ask: reservationRequest, now });
}

function deliverGrant(
  state: ReservationClientState,
  from: AllocatorAddress,
  now: number,
): ReservationClientAction[] {
  const grant = {
    reservationId: 'x-1' as ReservationId,
    attemptId: ATTEMPT,
    prefill: 'e1',
    prefillAt: now,
  } as ReservationGrant;
  return handleReservationEvent(state, { kind: 'granted', from, shardId: SHARD, grant, now });
}

function listSends(actions: readonly ReservationClientAction[]): string[] {
  return actions.map((action) => {
    if (!('to' in action)) return action.kind;
    return `${action.kind} ${action.to.kind === 'vm' ? action.to.vmId : 'private'}`;
  });
}

it('reservation client: two silent owners are skipped in turn, then the private allocator takes their place', () => {
  const state = makeState();
  expect(listSends(requestSlots(state, 0))).to.deep.equal([`send-ask ${FIRST}`]);
  const second = listSends(handleReservationEvent(state, { kind: 'ticked', now: 150 }));
  expect(second).to.deep.equal([`send-withdraw ${FIRST}`, `send-ask ${SECOND}`]);
  const third = listSends(handleReservationEvent(state, { kind: 'ticked', now: 300 }));
  expect(third).to.deep.equal([`send-withdraw ${SECOND}`, 'send-ask private']);
});

it('reservation client: a queued `ask` waits for its owner without a timeout', () => {
  const state = makeState();
  requestSlots(state, 0);
  handleReservationEvent(state, {
    kind: 'queued',
    from: makeVmAllocator(FIRST),
    attemptId: ATTEMPT,
    now: 5,
  });
  expect(listSends(handleReservationEvent(state, { kind: 'ticked', now: 900 }))).to.deep.equal([]);
});

it('reservation client: a grant from an owner that was skipped is returned unused', () => {
  const state = makeState();
  requestSlots(state, 0);
  handleReservationEvent(state, { kind: 'ticked', now: 150 });
  expect(listSends(deliverGrant(state, makeVmAllocator(FIRST), 160))).to.deep.equal([
    `send-end ${FIRST}`,
  ]);
  expect(listSends(deliverGrant(state, makeVmAllocator(SECOND), 161))).to.deep.equal([
    'answer-granted',
  ]);
});

it('reservation client: when an owner dies, each `ask` is resent and reservations are announced', () => {
  const pendingState = makeState();
  requestSlots(pendingState, 0);
  const shards = listShards([ENGINE]);
  const liveVms = [SECOND, THIRD];
  const actions = handleReservationEvent(pendingState, {
    kind: 'view-changed',
    shards,
    liveVms,
    now: 20,
  });
  expect(listSends(actions)).to.deep.equal([`send-ask ${SECOND}`]);

  const grantedState = makeState();
  requestSlots(grantedState, 0);
  deliverGrant(grantedState, makeVmAllocator(FIRST), 2);
  const announced = handleReservationEvent(grantedState, {
    kind: 'view-changed',
    shards,
    liveVms,
    now: 20,
  });
  expect(listSends(announced)).to.deep.equal([`send-held ${SECOND}`]);
});

it('reservation client: a live previous owner is notified that its reservations moved', () => {
  const state = makeState([SECOND, THIRD]);
  requestSlots(state, 0);
  deliverGrant(state, makeVmAllocator(SECOND), 2);
  const shards = listShards([ENGINE]);
  const actions = handleReservationEvent(state, {
    kind: 'view-changed',
    shards,
    liveVms: VMS,
    now: 20,
  });
  expect(listSends(actions)).to.deep.equal([`send-end ${SECOND}`, `send-held ${FIRST}`]);
});

it('reservation client: private reservations are announced once a shard has an owner', () => {
  const state = makeState([]);
  requestSlots(state, 0);
  deliverGrant(state, PRIVATE_ALLOCATOR, 2);
  const shards = listShards([ENGINE]);
  const actions = handleReservationEvent(state, {
    kind: 'view-changed',
    shards,
    liveVms: VMS,
    now: 20,
  });
  expect(listSends(actions)).to.deep.equal(['send-end private', `send-held ${FIRST}`]);
});

it('reservation client: progress is reported when it changes, and again while it is stalled', () => {
  const state = makeState();
  requestSlots(state, 0);
  deliverGrant(state, makeVmAllocator(FIRST), 0);
  const tick = (now: number) => listSends(handleReservationEvent(state, { kind: 'ticked', now }));
  expect(tick(100)).to.deep.equal([`send-progress ${FIRST}`]);
  expect(tick(199)).to.deep.equal([]);
  expect(tick(200)).to.deep.equal([`send-progress ${FIRST}`]);
  expect(tick(300)).to.deep.equal([`send-progress ${FIRST}`]);
});

it('reservation client: baseline policies send each `ask` only to the private allocator', () => {
  const state = makeReservationClientState(false);
  const shards = listShards([ENGINE]);
  handleReservationEvent(state, { kind: 'view-changed', shards, liveVms: VMS, now: 0 });
  expect(listSends(requestSlots(state, 0))).to.deep.equal(['send-ask private']);
});

it('reservation client: the withdrawal of an `ask` is sent to its owner, and a later grant is returned unused', () => {
  const state = makeState();
  requestSlots(state, 0);
  const withdrawn = handleReservationEvent(state, {
    kind: 'withdrawn',
    attemptId: ATTEMPT,
    now: 5,
  });
  expect(listSends(withdrawn)).to.deep.equal([`send-withdraw ${FIRST}`]);
  expect(listSends(deliverGrant(state, makeVmAllocator(FIRST), 9))).to.deep.equal([
    `send-end ${FIRST}`,
  ]);
});
