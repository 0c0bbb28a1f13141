/**
 * Carries asks to the allocators that own the shards, runs the allocators that this VM owns, and
 * brings grants and refusals back to the requests.
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
import { makeAllocatorEvent, makeAskerMessage, parsePeerMessage } from './asker-messages.js';

/** What the allocation task works with. */
export type AllocationParts = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly policy: AllocationPolicy;
  readonly objective: AllocationObjective;
  /** Sends to one peer; false if no link reaches it. */
  readonly sendTo: (vmId: VmId, message: PeerMessage) => boolean;
  readonly cancels: CancelInbox;
  readonly invariants: Invariants;
  readonly logger: Logger;
};

const SWEEP_CANCEL_MS = 5_000;
/** A shard and the VM that owns it, as this VM sees it. */
export type ShardOwner = { readonly shardId: ShardId; readonly owner: VmId | undefined };

/** The allocation task with the means to read which engines to poll. */
export type Allocation = {
  readonly run: (inbox: AllocationInbox) => Task;
  readonly listPolled: Allocators['listPolled'];
  /** Lists the VM that this one asks for each shard. */
  readonly listShardOwners: () => readonly ShardOwner[];
  /** Newest incarnation of each VM that has ended for sure. */
  readonly endedIncarnations: ReadonlyMap<VmId, Incarnation>;
};

/** A step that is still to be done for the message under way. */
type Work =
  | { readonly kind: 'asker-event'; readonly event: ReservationClientEvent }
  | { readonly kind: 'allocator-action'; readonly scoped: ScopedAction; readonly now: number };

/** Makes the allocation task. */
export function makeAllocation(parts: AllocationParts): Allocation {
  const { vmId: self, sendTo } = parts;
  const allocators = makeAllocators(makeAllocatorOptions(parts));
  const asker = makeReservationClientState(parts.policy === 'ours');
  const inboxes = new Map<AttemptId, Channel<RequestEvent>>();
  const endedIncarnations = new Map<VmId, Incarnation>();
  const work: Work[] = [];
  let shards: ShardMap = new Map();
  let liveVms: readonly VmId[] = [];

  function addAskerEvent(event: ReservationClientEvent): void {
    work.push({ kind: 'asker-event', event });
  }

  function addActions(actions: readonly ScopedAction[], now: number): void {
    for (const scoped of actions) work.push({ kind: 'allocator-action', scoped, now });
  }

  function answerRequest(attemptId: AttemptId, event: RequestEvent): void {
    const requestInbox = inboxes.get(attemptId);
    inboxes.delete(attemptId);
    if (requestInbox !== undefined) offer(requestInbox, event);
  }

  function sendToPeer(to: VmId, message: PeerMessage): void {
    if (!sendTo(to, message)) parts.logger.debug({ to, kind: message.kind }, 'allocation: no link');
  }

  function getGranter({ scope }: ScopedAction): AllocatorAddress {
    return scope === 'private' ? { kind: 'private' } : { kind: 'vm', vmId: self };
  }

  /** Gives back a grant that cannot reach the VM that asked. */
  function releaseGrant(scoped: ScopedAction, ask: ReservationRequest, now: number): void {
    if (scoped.action.kind !== 'grant') return;
    const { reservationId } = scoped.action.grant;
    const { attemptId } = ask;
    const items = [{ reservationId, attemptId, outcome: 'unused', tokens: 0 } as const];
    addActions(
      allocators.handleEvent('shared', scoped.shardId, { kind: 'attempt-ended', items, now }),
      now,
    );
  }

  function perform(scoped: ScopedAction, now: number): void {
    const { action, shardId } = scoped;
    switch (action.kind) {
      case 'grant': {
        const { ask, grant } = action;
        if (ask.vmId === self) {
          addAskerEvent({ kind: 'granted', from: getGranter(scoped), shardId, grant, now });
          return;
        }
        const message = { kind: 'grant', shardId, grant } as const;
        if (!sendTo(ask.vmId, message)) releaseGrant(scoped, ask, now);
        return;
      }
      case 'refuse': {
        const { vmId, requestId, attemptId, refusal } = action;
        if (vmId === self) {
          addAskerEvent({ kind: 'refused', from: getGranter(scoped), attemptId, refusal, now });
        } else sendToPeer(vmId, { kind: 'refuse', requestId, attemptId, refusal });
        return;
      }
      case 'cancel-hold': {
        const { upstreamId, attemptId } = action;
        const deadline = now + SWEEP_CANCEL_MS;
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

  /** Lets a shared allocator decide on an ask, and tells the VM that asked if it has to wait. */
  function handleAsk(shardId: ShardId, ask: ReservationRequest, now: number): void {
    const actions = allocators.handleEvent('shared', shardId, { kind: 'asked', ask, now });
    const { attemptId, vmId } = ask;
    if (!isAnswered(actions, attemptId)) {
      if (vmId === self) {
        addAskerEvent({ kind: 'queued', from: { kind: 'vm', vmId: self }, attemptId, now });
      } else sendToPeer(vmId, { kind: 'queued', attemptId });
    }
    addActions(actions, now);
  }

  function runLocal(to: AllocatorAddress, shardId: ShardId, event: AllocatorEvent): void {
    const scope = to.kind === 'private' ? 'private' : 'shared';
    addActions(allocators.handleEvent(scope, shardId, event), event.now);
  }

  function performAsker(action: ReservationClientAction, now: number): void {
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
    if (to.kind === 'vm' && to.vmId !== self) sendToPeer(to.vmId, makeAskerMessage(action));
    else if (action.kind === 'send-ask' && to.kind === 'vm') handleAsk(shardId, action.ask, now);
    else runLocal(to, shardId, makeAllocatorEvent(action, now));
  }

  function handlePeer(message: Extract<AllocationMessage, { kind: 'peer-said' }>): void {
    const { vmId, now } = message;
    const from: AllocatorAddress = { kind: 'vm', vmId };
    const heard = parsePeerMessage(from, message.message, now);
    switch (heard.kind) {
      case 'ask':
        handleAsk(heard.shardId, { ...heard.ask, vmId }, now);
        return;
      case 'asker-event':
        addAskerEvent(heard.event);
        return;
      case 'allocator-event':
        runLocal(from, heard.shardId, heard.event);
        return;
      default:
        assertNever(heard);
    }
  }

  function updateView(now: number): void {
    addAskerEvent({ kind: 'view-changed', shards, liveVms, now });
  }

  function handleTick(vmIds: readonly VmId[], now: number): void {
    if (vmIds.join() !== liveVms.join()) {
      liveVms = vmIds;
      updateView(now);
    }
    addAskerEvent({ kind: 'ticked', now });
    addActions(allocators.handleForAll({ kind: 'ticked', now }), now);
    allocators.removeIdle((shardId) => listOwners(shardId, liveVms)[0] === self, now);
  }

  function runWork(): void {
    for (let item = work.shift(); item !== undefined; item = work.shift()) {
      if (item.kind === 'allocator-action') {
        perform(item.scoped, item.now);
        continue;
      }
      const { event } = item;
      for (const action of handleReservationEvent(asker, event)) performAsker(action, event.now);
    }
  }

  function handleMessage(message: AllocationMessage): void {
    switch (message.kind) {
      case 'ask':
        inboxes.set(message.ask.attemptId, message.requestInbox);
        addAskerEvent({ kind: 'asked', ask: message.ask, now: message.now });
        return;
      case 'withdraw':
        inboxes.delete(message.attemptId);
        addAskerEvent({ kind: 'withdrawn', attemptId: message.attemptId, now: message.now });
        return;
      case 'move':
        addAskerEvent({ kind: 'moved', position: message.position, now: message.now });
        return;
      case 'end':
        addAskerEvent({ kind: 'ended', end: message.end, now: message.now });
        return;
      case 'peer-said':
        handlePeer(message);
        return;
      case 'link-opened':
        addAskerEvent(message);
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
        runWork();
      }
    },
  };
}
