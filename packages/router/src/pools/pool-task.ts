/** The task that finds places for this VM's requests and hands out those that it owns. */

import type { EngineStage, PlannedEngine, PoolDemand, PoolEngine } from '@tarragonspool/core';
import type { PoolMessage, ServiceName, UpstreamId, VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeOwners, type Owners } from './owners.js';
import { makePlaceAsker, type PlaceAsker } from './place-asker.js';
import type { PlaceRequestMessage } from './place-messages.js';
import { makePoolOwner, type PoolOwner } from './pool-owner.js';

/** Everything that the task receives. */
export type PoolTaskMessage =
  | { readonly kind: 'request'; readonly message: PlaceRequestMessage }
  | { readonly kind: 'peer'; readonly from: VmId; readonly message: PoolMessage }
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
    }
  /** This VM was told to stop: what runs at that time is cut. */
  | { readonly kind: 'stops'; readonly at: number }
  /** Whether the store answers this VM. */
  | { readonly kind: 'store'; readonly isAway: boolean }
  | { readonly kind: 'ticked' };

/** What a plan of stages is made from. */
export type StagePlanInput = {
  readonly engines: readonly PlannedEngine[];
  readonly demand: PoolDemand;
};

/** What the task works with. */
export type PoolTaskParts = {
  readonly self: VmId;
  readonly takeFraction: () => number;
  readonly sendTo: (vmId: VmId, message: PoolMessage) => void;
  readonly broadcast: (message: PoolMessage) => void;
  readonly logger: Logger;
};

/** The task with its inbox. */
export type PoolTask = {
  readonly inbox: Channel<PoolTaskMessage>;
  readonly run: () => Task;
  /** Live VMs as this one sees them, itself included. */
  readonly countLiveVms: () => number;
  /** Live peers that the store answers. */
  readonly listInformedPeers: () => VmId[];
  readonly isOwnerOf: (service: ServiceName) => boolean;
  readonly readPlan: (service: ServiceName, now: number) => StagePlanInput | undefined;
};

/** More than the requests that a VM can have open. */
const INBOX_CAPACITY = 8_192;
/** A VM that starts has linked its peers after this time; before it each would decide alone. */
const LINKING_MS = 400;
/** A longer gap between ticks means that this process stood still. */
const PAUSE_MS = 500;

type Sides = {
  readonly owner: PoolOwner;
  readonly asker: PlaceAsker;
  readonly owners: Owners;
};

function handlePeerMessage(
  { owner, asker, owners }: Sides,
  from: VmId,
  message: PoolMessage,
  now: number,
): void {
  switch (message.kind) {
    case 'alive':
      owners.recordStore(from, message.isStoreAway);
      return;
    case 'pool-queued':
    case 'pool-grant':
    case 'pool-refuse':
      asker.handleAnswer(from, message, now);
      return;
    default:
      owner.handleMessage(from, message, now);
  }
}

/** Makes the task. */
export function makePoolTask(parts: PoolTaskParts): PoolTask {
  const { self, logger } = parts;
  const inbox = makeChannel<PoolTaskMessage>(INBOX_CAPACITY);
  const owners = makeOwners(self);
  // Messages between the two sides of this VM go round as a queue, never as nested calls.
  const local: PoolMessage[] = [];
  const tell = (to: VmId, message: PoolMessage): void => {
    if (to === self) local.push(message);
    else parts.sendTo(to, message);
  };
  const owner = makePoolOwner({ self, takeFraction: parts.takeFraction, reply: tell, logger });
  const asksFrom = getSteadyMs() + LINKING_MS;
  const asker = makePlaceAsker({ self, asksFrom, owners, tell, logger });
  const sides = { owner, asker, owners };
  let tickedAt = getSteadyMs();

  function handleTick(now: number): void {
    const pauseMs = now - tickedAt;
    tickedAt = now;
    if (pauseMs > PAUSE_MS) {
      logger.warn({ pauseMs }, 'pools: this process stood still');
      owners.resetSilence(now);
      owner.forgetRunsOfOthers(now);
    }
    owner.tick(now);
    asker.checkOwners(now);
  }

  /** All VMs must know: each may be the owner next. */
  function handleOrdered(
    { service, upstreamId, stage, doneBy }: Extract<PoolTaskMessage, { kind: 'engine-ordered' }>,
    now: number,
  ): void {
    const doneInMs = doneBy - now;
    const order = { kind: 'pool-engine-ordered', service, upstreamId, stage, doneInMs } as const;
    owner.handleMessage(self, order, now);
    parts.broadcast(order);
  }

  function handleMessage(message: PoolTaskMessage, now: number): void {
    switch (message.kind) {
      case 'request':
        asker.handleRequest(message.message, now);
        return;
      case 'peer':
        owners.recordHeard(message.from, now);
        handlePeerMessage(sides, message.from, message.message, now);
        return;
      case 'link-opened':
        owners.addLink(message.vmId, now);
        return;
      case 'link-closed':
        owners.removeLink(message.vmId);
        return;
      case 'vm-restarted':
        owner.handleRestart(message.vmId, now);
        return;
      case 'engines':
        owner.updateEngines(message.service, message.engines, now);
        return;
      case 'engine-ordered':
        handleOrdered(message, now);
        return;
      case 'stops':
        asker.handleStop(message.at, now);
        return;
      case 'store':
        owners.recordStore(self, message.isAway);
        return;
      case 'ticked':
        handleTick(now);
        return;
      default:
        message satisfies never;
    }
  }

  function* run(): Task {
    for (;;) {
      const message = yield* receive(inbox);
      if (message === undefined) return;
      const now = getSteadyMs();
      handleMessage(message, now);
      for (let next = local.shift(); next !== undefined; next = local.shift()) {
        handlePeerMessage(sides, self, next, now);
      }
    }
  }

  return {
    inbox,
    run,
    listInformedPeers: () => owners.listInformed(getSteadyMs()),
    countLiveVms: () => owners.countAlive(getSteadyMs()),
    readPlan: owner.readPlan,
    isOwnerOf: (service) => owners.chooseOwner(service, getSteadyMs()) === self,
  };
}

/** Sends a request's message to the task; a full inbox is logged and the message is dropped. */
export function requestPlace(task: PoolTask, message: PlaceRequestMessage, logger: Logger): void {
  if (!offer(task.inbox, { kind: 'request', message })) {
    logger.error({ kind: message.kind }, 'pools: inbox is full');
  }
}
