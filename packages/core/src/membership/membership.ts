/**
 * Keeps which entry VMs are alive and which upstreams are leaving, from the platform's late list
 * and from peers' heartbeats. Used for efficiency; no promise rests on a VM being alive or not.
 * Times are milliseconds since the epoch.
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

/** What is known of one entry VM. */
export type VmMember = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  /** Never goes back to false for the same incarnation. */
  readonly isLeaving: boolean;
  readonly rulesRevision: RuleRevision;
  /** When it was last heard. */
  readonly heardAt: number;
};

type LeavingMark = {
  readonly incarnation: Incarnation;
  /** When the mark may be forgotten unless it is confirmed again. */
  expiresAt: number;
};

/** Whole state of membership on one VM. */
export type MembershipState = {
  readonly self: VmId;
  records: readonly VmRecord[];
  readonly everListed: Set<VmId>;
  readonly members: Map<VmId, VmMember>;
  /** Upstreams that the list or a peer said to be leaving; sticky for an incarnation. */
  readonly leaving: Map<UpstreamId, LeavingMark>;
  /** Upstreams that the rules drain. */
  drained: ReadonlySet<UpstreamId>;
};

/** What membership hears. */
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

/** What the host must do after an event. */
export type MembershipAction =
  /** Upstreams or their leaving marks changed. */
  | { readonly kind: 'upstreams-changed' }
  /** The set of live VMs changed. */
  | { readonly kind: 'members-changed' }
  /** An incarnation ended for sure: a newer one speaks, or the platform dropped the VM. */
  | { readonly kind: 'incarnation-ended'; readonly vmId: VmId; readonly incarnation: Incarnation };

/** How long a silent VM counts as alive, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 1_500;
const LEAVING_MEMORY_MS = 600_000;

/** Makes the state of membership on one VM. */
export function makeMembershipState(self: VmId): MembershipState {
  return {
    self,
    records: [],
    everListed: new Set(),
    members: new Map(),
    leaving: new Map(),
    drained: new Set(),
  };
}

function isUpstream(record: VmRecord): record is Exclude<VmRecord, { kind: 'entry' }> {
  return record.kind !== 'entry';
}

/** Whether an upstream must get no new work. */
export function isUpstreamLeaving(
  state: MembershipState,
  upstreamId: UpstreamId,
  incarnation: Incarnation,
): boolean {
  if (state.drained.has(upstreamId)) return true;
  const mark = state.leaving.get(upstreamId);
  return mark !== undefined && mark.incarnation >= incarnation;
}

/** Marks an upstream as leaving; returns whether that is news. */
function addLeavingMark(state: MembershipState, item: LeavingUpstream, now: number): boolean {
  const { upstreamId, incarnation } = item;
  const known = state.leaving.get(upstreamId);
  if (known !== undefined && known.incarnation > incarnation) return false;
  if (known !== undefined && known.incarnation === incarnation) {
    known.expiresAt = now + LEAVING_MEMORY_MS;
    return false;
  }
  state.leaving.set(upstreamId, { incarnation, expiresAt: now + LEAVING_MEMORY_MS });
  return true;
}

/** Finds members that the platform once listed and lists no longer. */
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
    // The list is late: a VM that still speaks is alive whatever the list says.
    if (now - heardAt <= HEARTBEAT_TIMEOUT_MS) continue;
    state.members.delete(vmId);
    state.everListed.delete(vmId);
    actions.push({ kind: 'incarnation-ended', vmId, incarnation }, { kind: 'members-changed' });
  }
  const isSame = state.records === records;
  state.records = records;
  for (const record of records) {
    if (isUpstream(record) && record.state === 'leaving') addLeavingMark(state, record, now);
  }
  return isSame ? actions : [...actions, { kind: 'upstreams-changed' }];
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
  const isSame = known?.incarnation === incarnation;
  const isLeaving = event.isLeaving || (isSame && known.isLeaving);
  const wasLive = isSame && now - known.heardAt <= HEARTBEAT_TIMEOUT_MS;
  state.members.set(vmId, { vmId, incarnation, isLeaving, rulesRevision, heardAt: now });
  if (!wasLive || known.isLeaving !== isLeaving) actions.push({ kind: 'members-changed' });
  let isNews = false;
  for (const item of event.leaving) isNews = addLeavingMark(state, item, now) || isNews;
  return isNews ? [...actions, { kind: 'upstreams-changed' }] : actions;
}

function handleLinkClosed(
  state: MembershipState,
  vmId: VmId,
  incarnation: Incarnation,
): MembershipAction[] {
  const known = state.members.get(vmId);
  if (known === undefined || known.incarnation !== incarnation) return [];
  // Remembered as silent: an end that is not sure must not free what it holds.
  state.members.set(vmId, { ...known, heardAt: 0 });
  return [{ kind: 'members-changed' }];
}

function handleTicked(state: MembershipState, now: number): MembershipAction[] {
  for (const [upstreamId, mark] of state.leaving) {
    if (mark.expiresAt <= now) state.leaving.delete(upstreamId);
  }
  return [];
}

/** Decides what to do about one event. */
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
      state.drained = event.upstreamIds;
      return [{ kind: 'upstreams-changed' }];
    case 'ticked':
      return handleTicked(state, event.now);
    default:
      return assertNever(event);
  }
}

/** Lists the upstreams that this VM knows to be leaving, for its heartbeats. */
export function listLeavingUpstreams(state: MembershipState): LeavingUpstream[] {
  const items: LeavingUpstream[] = [];
  for (const [upstreamId, { incarnation }] of state.leaving) {
    items.push({ upstreamId, incarnation });
  }
  return items;
}

/** Lists the VMs, this one included, that are alive and not leaving, in id order. */
export function listLiveVms(state: MembershipState, isSelfLeaving: boolean, now: number): VmId[] {
  const vmIds: VmId[] = isSelfLeaving ? [] : [state.self];
  for (const { vmId, isLeaving, heardAt } of state.members.values()) {
    if (!isLeaving && now - heardAt <= HEARTBEAT_TIMEOUT_MS) vmIds.push(vmId);
  }
  return vmIds.sort();
}
