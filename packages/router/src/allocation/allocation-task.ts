/**
 * The allocation task: sends reservation requests to the owners of the shards, runs the allocators
 * of the shards that this VM owns, and passes grants and refusals back to the requests.
 */

import {
  handleReservationEvent,
  listOwners,
  listShards,
  makeReservationClientState,
  type AllocationObjective,
  type AllocationPolicy,
  type AllocatorEvent,
  type ReservationClientAction,
  type ReservationClientEvent,
  type AllocatorAddress,
  type RequestEvent,
  type ShardMap,
} from '@tarragonspool/core';
import {
  assertNever,
  type AttemptId,
  type Incarnation,
  type PeerMessage,
  type ReservationRequest,
  type ShardId,
  type VmId,
} from '@tarragonspool/protocol';
import type { CancelInbox } from '../engines/cancel-task.js';
import type { Invariants } from '../invariants/invariants.js';
import type { Logger } from '../logging/logger.js';
import { offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import type { AllocationInbox, AllocationMessage } from './allocation-messages.js';
import {
  isAnswered,
  makeAllocatorOptions,
  makeAllocators,
  type Allocators,
  type ScopedAction,
} from './allocators.js';
import { makeAllocatorEvent, makeAllocatorMessage, parsePeerMessage } from './asker-messages.js';

/** Dependencies of the allocation task. */
export type AllocationParts = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly policy: AllocationPolicy;
  readonly objective: AllocationObjective;
  /** Sends a message to one peer; returns false if there is no link to it. */
  readonly sendTo: (vmId: VmId, message: PeerMessage) => boolean;
  readonly cancels: CancelInbox;
  readonly invariants: Invariants;
  readonly logger: Logger;
};

/** How long the cancel of a hold is retried. */
const CANCEL_RETRY_MS = 5_000;
/** A shard and the VM that owns it, as this VM sees it. */
export type ShardOwner = { readonly shardId: ShardId; readonly owner: VmId | undefined };

/** The allocation task, with the views that other tasks read. */
export type Allocation = {
  readonly run: (inbox: AllocationInbox) => Task;
  readonly listPolled: Allocators['listPolled'];
  /** Lists, for each shard, the VM that this one sends requests to first. */
  readonly listShardOwners: () => readonly ShardOwner[];
  /** Newest incarnation of each VM that has certainly ended. */
  readonly endedIncarnations: ReadonlyMap<VmId, Incarnation>;
};

/** An event or action that the current message caused and that is still to be handled. */
type PendingWork =
  | { readonly kind: 'asker-event'; readonly event: ReservationClientEvent }
  | { readonly kind: 'allocator-action'; readonly scoped: ScopedAction; readonly now: number };

/** Makes the allocation task. */
export function makeAllocation(parts: AllocationParts): Allocation {
  const { vmId: self, sendTo } = parts;
  const allocators = makeAllocators(makeAllocatorOptions(parts));
  const client = makeReservationClientState(parts.policy === 'ours');
  const inboxes = new Map<AttemptId, Channel<RequestEvent>>();
  const endedIncarnations = new Map<VmId, Incarnation>();
  const pendingWork: PendingWork[] = [];
  let shards: ShardMap = new Map();
  let liveVms: readonly VmId[] = [];

  function addClientEvent(event: ReservationClientEvent): void {
    pendingWork.push({ kind: 'asker-event', event });
  }

  function addActions(actions: readonly ScopedAction[], now: number): void {
    for (const scoped of actions) pendingWork.push({ kind: 'allocator-action', scoped, now });
  }

  function answerRequest(attemptId: AttemptId, event: RequestEvent): void {
    const requestInbox = inboxes.get(attemptId);
    inboxes.delete(attemptId);
    if (requestInbox !== undefined) offer(requestInbox, event);
  }

  function sendToPeer(to: VmId, message: PeerMessage): void {
    if (!sendTo(to, message)) parts.logger.debug({ to, kind: message.kind }, 'allocation: no link');
  }

  function getAllocatorAddress({ scope }: ScopedAction): AllocatorAddress {
    return scope === 'private' ? { kind: 'private' } : { kind: 'vm', vmId: self };
  }

  /** Releases a granted reservation if the grant cannot be sent to the requesting VM. */
  function releaseGrant(scoped: ScopedAction, request: ReservationRequest, now: number): void {
    if (scoped.action.kind !== 'grant') return;
    const { reservationId } = scoped.action.grant;
    const { attemptId } = request;
    const items = [{ reservationId, attemptId, outcome: 'unused', tokens: 0 } as const];
    addActions(
      allocators.handleEvent('shared', scoped.shardId, { kind: 'attempt-ended', items, now }),
      now,
    );
  }

  function performAllocatorAction(scoped: ScopedAction, now: number): void {
    const { action, shardId } = scoped;
    switch (action.kind) {
      case 'grant': {
        const { ask: request, grant } = action;
        if (request.vmId === self) {
          addClientEvent({
            kind: 'granted',
            from: getAllocatorAddress(scoped),
            shardId,
            grant,
            now,
          });
          return;
        }
        const message = { kind: 'grant', shardId, grant } as const;
        if (!sendTo(request.vmId, message)) releaseGrant(scoped, request, now);
        return;
      }
      case 'refuse': {
        const { vmId, requestId, attemptId, refusal } = action;
        if (vmId === self) {
          addClientEvent({
            kind: 'refused',
            from: getAllocatorAddress(scoped),
            attemptId,
            refusal,
            now,
          });
        } else sendToPeer(vmId, { kind: 'refuse', requestId, attemptId, refusal });
        return;
      }
      case 'cancel-hold': {
        const { upstreamId, attemptId } = action;
        const deadline = now + CANCEL_RETRY_MS;
        offer(parts.cancels, { kind: 'cancel', order: { upstreamId, attemptId, deadline } });
        return;
      }
      case 'report-violation':
        parts.invariants.assert(false, action.invariant, { shardId, detail: action.detail });
        return;
      default:
        assertNever(action);
    }
  }

  /** Passes a request to a shared allocator, and notifies the requesting VM if it has to wait. */
  function allocate(shardId: ShardId, request: ReservationRequest, now: number): void {
    const actions = allocators.handleEvent('shared', shardId, { kind: 'asked', ask: request, now });
    const { attemptId, vmId } = request;
    if (!isAnswered(actions, attemptId)) {
      if (vmId === self) {
        addClientEvent({ kind: 'queued', from: { kind: 'vm', vmId: self }, attemptId, now });
      } else sendToPeer(vmId, { kind: 'queued', attemptId });
    }
    addActions(actions, now);
  }

  function handleLocally(to: AllocatorAddress, shardId: ShardId, event: AllocatorEvent): void {
    const scope = to.kind === 'private' ? 'private' : 'shared';
    addActions(allocators.handleEvent(scope, shardId, event), event.now);
  }

  function performAction(action: ReservationClientAction, now: number): void {
    switch (action.kind) {
      case 'answer-granted':
        answerRequest(action.attemptId, { kind: 'granted', grant: action.grant, now });
        return;
      case 'answer-refused': {
        const { attemptId, refusal } = action;
        answerRequest(attemptId, { kind: 'refused', attemptId, refusal, now });
        return;
      }
      default:
        break;
    }
    const { to, shardId } = action;
    if (to.kind === 'vm' && to.vmId !== self) sendToPeer(to.vmId, makeAllocatorMessage(action));
    else if (action.kind === 'send-ask' && to.kind === 'vm') allocate(shardId, action.ask, now);
    else handleLocally(to, shardId, makeAllocatorEvent(action, now));
  }

  function handlePeerMessage(message: Extract<AllocationMessage, { kind: 'peer-said' }>): void {
    const { vmId, now } = message;
    const from: AllocatorAddress = { kind: 'vm', vmId };
    const received = parsePeerMessage(from, message.message, now);
    switch (received.kind) {
      case 'ask':
        allocate(received.shardId, { ...received.ask, vmId }, now);
        return;
      case 'asker-event':
        addClientEvent(received.event);
        return;
      case 'allocator-event':
        handleLocally(from, received.shardId, received.event);
        return;
      default:
        assertNever(received);
    }
  }

  function updateView(now: number): void {
    addClientEvent({ kind: 'view-changed', shards, liveVms, now });
  }

  function handleTick(vmIds: readonly VmId[], now: number): void {
    if (vmIds.join() !== liveVms.join()) {
      liveVms = vmIds;
      updateView(now);
    }
    addClientEvent({ kind: 'ticked', now });
    addActions(allocators.handleForAll({ kind: 'ticked', now }), now);
    allocators.removeIdle((shardId) => listOwners(shardId, liveVms)[0] === self, now);
  }

  function handlePendingWork(): void {
    for (let item = pendingWork.shift(); item !== undefined; item = pendingWork.shift()) {
      if (item.kind === 'allocator-action') {
        performAllocatorAction(item.scoped, item.now);
        continue;
      }
      const { event } = item;
      for (const action of handleReservationEvent(client, event)) performAction(action, event.now);
    }
  }

  function handleMessage(message: AllocationMessage): void {
    switch (message.kind) {
      case 'ask':
        inboxes.set(message.ask.attemptId, message.requestInbox);
        addClientEvent({ kind: 'asked', ask: message.ask, now: message.now });
        return;
      case 'withdraw':
        inboxes.delete(message.attemptId);
        addClientEvent({ kind: 'withdrawn', attemptId: message.attemptId, now: message.now });
        return;
      case 'move':
        addClientEvent({ kind: 'moved', position: message.position, now: message.now });
        return;
      case 'end':
        addClientEvent({ kind: 'ended', end: message.end, now: message.now });
        return;
      case 'peer-said':
        handlePeerMessage(message);
        return;
      case 'link-opened':
        addClientEvent(message);
        return;
      case 'vm-gone':
        if (message.incarnation > (endedIncarnations.get(message.vmId) ?? -1)) {
          endedIncarnations.set(message.vmId, message.incarnation);
        }
        addActions(allocators.handleForAll(message), message.now);
        return;
      case 'engines-listed':
        shards = listShards(message.engines);
        addActions(allocators.updateEngines(shards, message.engines, message.now), message.now);
        updateView(message.now);
        return;
      case 'engine-reported':
        addActions(allocators.handleReport(message.report), message.report.now);
        return;
      case 'ticked':
        handleTick(message.liveVms, message.now);
        return;
      default:
        assertNever(message);
    }
  }

  return {
    listPolled: allocators.listPolled,
    listShardOwners: () =>
      [...shards.keys()].map((shardId) => ({ shardId, owner: listOwners(shardId, liveVms)[0] })),
    endedIncarnations,
    *run(inbox) {
      for (;;) {
        const message = yield* receive(inbox);
        if (message === undefined) return;
        handleMessage(message);
        handlePendingWork();
      }
    },
  };
}
