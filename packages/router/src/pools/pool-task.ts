/** The pool task: gets slots for the requests of this VM, and assigns slots of the services it owns. */

import {
  makePermitSchedules,
  type EngineStage,
  type PlannedEngine,
  type PoolEngine,
  type RankedVm,
  type RequestNeeds,
} from '@tarragonspool/core';
import type {
  PermitMessage,
  PoolMessage,
  ServiceName,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeOwnerSelector, type OwnerSelector } from './owners.js';
import { makePermitClient, type PermitClient } from './permit-client.js';
import { makePermitKeeper } from './permit-keeper.js';
import type { PermitRequest } from './permit-messages.js';
import { makePoolClient, type PoolClient } from './place-asker.js';
import type { PoolRequestMessage } from './place-messages.js';
import { makePoolOwner, type PoolOwner } from './pool-owner.js';

/** Everything that the task receives. */
export type PoolTaskMessage =
  | { readonly kind: 'request'; readonly message: PoolRequestMessage }
  | { readonly kind: 'permit-wanted'; readonly request: PermitRequest }
  | { readonly kind: 'peer'; readonly from: VmId; readonly message: PoolMessage | PermitMessage }
  | { readonly kind: 'link-opened'; readonly vmId: VmId }
  | { readonly kind: 'link-closed'; readonly vmId: VmId }
  | { readonly kind: 'vm-restarted'; readonly vmId: VmId }
  | {
      readonly kind: 'engines';
      readonly service: ServiceName;
      readonly engines: readonly PoolEngine[];
    }
  | {
      readonly kind: 'engine-ordered';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly stage: EngineStage;
      readonly doneBy: number;
      readonly idleChangeMs: number | undefined;
    }
  /** This VM stops at a planned time, which interrupts the answers that are open then. */
  | { readonly kind: 'stops'; readonly at: number }
  /** Whether this VM knows less of the store than it should, or reaches no server. */
  | { readonly kind: 'unfit'; readonly isUnfit: boolean }
  | { readonly kind: 'members'; readonly members: readonly RankedVm[] }
  | { readonly kind: 'ticked' };

/** Input of the stage plan, which splits engines between prefill and decode. */
export type StagePlanInput = {
  readonly engines: readonly PlannedEngine[];
  readonly demand: RequestNeeds;
};

/** Dependencies of the pool task. */
export type PoolTaskParts = {
  readonly self: VmId;
  readonly takeFraction: () => number;
  readonly sendTo: (vmId: VmId, message: PoolMessage | PermitMessage) => void;
  readonly broadcast: (message: PoolMessage) => void;
  /** Called when slot requests begin to wait, so that ticks come at short intervals. */
  readonly onBusy: () => void;
  readonly logger: Logger;
};

/** The pool task with its inbox. */
export type PoolTask = {
  readonly inbox: Channel<PoolTaskMessage>;
  readonly run: () => Task;
  /** Whether slot requests of this VM or of its pools wait. */
  readonly isBusy: () => boolean;
  /** Counts the VMs that this one considers alive, itself included. */
  readonly countLiveVms: () => number;
  readonly isOwnerOf: (service: ServiceName) => boolean;
  /** Finds the VM that leads a ranking. */
  readonly findOwner: (ranking: ServiceName) => VmId;
  readonly readPlan: (service: ServiceName, now: number) => StagePlanInput | undefined;
};

/** Exceeds the number of requests that a VM can have open. */
const INBOX_CAPACITY = 8_192;
/** Time in which a starting VM links its peers; before, each VM would consider itself the owner. */
const LINK_TIME_MS = 400;
/** A request for a permit that found the inbox full is worth repeating after this time. */
const RETRY_AFTER_FULL_INBOX_MS = 300;
/** A longer gap between ticks means that this process was paused. */
const PAUSE_THRESHOLD_MS = 500;

type Sides = {
  readonly owner: PoolOwner;
  readonly client: PoolClient;
  readonly permitClient: PermitClient;
  readonly keepPermits: ReturnType<typeof makePermitKeeper>;
  readonly ownerSelector: OwnerSelector;
};

function handlePeerMessage(
  { owner, client, permitClient, keepPermits, ownerSelector }: Sides,
  from: VmId,
  message: PoolMessage | PermitMessage,
  now: number,
): void {
  switch (message.kind) {
    case 'permit-request':
      keepPermits(from, message, now);
      return;
    case 'permit-answer':
      permitClient.handleAnswer(from, message, now);
      return;
    case 'alive': {
      const { isStoreAway, isLeaving, isCutOff } = message;
      ownerSelector.recordUnfit(from, isStoreAway || isLeaving || isCutOff);
      return;
    }
    case 'pool-queued':
    case 'pool-grant':
    case 'pool-refuse':
      client.handleAnswer(from, message, now);
      return;
    default:
      owner.handleMessage(from, message, now);
  }
}

/** Makes the pool task. */
export function makePoolTask(parts: PoolTaskParts): PoolTask {
  const { self, logger } = parts;
  const inbox = makeChannel<PoolTaskMessage>(INBOX_CAPACITY);
  const ownerSelector = makeOwnerSelector(self);
  // Messages between this VM's own pool client and owner are queued, which avoids nested calls.
  const localMessages: (PoolMessage | PermitMessage)[] = [];
  const send = (to: VmId, message: PoolMessage | PermitMessage): void => {
    if (to === self) localMessages.push(message);
    else parts.sendTo(to, message);
  };
  const permits = makePermitSchedules();
  const isOwner = (service: ServiceName, now: number): boolean =>
    ownerSelector.chooseOwner(service, now) === self;
  const { takeFraction } = parts;
  const owner = makePoolOwner({ self, takeFraction, reply: send, permits, isOwner, logger });
  const linkedBy = getSteadyMs() + LINK_TIME_MS;
  const client = makePoolClient({ self, linkedBy, ownerSelector, send, logger });
  const permitClient = makePermitClient({ self, ownerSelector, send, logger });
  const keepPermits = makePermitKeeper({ self, ownerSelector, schedules: permits, send });
  const sides = { owner, client, permitClient, keepPermits, ownerSelector };
  let tickedAt = getSteadyMs();

  function handleTick(now: number): void {
    const pauseMs = now - tickedAt;
    tickedAt = now;
    if (pauseMs > PAUSE_THRESHOLD_MS) {
      logger.warn({ pauseMs }, 'pools: this process runs again after a pause');
      ownerSelector.resetTimeouts(now);
      owner.dropAssignmentsOfOthers(now);
    }
    owner.tick(now);
    client.checkOwners(now);
    permitClient.checkKeepers(now);
  }

  /** Reports an ordered stage change to all VMs, because each may be the next owner. */
  function reportOrdered(
    { doneBy, ...ordered }: Extract<PoolTaskMessage, { kind: 'engine-ordered' }>,
    now: number,
  ): void {
    const doneInMs = doneBy - now;
    const order = { ...ordered, kind: 'pool-engine-ordered', doneInMs } as const;
    owner.handleMessage(self, order, now);
    parts.broadcast(order);
  }

  function handleMessage(message: PoolTaskMessage, now: number): void {
    switch (message.kind) {
      case 'request':
        client.handleRequest(message.message, now);
        return;
      case 'permit-wanted':
        permitClient.handleRequest(message.request, now);
        return;
      case 'peer':
        ownerSelector.recordMessage(message.from, now);
        handlePeerMessage(sides, message.from, message.message, now);
        return;
      case 'link-opened':
        ownerSelector.addLink(message.vmId, now);
        return;
      case 'link-closed':
        ownerSelector.removeLink(message.vmId);
        client.checkOwners(now);
        return;
      case 'vm-restarted':
        owner.handleRestart(message.vmId, now);
        return;
      case 'engines':
        owner.updateEngines(message.service, message.engines, now);
        return;
      case 'engine-ordered':
        reportOrdered(message, now);
        return;
      case 'stops':
        client.handleStop(message.at, now);
        return;
      case 'unfit':
        ownerSelector.recordUnfit(self, message.isUnfit);
        return;
      case 'members':
        ownerSelector.setMembers(message.members);
        return;
      case 'ticked':
        handleTick(now);
        return;
      default:
        message satisfies never;
    }
  }

  function isBusy(): boolean {
    return client.hasPending() || permitClient.hasPending() || owner.hasWaiting();
  }

  function* run(): Task {
    for (;;) {
      const message = yield* receive(inbox);
      if (message === undefined) return;
      const now = getSteadyMs();
      handleMessage(message, now);
      for (let next = localMessages.shift(); next !== undefined; next = localMessages.shift()) {
        handlePeerMessage(sides, self, next, now);
      }
      if (isBusy()) parts.onBusy();
    }
  }

  return {
    inbox,
    run,
    isBusy,
    countLiveVms: () => ownerSelector.countAlive(getSteadyMs()),
    readPlan: owner.readPlan,
    findOwner: (ranking) => ownerSelector.chooseOwner(ranking, getSteadyMs()),
    isOwnerOf: (service) => isOwner(service, getSteadyMs()),
  };
}

/** Asks the pool task for a permit; if its inbox is full, none is given. */
export function requestPermit(task: PoolTask, request: PermitRequest): void {
  if (offer(task.inbox, { kind: 'permit-wanted', request })) return;
  const { permitRequestId, onReply } = request;
  const retryAt = getSteadyMs() + RETRY_AFTER_FULL_INBOX_MS;
  onReply({ kind: 'not-permitted', permitRequestId, retryAt });
}

/** Sends a message of a request to the pool task; if the inbox is full, logs and drops it. */
export function sendPoolMessage(task: PoolTask, message: PoolRequestMessage, logger: Logger): void {
  if (!offer(task.inbox, { kind: 'request', message })) {
    logger.error({ kind: message.kind }, 'pools: inbox is full, message dropped');
  }
}
