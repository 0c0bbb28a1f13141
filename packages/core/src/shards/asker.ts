/**
 * Asks the owner of a shard for places on behalf of one entry VM, asks the next owner when it does
 * not answer, and falls back to this VM's private allocator. Decides only. Times are milliseconds
 * since the epoch.
 */

import {
  assertNever,
  type AttemptEnd,
  type AttemptId,
  type HeldReservation,
  type ReservationAsk,
  type ReservationGrant,
  type ShardId,
  type VmId,
} from '@tarragonspool/protocol';
import type { AskerAction, AskerEvent, Granter } from './asker-messages.js';
import { takeProgress } from './asker-progress.js';
import type { AskerState, HeldPlaces, WaitingAsk } from './asker-state.js';
import { listOwners, listShardsOf } from './shards.js';

const ANSWER_TIMEOUT_MS = 150;
const SILENCE_MS = 1_000;
const MAX_OWNERS = 2;
const PROGRESS_INTERVAL_MS = 100;
const PRIVATE: Granter = { kind: 'private' };

function isSameGranter(a: Granter, b: Granter): boolean {
  if (a.kind === 'private' || b.kind === 'private') return a.kind === b.kind;
  return a.vmId === b.vmId;
}

/** Finds who answers for a shard: one of the first owners that are not silent, else the private allocator. */
function findGranter(
  state: AskerState,
  shardId: ShardId,
  triedVms: readonly VmId[],
  now: number,
): Granter {
  if (!state.isShared) return PRIVATE;
  if (triedVms.length >= MAX_OWNERS) return PRIVATE;
  for (const vmId of listOwners(shardId, state.liveVms).slice(0, MAX_OWNERS)) {
    if (triedVms.includes(vmId) || (state.silentUntil.get(vmId) ?? 0) > now) continue;
    return { kind: 'vm', vmId };
  }
  return PRIVATE;
}

function sendAsk(state: AskerState, waiting: WaitingAsk, now: number): AskerAction[] {
  const { ask, shardId } = waiting;
  waiting.to = findGranter(state, shardId, waiting.triedVms, now);
  if (waiting.to.kind === 'vm') waiting.triedVms.push(waiting.to.vmId);
  waiting.answerBy = waiting.to.kind === 'vm' ? now + ANSWER_TIMEOUT_MS : undefined;
  return [{ kind: 'send-ask', to: waiting.to, shardId, ask }];
}

function handleAsked(state: AskerState, ask: ReservationAsk, now: number): AskerAction[] {
  const [nearest] = listShardsOf(state.shards, ask.service, ask.dataCentre);
  if (nearest === undefined) {
    const detail = 'no engine of the service is listed';
    const refusal = { name: 'no-upstream', ran: 'not-run', detail } as const;
    return [{ kind: 'answer-refused', attemptId: ask.attemptId, refusal }];
  }
  const { shardId } = nearest;
  const waiting: WaitingAsk = {
    ask,
    triedShards: [shardId],
    triedVms: [],
    shardId,
    to: PRIVATE,
    answerBy: undefined,
  };
  state.waiting.set(ask.attemptId, waiting);
  return sendAsk(state, waiting, now);
}

function makeUnusedEnd(grant: ReservationGrant): AttemptEnd {
  const { reservationId, attemptId } = grant;
  return { reservationId, attemptId, outcome: 'unused', tokens: 0 };
}

function handleGranted(
  state: AskerState,
  event: Extract<AskerEvent, { kind: 'granted' }>,
): AskerAction[] {
  const { grant, from, now } = event;
  const waiting = state.waiting.get(grant.attemptId);
  if (from.kind === 'vm') state.silentUntil.delete(from.vmId);
  if (waiting === undefined || !isSameGranter(waiting.to, from)) {
    const { shardId } = event;
    return [{ kind: 'send-end', to: from, shardId, items: [makeUnusedEnd(grant)] }];
  }
  state.waiting.delete(grant.attemptId);
  const { attemptId } = grant;
  state.held.set(attemptId, {
    ask: waiting.ask,
    grant,
    shardId: waiting.shardId,
    owner: from,
    position: {
      attemptId,
      upstreamId: grant.prefill,
      stage: 'prefill',
      tokens: 0,
      movedAt: Math.max(now, grant.prefillAt),
    },
    sentPosition: undefined,
  });
  return [{ kind: 'answer-granted', attemptId, grant }];
}

/** Passes a refusal on, unless another shard of the service may still take the ask. */
function handleRefused(
  state: AskerState,
  event: Extract<AskerEvent, { kind: 'refused' }>,
): AskerAction[] {
  const { attemptId, refusal, from, now } = event;
  if (from.kind === 'vm') state.silentUntil.delete(from.vmId);
  const waiting = state.waiting.get(attemptId);
  if (waiting === undefined || !isSameGranter(waiting.to, from)) return [];
  const { ask, triedShards } = waiting;
  if (triedShards.length === 1 && ask.resumeFrom === undefined) {
    for (const { shardId } of listShardsOf(state.shards, ask.service, ask.dataCentre)) {
      if (triedShards.includes(shardId)) continue;
      triedShards.push(shardId);
      waiting.triedVms.length = 0;
      waiting.shardId = shardId;
      return sendAsk(state, waiting, now);
    }
  }
  state.waiting.delete(attemptId);
  return [{ kind: 'answer-refused', attemptId, refusal }];
}

function handleQueued(
  state: AskerState,
  event: Extract<AskerEvent, { kind: 'queued' }>,
): AskerAction[] {
  if (event.from.kind === 'vm') state.silentUntil.delete(event.from.vmId);
  const waiting = state.waiting.get(event.attemptId);
  if (waiting !== undefined && isSameGranter(waiting.to, event.from)) waiting.answerBy = undefined;
  return [];
}

function handleEnded(state: AskerState, end: AttemptEnd): AskerAction[] {
  const held = state.held.get(end.attemptId);
  if (held === undefined || held.grant.reservationId !== end.reservationId) return [];
  state.held.delete(end.attemptId);
  return [{ kind: 'send-end', to: held.owner, shardId: held.shardId, items: [end] }];
}

function handleWithdrawn(state: AskerState, attemptId: AttemptId): AskerAction[] {
  const waiting = state.waiting.get(attemptId);
  // The grant crossed the withdrawal on its way to the request.
  const held = state.held.get(attemptId);
  if (held !== undefined) return handleEnded(state, makeUnusedEnd(held.grant));
  if (waiting === undefined) return [];
  state.waiting.delete(attemptId);
  const { to, shardId } = waiting;
  return [{ kind: 'send-withdraw', to, shardId, attemptId }];
}

function makeHeldItem(held: HeldPlaces): HeldReservation {
  const { grant, ask, position } = held;
  return { grant, ask, stage: position.stage, tokens: position.tokens };
}

type Announcements = Map<string, Extract<AskerAction, { kind: 'send-held' }>>;

function addAnnouncement(announcements: Announcements, held: HeldPlaces): void {
  if (held.owner.kind !== 'vm') return;
  const { shardId, owner } = held;
  const key = `${shardId}|${held.owner.vmId}`;
  const items = [...(announcements.get(key)?.items ?? []), makeHeldItem(held)];
  announcements.set(key, { kind: 'send-held', to: owner, shardId, items });
}

/** Tells new owners what this VM holds of their shard, and old ones that it is off their books. */
function moveHeld(state: AskerState, now: number): AskerAction[] {
  const ends: AskerAction[] = [];
  const announcements: Announcements = new Map();
  for (const held of state.held.values()) {
    if (!state.shards.has(held.shardId)) continue;
    const owner = findGranter(state, held.shardId, [], now);
    if (owner.kind === 'private' || isSameGranter(owner, held.owner)) continue;
    const { owner: to, shardId } = held;
    if (to.kind === 'private' || state.liveVms.includes(to.vmId)) {
      ends.push({ kind: 'send-end', to, shardId, items: [makeUnusedEnd(held.grant)] });
    }
    held.owner = owner;
    held.sentPosition = undefined;
    addAnnouncement(announcements, held);
  }
  return [...ends, ...announcements.values()];
}

/** Asks again where the VM that was asked is no longer live. */
function moveWaiting(state: AskerState, now: number): AskerAction[] {
  const actions: AskerAction[] = [];
  for (const waiting of state.waiting.values()) {
    const { to } = waiting;
    if (to.kind === 'private' || state.liveVms.includes(to.vmId)) continue;
    waiting.triedVms.length = 0;
    actions.push(...sendAsk(state, waiting, now));
  }
  return actions;
}

/** Repeats what a VM may have missed while its link was down. */
function repeatToVm(state: AskerState, vmId: VmId, now: number): AskerAction[] {
  const announcements: Announcements = new Map();
  for (const held of state.held.values()) {
    if (held.owner.kind === 'vm' && held.owner.vmId === vmId) addAnnouncement(announcements, held);
  }
  const actions: AskerAction[] = [...announcements.values()];
  for (const waiting of state.waiting.values()) {
    const { to, ask, shardId } = waiting;
    if (to.kind !== 'vm' || to.vmId !== vmId) continue;
    waiting.answerBy = now + ANSWER_TIMEOUT_MS;
    actions.push({ kind: 'send-ask', to, shardId, ask });
  }
  return actions;
}

function handleTick(state: AskerState, now: number): AskerAction[] {
  const actions: AskerAction[] = [];
  for (const waiting of state.waiting.values()) {
    const { answerBy, to, shardId, ask } = waiting;
    if (answerBy === undefined || answerBy > now || to.kind === 'private') continue;
    state.silentUntil.set(to.vmId, now + SILENCE_MS);
    actions.push({ kind: 'send-withdraw', to, shardId, attemptId: ask.attemptId });
    actions.push(...sendAsk(state, waiting, now));
  }
  for (const [vmId, until] of state.silentUntil) {
    if (until <= now) state.silentUntil.delete(vmId);
  }
  if (now >= state.nextProgressAt) {
    state.nextProgressAt = now + PROGRESS_INTERVAL_MS;
    actions.push(...moveHeld(state, now), ...takeProgress(state.held.values(), now));
  }
  return actions;
}

/** Decides what to do about one event. */
export function handleAskerEvent(state: AskerState, event: AskerEvent): AskerAction[] {
  switch (event.kind) {
    case 'asked':
      return handleAsked(state, event.ask, event.now);
    case 'withdrawn':
      return handleWithdrawn(state, event.attemptId);
    case 'moved': {
      const held = state.held.get(event.position.attemptId);
      if (held !== undefined) held.position = event.position;
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
      return [...moveHeld(state, event.now), ...moveWaiting(state, event.now)];
    case 'link-opened':
      return repeatToVm(state, event.vmId, event.now);
    case 'ticked':
      return handleTick(state, event.now);
    default:
      return assertNever(event);
  }
}
