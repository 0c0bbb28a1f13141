import { expect } from 'chai';
import type {
  DataCentre,
  Incarnation,
  RuleRevision,
  ServiceName,
  UpstreamId,
  VmId,
  VmRecord,
  VmState,
} from '@tarragonspool/protocol';
import {
  handleMembershipEvent,
  HEARTBEAT_TIMEOUT_MS,
  isClosedToNewWork,
  listLiveVms,
  makeMembershipState,
  type MembershipState,
} from './membership.js';

const LEDGER = 'ledger-1' as UpstreamId;
const PEER = 'vm-2' as VmId;

function makeServer(state: VmState, incarnation: number): VmRecord {
  return {
    kind: 'server',
    upstreamId: LEDGER,
    incarnation: incarnation as Incarnation,
    service: 'ledger' as ServiceName,
    dataCentre: 'dc' as DataCentre,
    state,
    url: 'http://127.0.0.1:1',
  };
}

function receiveHeartbeat(
  state: MembershipState,
  now: number,
  options: { readonly incarnation?: number; readonly isLeaving?: boolean } = {},
): ReturnType<typeof handleMembershipEvent> {
  return handleMembershipEvent(state, {
    kind: 'heartbeat',
    vmId: PEER,
    incarnation: (options.incarnation ?? 1) as Incarnation,
    isLeaving: options.isLeaving ?? false,
    rulesRevision: 0 as RuleRevision,
    leaving: [],
    now,
  });
}

it('membership: a stale list does not bring a leaving upstream back', () => {
  const state = makeMembershipState('vm-1' as VmId);
  handleMembershipEvent(state, { kind: 'listed', records: [makeServer('leaving', 1)], now: 1 });
  handleMembershipEvent(state, { kind: 'listed', records: [makeServer('live', 1)], now: 2 });
  expect(isClosedToNewWork(state, LEDGER, 1 as Incarnation)).to.equal(true);
  expect(isClosedToNewWork(state, LEDGER, 2 as Incarnation)).to.equal(false);
});

it('membership: a leaving mark from peers takes effect before the list has it', () => {
  const state = makeMembershipState('vm-1' as VmId);
  const leaving = [{ upstreamId: LEDGER, incarnation: 1 as Incarnation }];
  handleMembershipEvent(state, { kind: 'listed', records: [makeServer('live', 1)], now: 1 });
  const actions = handleMembershipEvent(state, {
    kind: 'heartbeat',
    vmId: PEER,
    incarnation: 1 as Incarnation,
    isLeaving: false,
    rulesRevision: 0 as RuleRevision,
    leaving,
    now: 2,
  });
  expect(actions.map((action) => action.kind)).to.include('upstreams-changed');
  expect(isClosedToNewWork(state, LEDGER, 1 as Incarnation)).to.equal(true);
});

it('membership: a leaving VM stays leaving for its incarnation', () => {
  const state = makeMembershipState('vm-1' as VmId);
  receiveHeartbeat(state, 1, { isLeaving: true });
  receiveHeartbeat(state, 2, { isLeaving: false });
  expect(listLiveVms(state, false, 3)).to.deep.equal(['vm-1']);
  receiveHeartbeat(state, 4, { incarnation: 2 });
  expect(listLiveVms(state, false, 5)).to.deep.equal(['vm-1', PEER]);
});

it('membership: a silent VM is not live but its incarnation has not ended', () => {
  const state = makeMembershipState('vm-1' as VmId);
  receiveHeartbeat(state, 0);
  expect(listLiveVms(state, false, HEARTBEAT_TIMEOUT_MS + 1)).to.deep.equal(['vm-1']);
  const closed = {
    kind: 'link-closed',
    vmId: PEER,
    incarnation: 1 as Incarnation,
    now: 2,
  } as const;
  const kinds = handleMembershipEvent(state, closed).map((action) => action.kind);
  expect(kinds).to.not.include('incarnation-ended');
});

it('membership: a newer incarnation ends the older one, whose delayed messages are ignored', () => {
  const state = makeMembershipState('vm-1' as VmId);
  receiveHeartbeat(state, 1, { incarnation: 7 });
  const actions = receiveHeartbeat(state, 2, { incarnation: 8 });
  const ended = actions.find((action) => action.kind === 'incarnation-ended');
  expect(ended).to.deep.equal({ kind: 'incarnation-ended', vmId: PEER, incarnation: 7 });
  expect(receiveHeartbeat(state, 3, { incarnation: 7 })).to.deep.equal([]);
  expect(state.members.get(PEER)?.incarnation).to.equal(8);
});

it('membership: a VM that the list no longer contains has ended only once it is silent', () => {
  const entry = { kind: 'entry', vmId: PEER, dataCentre: 'dc' as DataCentre } as const;
  const record: VmRecord = { ...entry, state: 'live', peerAddress: '127.0.0.1:1' };
  const state = makeMembershipState('vm-1' as VmId);
  const list = (records: readonly VmRecord[], now: number): string[] =>
    handleMembershipEvent(state, { kind: 'listed', records, now }).map((action) => action.kind);
  receiveHeartbeat(state, 0);
  list([record], 1);
  expect(list([], 2)).to.not.include('incarnation-ended');
  expect(list([], HEARTBEAT_TIMEOUT_MS + 10)).to.include('incarnation-ended');
});

it('membership: an unchanged list is not published again', () => {
  const state = makeMembershipState('vm-1' as VmId);
  const records = [makeServer('live', 1)];
  const list = (now: number): string[] =>
    handleMembershipEvent(state, { kind: 'listed', records, now }).map((action) => action.kind);
  expect(list(1)).to.deep.equal(['upstreams-changed']);
  expect(list(2)).to.deep.equal([]);
});
