/** Owns membership on this VM and publishes upstreams and live VMs to the other parts. */

import {
  handleMembershipEvent,
  isClosedToNewWork,
  listLeavingUpstreams,
  listLiveVms,
  type MembershipAction,
  type MembershipEvent,
  type MembershipState,
  type VmMember,
} from '@tarragonspool/core';
import {
  assertNever,
  type Incarnation,
  type LeavingUpstream,
  type VmId,
} from '@tarragonspool/protocol';
import type { AllocationInbox } from '../allocation/allocation-messages.js';
import type { AllocatedEngine } from '../allocation/allocators.js';
import type { Logger } from '../logging/logger.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import { applyVmList, type Directory } from '../upstreams/directory.js';

/** Inbox of the membership task. */
export type MembershipInbox = Channel<MembershipEvent>;

/** Membership as the other parts read it. */
export type MembershipView = {
  /** VMs, this one included, that are alive and not leaving. */
  readonly listLive: (now: number) => readonly VmId[];
  readonly listMembers: () => readonly VmMember[];
  /** Newest incarnation heard of each peer. */
  readonly listIncarnations: () => ReadonlyMap<VmId, Incarnation>;
  readonly listLeaving: () => readonly LeavingUpstream[];
};

/** What the membership task works with. */
export type MembershipParts = {
  readonly state: MembershipState;
  readonly directory: Directory;
  readonly allocation: AllocationInbox;
  readonly logger: Logger;
};

const INBOX_CAPACITY = 4_096;

/** Makes the inbox of the membership task. */
export function makeMembershipInbox(): MembershipInbox {
  return makeChannel<MembershipEvent>(INBOX_CAPACITY);
}

/** Makes the view that other parts read. */
export function makeMembershipView(
  state: MembershipState,
  isSelfLeaving: () => boolean,
): MembershipView {
  return {
    listLive: (now) => listLiveVms(state, isSelfLeaving(), now),
    listMembers: () => [...state.members.values()],
    listIncarnations: () => {
      const incarnations = new Map<VmId, Incarnation>();
      for (const { vmId, incarnation } of state.members.values()) {
        incarnations.set(vmId, incarnation);
      }
      return incarnations;
    },
    listLeaving: () => listLeavingUpstreams(state),
  };
}

function listEngines(directory: Directory): AllocatedEngine[] {
  const engines: AllocatedEngine[] = [];
  for (const engine of directory.engines.values()) {
    const { upstreamId, role, models, isLeaving, service, dataCentre } = engine;
    engines.push({ upstreamId, role, models, isLeaving, service, dataCentre });
  }
  return engines;
}

function publishUpstreams(parts: MembershipParts): void {
  const { state, directory, allocation } = parts;
  applyVmList(directory, state.records, (upstreamId, incarnation) =>
    isClosedToNewWork(state, upstreamId, incarnation),
  );
  offer(allocation, { kind: 'engines-listed', engines: listEngines(directory), now: Date.now() });
}

function performAction(parts: MembershipParts, action: MembershipAction): void {
  const { state, allocation, logger } = parts;
  switch (action.kind) {
    case 'upstreams-changed':
      publishUpstreams(parts);
      return;
    case 'members-changed':
      logger.debug({ members: state.members.size }, 'membership: members changed');
      return;
    case 'incarnation-ended': {
      const { vmId, incarnation } = action;
      logger.info({ peer: vmId, incarnation }, 'membership: incarnation ended');
      offer(allocation, { kind: 'vm-gone', vmId, incarnation, now: Date.now() });
      return;
    }
    default:
      assertNever(action);
  }
}

/** Runs until the inbox closes. */
export function* runMembership(inbox: MembershipInbox, parts: MembershipParts): Task {
  for (;;) {
    const event = yield* receive(inbox);
    if (event === undefined) return;
    for (const action of handleMembershipEvent(parts.state, event)) performAction(parts, action);
  }
}
