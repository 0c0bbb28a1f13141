/**
 * Tracks which entry VMs are alive and which upstreams are leaving, from the platform's VM list,
 * which lags behind, and from peers' heartbeats. This is only an optimisation: no guarantee to
 * callers depends on whether a VM is considered alive. Times are milliseconds since the epoch.
 */

import {
  assertNever,
  type Incarnation,
  type LeavingUpstream,
  type RuleRevision,
  type UpstreamId,
  type VmId,
  type VmRecord,
} from '@tarragonspool/protocol';

/** Latest known state of one entry VM. */
export type VmMember = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  /** Never goes back to false for the same incarnation. */
  readonly isLeaving: boolean;
  readonly rulesRevision: RuleRevision;
  /** When its last heartbeat was received; 0 after its link closed. */
  readonly heardAt: number;
};

type LeavingMark = {
  readonly incarnation: Incarnation;
  /** When the mark is removed, unless the list or a peer confirms it before then. */
  expiresAt: number;
};

/** Membership state of one VM. */
export type MembershipState = {
  readonly self: VmId;
  records: readonly VmRecord[];
  /** Entry VMs that the platform has listed; a VM that it has not listed yet is not dropped. */
  readonly everListed: Set<VmId>;
  readonly members: Map<VmId, VmMember>;
  /** Upstreams reported as leaving by the list or a peer; a later list does not undo the mark. */
  readonly leaving: Map<UpstreamId, LeavingMark>;
  /** Upstreams that a drain rule keeps new work away from. */
  drainedUpstreams: ReadonlySet<UpstreamId>;
};

/** Events that membership receives. */
export type MembershipEvent =
  | { readonly kind: 'listed'; readonly records: readonly VmRecord[]; readonly now: number }
  | {
      readonly kind: 'heartbeat';
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly isLeaving: boolean;
      readonly rulesRevision: RuleRevision;
      readonly leaving: readonly LeavingUpstream[];
      readonly now: number;
    }
  | {
      readonly kind: 'link-closed';
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly now: number;
    }
  | {
      readonly kind: 'drained';
      readonly upstreamIds: ReadonlySet<UpstreamId>;
      readonly now: number;
    }
  | { readonly kind: 'ticked'; readonly now: number };

/** Effects that the host must carry out after an event. */
export type MembershipAction =
  /** Upstreams or their leaving marks changed. */
  | { readonly kind: 'upstreams-changed' }
  /** The set of live VMs changed. */
  | { readonly kind: 'members-changed' }
  /**
   * An incarnation has certainly ended: a newer one sent a heartbeat, or the platform dropped a VM
   * that is silent.
   */
  | { readonly kind: 'incarnation-ended'; readonly vmId: VmId; readonly incarnation: Incarnation };

/** Time after its last heartbeat for which a VM counts as alive, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 1_500;
/** Time that a leaving mark is kept after it was last confirmed, in milliseconds. */
const LEAVING_MARK_TTL_MS = 600_000;

/** Makes the initial membership state of the VM `self`. */
export function makeMembershipState(self: VmId): MembershipState {
  return {
    self,
    records: [],
    everListed: new Set(),
    members: new Map(),
    leaving: new Map(),
    drainedUpstreams: new Set(),
  };
}

function isUpstream(record: VmRecord): record is Exclude<VmRecord, { kind: 'entry' }> {
  return record.kind !== 'entry';
}

/** Whether an upstream must get no new work, because it is leaving or drained by the rules. */
export function isClosedToNewWork(
  state: MembershipState,
  upstreamId: UpstreamId,
  incarnation: Incarnation,
): boolean {
  if (state.drainedUpstreams.has(upstreamId)) return true;
  const mark = state.leaving.get(upstreamId);
  return mark !== undefined && mark.incarnation >= incarnation;
}

/** Marks an upstream as leaving; returns whether the mark is new for this incarnation. */
function addLeavingMark(state: MembershipState, item: LeavingUpstream, now: number): boolean {
  const { upstreamId, incarnation } = item;
  const known = state.leaving.get(upstreamId);
  if (known !== undefined && known.incarnation > incarnation) return false;
  if (known !== undefined && known.incarnation === incarnation) {
    known.expiresAt = now + LEAVING_MARK_TTL_MS;
    return false;
  }
  state.leaving.set(upstreamId, { incarnation, expiresAt: now + LEAVING_MARK_TTL_MS });
  return true;
}

/** Finds members that the platform listed before and no longer lists; records those it lists. */
function findDroppedMembers(state: MembershipState, records: readonly VmRecord[]): VmMember[] {
  const listed = new Set<VmId>();
  for (const record of records) {
    if (!isUpstream(record)) listed.add(record.vmId);
  }
  for (const vmId of listed) state.everListed.add(vmId);
  const dropped: VmMember[] = [];
  for (const member of state.members.values()) {
    const { vmId } = member;
    if (state.everListed.has(vmId) && !listed.has(vmId)) dropped.push(member);
  }
  return dropped;
}

function handleListed(
  state: MembershipState,
  records: readonly VmRecord[],
  now: number,
): MembershipAction[] {
  const actions: MembershipAction[] = [];
  for (const { vmId, incarnation, heardAt } of findDroppedMembers(state, records)) {
    // The list lags behind: a VM that still sends heartbeats is alive even if it is not listed.
    if (now - heardAt <= HEARTBEAT_TIMEOUT_MS) continue;
    state.members.delete(vmId);
    state.everListed.delete(vmId);
    actions.push({ kind: 'incarnation-ended', vmId, incarnation }, { kind: 'members-changed' });
  }
  const isSameList = state.records === records;
  state.records = records;
  for (const record of records) {
    if (isUpstream(record) && record.state === 'leaving') addLeavingMark(state, record, now);
  }
  return isSameList ? actions : [...actions, { kind: 'upstreams-changed' }];
}

function handleHeartbeat(
  state: MembershipState,
  event: Extract<MembershipEvent, { kind: 'heartbeat' }>,
): MembershipAction[] {
  const { vmId, incarnation, rulesRevision, now } = event;
  const known = state.members.get(vmId);
  if (known !== undefined && known.incarnation > incarnation) return [];
  const actions: MembershipAction[] = [];
  if (known !== undefined && known.incarnation < incarnation) {
    actions.push({ kind: 'incarnation-ended', vmId, incarnation: known.incarnation });
  }
  const isSameIncarnation = known?.incarnation === incarnation;
  const isLeaving = event.isLeaving || (isSameIncarnation && known.isLeaving);
  const wasLive = isSameIncarnation && now - known.heardAt <= HEARTBEAT_TIMEOUT_MS;
  state.members.set(vmId, { vmId, incarnation, isLeaving, rulesRevision, heardAt: now });
  if (!wasLive || known.isLeaving !== isLeaving) actions.push({ kind: 'members-changed' });
  let hasNewMark = false;
  for (const item of event.leaving) hasNewMark = addLeavingMark(state, item, now) || hasNewMark;
  return hasNewMark ? [...actions, { kind: 'upstreams-changed' }] : actions;
}

function handleLinkClosed(
  state: MembershipState,
  vmId: VmId,
  incarnation: Incarnation,
): MembershipAction[] {
  const known = state.members.get(vmId);
  if (known === undefined || known.incarnation !== incarnation) return [];
  // Kept as a silent member: a closed link does not prove that the VM has ended, so what this
  // incarnation holds must not be freed yet.
  state.members.set(vmId, { ...known, heardAt: 0 });
  return [{ kind: 'members-changed' }];
}

function handleTicked(state: MembershipState, now: number): MembershipAction[] {
  for (const [upstreamId, mark] of state.leaving) {
    if (mark.expiresAt <= now) state.leaving.delete(upstreamId);
  }
  return [];
}

/** Applies one event to the state and returns the actions for the host. */
export function handleMembershipEvent(
  state: MembershipState,
  event: MembershipEvent,
): MembershipAction[] {
  switch (event.kind) {
    case 'listed':
      return handleListed(state, event.records, event.now);
    case 'heartbeat':
      return handleHeartbeat(state, event);
    case 'link-closed':
      return handleLinkClosed(state, event.vmId, event.incarnation);
    case 'drained':
      state.drainedUpstreams = event.upstreamIds;
      return [{ kind: 'upstreams-changed' }];
    case 'ticked':
      return handleTicked(state, event.now);
    default:
      return assertNever(event);
  }
}

/** Lists the upstreams that this VM knows to be leaving; its heartbeats pass them on to peers. */
export function listLeavingUpstreams(state: MembershipState): LeavingUpstream[] {
  const items: LeavingUpstream[] = [];
  for (const [upstreamId, { incarnation }] of state.leaving) {
    items.push({ upstreamId, incarnation });
  }
  return items;
}

/** Lists the VMs that are alive and not leaving, this one included unless it leaves, in id order. */
export function listLiveVms(state: MembershipState, isSelfLeaving: boolean, now: number): VmId[] {
  const vmIds: VmId[] = isSelfLeaving ? [] : [state.self];
  for (const { vmId, isLeaving, heardAt } of state.members.values()) {
    if (!isLeaving && now - heardAt <= HEARTBEAT_TIMEOUT_MS) vmIds.push(vmId);
  }
  return vmIds.sort();
}
