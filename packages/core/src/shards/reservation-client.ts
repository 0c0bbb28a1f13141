/**
 * Reservation client of one entry VM: requests slots from the owner of a shard, tries the next owner
 * when that one does not reply, and falls back to this VM's private allocator. Returns actions and
 * does no I/O. Times are milliseconds since the epoch.
 */

import {
  assertNever,
  type AttemptEnd,
  type AttemptId,
  type HeldReservation,
  type ReservationRequest,
  type ReservationGrant,
  type ShardId,
  type VmId,
} from '@tarragonspool/protocol';
import type {
  ReservationClientAction,
  ReservationClientEvent,
  AllocatorAddress,
} from './reservation-client-messages.js';
import { collectProgress } from './attempt-progress.js';
import type {
  ActiveReservation,
  PendingReservation,
  ReservationClientState,
} from './reservation-client-state.js';
import { listOwners, listShardsByDistance } from './shards.js';

const OWNER_REPLY_TIMEOUT_MS = 150;
const SKIP_SILENT_OWNER_MS = 1_000;
const MAX_OWNERS_TRIED = 2;
const PROGRESS_INTERVAL_MS = 100;
const PRIVATE_ALLOCATOR: AllocatorAddress = { kind: 'private' };

function isSameAllocator(a: AllocatorAddress, b: AllocatorAddress): boolean {
  if (a.kind === 'private' || b.kind === 'private') return a.kind === b.kind;
  return a.vmId === b.vmId;
}

/** Chooses the first responsive owner that was not tried yet, else the private allocator. */
function chooseAllocator(
  state: ReservationClientState,
  shardId: ShardId,
  triedVms: readonly VmId[],
  now: number,
): AllocatorAddress {
  if (!state.hasSharedAllocators) return PRIVATE_ALLOCATOR;
  if (triedVms.length >= MAX_OWNERS_TRIED) return PRIVATE_ALLOCATOR;
  for (const vmId of listOwners(shardId, state.liveVms).slice(0, MAX_OWNERS_TRIED)) {
    if (triedVms.includes(vmId) || (state.silentUntil.get(vmId) ?? 0) > now) continue;
    return { kind: 'vm', vmId };
  }
  return PRIVATE_ALLOCATOR;
}

function sendReservationRequest(
  state: ReservationClientState,
  pending: PendingReservation,
  now: number,
): ReservationClientAction[] {
  const { ask: reservationRequest, shardId } = pending;
  pending.to = chooseAllocator(state, shardId, pending.triedVms, now);
  if (pending.to.kind === 'vm') pending.triedVms.push(pending.to.vmId);
  pending.replyBy = pending.to.kind === 'vm' ? now + OWNER_REPLY_TIMEOUT_MS : undefined;
  return [{ kind: 'send-ask', to: pending.to, shardId, ask: reservationRequest }];
}

function handleReservationRequest(
  state: ReservationClientState,
  reservationRequest: ReservationRequest,
  now: number,
): ReservationClientAction[] {
  const [nearest] = listShardsByDistance(
    state.shards,
    reservationRequest.service,
    reservationRequest.dataCentre,
  );
  if (nearest === undefined) {
    const detail = 'the platform VM list has no engine for this service';
    const refusal = { name: 'no-upstream', ran: 'not-run', detail } as const;
    return [{ kind: 'answer-refused', attemptId: reservationRequest.attemptId, refusal }];
  }
  const { shardId } = nearest;
  const pending: PendingReservation = {
    ask: reservationRequest,
    triedShards: [shardId],
    triedVms: [],
    shardId,
    to: PRIVATE_ALLOCATOR,
    replyBy: undefined,
  };
  state.waiting.set(reservationRequest.attemptId, pending);
  return sendReservationRequest(state, pending, now);
}

function makeUnusedEnd(grant: ReservationGrant): AttemptEnd {
  const { reservationId, attemptId } = grant;
  return { reservationId, attemptId, outcome: 'unused', tokens: 0 };
}

function handleGranted(
  state: ReservationClientState,
  event: Extract<ReservationClientEvent, { kind: 'granted' }>,
): ReservationClientAction[] {
  const { grant, from, now } = event;
  const pending = state.waiting.get(grant.attemptId);
  if (from.kind === 'vm') state.silentUntil.delete(from.vmId);
  if (pending === undefined || !isSameAllocator(pending.to, from)) {
    const { shardId } = event;
    return [{ kind: 'send-end', to: from, shardId, items: [makeUnusedEnd(grant)] }];
  }
  state.waiting.delete(grant.attemptId);
  const { attemptId } = grant;
  state.held.set(attemptId, {
    ask: pending.ask,
    grant,
    shardId: pending.shardId,
    owner: from,
    position: {
      attemptId,
      upstreamId: grant.prefill,
      stage: 'prefill',
      tokens: 0,
      movedAt: Math.max(now, grant.prefillAt),
    },
    reportedPosition: undefined,
  });
  return [{ kind: 'answer-granted', attemptId, grant }];
}

/**
 * Forwards a refusal, unless the request can be sent to a second shard of the service. A resume
 * stays in its shard.
 */
function handleRefused(
  state: ReservationClientState,
  event: Extract<ReservationClientEvent, { kind: 'refused' }>,
): ReservationClientAction[] {
  const { attemptId, refusal, from, now } = event;
  if (from.kind === 'vm') state.silentUntil.delete(from.vmId);
  const pending = state.waiting.get(attemptId);
  if (pending === undefined || !isSameAllocator(pending.to, from)) return [];
  const { ask: reservationRequest, triedShards } = pending;
  if (triedShards.length === 1 && reservationRequest.resumeFrom === undefined) {
    for (const { shardId } of listShardsByDistance(
      state.shards,
      reservationRequest.service,
      reservationRequest.dataCentre,
    )) {
      if (triedShards.includes(shardId)) continue;
      triedShards.push(shardId);
      pending.triedVms.length = 0;
      pending.shardId = shardId;
      return sendReservationRequest(state, pending, now);
    }
  }
  state.waiting.delete(attemptId);
  return [{ kind: 'answer-refused', attemptId, refusal }];
}

function handleQueued(
  state: ReservationClientState,
  event: Extract<ReservationClientEvent, { kind: 'queued' }>,
): ReservationClientAction[] {
  if (event.from.kind === 'vm') state.silentUntil.delete(event.from.vmId);
  const pending = state.waiting.get(event.attemptId);
  if (pending !== undefined && isSameAllocator(pending.to, event.from)) pending.replyBy = undefined;
  return [];
}

function handleEnded(state: ReservationClientState, end: AttemptEnd): ReservationClientAction[] {
  const reservation = state.held.get(end.attemptId);
  if (reservation === undefined || reservation.grant.reservationId !== end.reservationId) return [];
  state.held.delete(end.attemptId);
  return [{ kind: 'send-end', to: reservation.owner, shardId: reservation.shardId, items: [end] }];
}

function handleWithdrawn(
  state: ReservationClientState,
  attemptId: AttemptId,
): ReservationClientAction[] {
  const pending = state.waiting.get(attemptId);
  const reservation = state.held.get(attemptId);
  // The grant arrived before the withdrawal, so the reservation is returned unused.
  if (reservation !== undefined) return handleEnded(state, makeUnusedEnd(reservation.grant));
  if (pending === undefined) return [];
  state.waiting.delete(attemptId);
  const { to, shardId } = pending;
  return [{ kind: 'send-withdraw', to, shardId, attemptId }];
}

function makeHeldItem(reservation: ActiveReservation): HeldReservation {
  const { grant, ask: reservationRequest, position } = reservation;
  return { grant, ask: reservationRequest, stage: position.stage, tokens: position.tokens };
}

/** Announcements of held reservations by shard and owner. */
type Announcements = Map<string, Extract<ReservationClientAction, { kind: 'send-held' }>>;

function addAnnouncement(announcements: Announcements, reservation: ActiveReservation): void {
  if (reservation.owner.kind !== 'vm') return;
  const { shardId, owner } = reservation;
  const key = `${shardId}|${reservation.owner.vmId}`;
  const items = [...(announcements.get(key)?.items ?? []), makeHeldItem(reservation)];
  announcements.set(key, { kind: 'send-held', to: owner, shardId, items });
}

/**
 * Announces this VM's reservations to owners that took over a shard, and ends them at the previous
 * allocator.
 */
function notifyOwners(state: ReservationClientState, now: number): ReservationClientAction[] {
  const ends: ReservationClientAction[] = [];
  const announcements: Announcements = new Map();
  for (const reservation of state.held.values()) {
    if (!state.shards.has(reservation.shardId)) continue;
    const owner = chooseAllocator(state, reservation.shardId, [], now);
    if (owner.kind === 'private' || isSameAllocator(owner, reservation.owner)) continue;
    const { owner: to, shardId } = reservation;
    if (to.kind === 'private' || state.liveVms.includes(to.vmId)) {
      ends.push({ kind: 'send-end', to, shardId, items: [makeUnusedEnd(reservation.grant)] });
    }
    reservation.owner = owner;
    reservation.reportedPosition = undefined;
    addAnnouncement(announcements, reservation);
  }
  return [...ends, ...announcements.values()];
}

/** Sends pending requests again whose allocator is on a VM that is no longer live. */
function retryPending(state: ReservationClientState, now: number): ReservationClientAction[] {
  const actions: ReservationClientAction[] = [];
  for (const pending of state.waiting.values()) {
    const { to } = pending;
    if (to.kind === 'private' || state.liveVms.includes(to.vmId)) continue;
    pending.triedVms.length = 0;
    actions.push(...sendReservationRequest(state, pending, now));
  }
  return actions;
}

/** Resends the announcements and pending requests that a VM may have missed while its link was down. */
function resendTo(
  state: ReservationClientState,
  vmId: VmId,
  now: number,
): ReservationClientAction[] {
  const announcements: Announcements = new Map();
  for (const held of state.held.values()) {
    if (held.owner.kind === 'vm' && held.owner.vmId === vmId) addAnnouncement(announcements, held);
  }
  const actions: ReservationClientAction[] = [...announcements.values()];
  for (const pending of state.waiting.values()) {
    const { to, ask: reservationRequest, shardId } = pending;
    if (to.kind !== 'vm' || to.vmId !== vmId) continue;
    pending.replyBy = now + OWNER_REPLY_TIMEOUT_MS;
    actions.push({ kind: 'send-ask', to, shardId, ask: reservationRequest });
  }
  return actions;
}

function handleTick(state: ReservationClientState, now: number): ReservationClientAction[] {
  const actions: ReservationClientAction[] = [];
  for (const pending of state.waiting.values()) {
    const { replyBy, to, shardId, ask: reservationRequest } = pending;
    if (replyBy === undefined || replyBy > now || to.kind === 'private') continue;
    state.silentUntil.set(to.vmId, now + SKIP_SILENT_OWNER_MS);
    actions.push({ kind: 'send-withdraw', to, shardId, attemptId: reservationRequest.attemptId });
    actions.push(...sendReservationRequest(state, pending, now));
  }
  for (const [vmId, until] of state.silentUntil) {
    if (until <= now) state.silentUntil.delete(vmId);
  }
  if (now >= state.nextProgressAt) {
    state.nextProgressAt = now + PROGRESS_INTERVAL_MS;
    actions.push(...notifyOwners(state, now), ...collectProgress(state.held.values(), now));
  }
  return actions;
}

/** Updates the state for one event and returns the actions to perform. */
export function handleReservationEvent(
  state: ReservationClientState,
  event: ReservationClientEvent,
): ReservationClientAction[] {
  switch (event.kind) {
    case 'asked':
      return handleReservationRequest(state, event.ask, event.now);
    case 'withdrawn':
      return handleWithdrawn(state, event.attemptId);
    case 'moved': {
      const reservation = state.held.get(event.position.attemptId);
      if (reservation !== undefined) reservation.position = event.position;
      return [];
    }
    case 'ended':
      return handleEnded(state, event.end);
    case 'granted':
      return handleGranted(state, event);
    case 'refused':
      return handleRefused(state, event);
    case 'queued':
      return handleQueued(state, event);
    case 'view-changed':
      state.shards = event.shards;
      state.liveVms = event.liveVms;
      return [...notifyOwners(state, event.now), ...retryPending(state, event.now)];
    case 'link-opened':
      return resendTo(state, event.vmId, event.now);
    case 'ticked':
      return handleTick(state, event.now);
    default:
      return assertNever(event);
  }
}
