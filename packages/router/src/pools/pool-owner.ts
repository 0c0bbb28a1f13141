/** Pool owner: assigns the slots of the services that this VM owns. */

import {
  handlePoolEvent,
  listPlannedEngines,
  makePoolState,
  measureDemand,
  type SlotRequestId,
  type SlotRequest,
  type PermitSchedules,
  type PlannedEngine,
  type SlotAssignment,
  type PoolAction,
  type RequestNeeds,
  type PoolEngine,
  type PoolEvent,
  type PoolState,
} from '@tarragonspool/core';
import type {
  DataCentre,
  PoolMessage,
  SlotAssignmentItem,
  SlotRequestFields,
  ServiceName,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';

/** Messages that the owner of a pool handles. */
export type OwnerMessage = Exclude<
  PoolMessage,
  { kind: 'alive' | 'pool-queued' | 'pool-grant' | 'pool-refuse' }
>;

/** The pool owner of this VM, with one pool for each service. */
export type PoolOwner = {
  readonly handleMessage: (from: VmId, message: OwnerMessage, now: number) => void;
  readonly updateEngines: (
    service: ServiceName,
    engines: readonly PoolEngine[],
    now: number,
  ) => void;
  readonly tick: (now: number) => void;
  /** Whether slot requests wait in any pool. */
  readonly hasWaiting: () => boolean;
  /**
   * Drops the slot assignments of other VMs. Called after a pause of this process, when another
   * owner may have assigned slots that are unknown here.
   */
  readonly dropAssignmentsOfOthers: (now: number) => void;
  readonly handleRestart: (vmId: VmId, now: number) => void;
  readonly readPlan: (
    service: ServiceName,
    now: number,
  ) => { engines: PlannedEngine[]; demand: RequestNeeds } | undefined;
};

/** Dependencies of the pool owner. */
export type PoolOwnerParts = {
  readonly self: VmId;
  readonly takeFraction: () => number;
  readonly reply: (to: VmId, message: PoolMessage) => void;
  /** Permits of servers that limit their requests. */
  readonly permits: PermitSchedules;
  /** Whether this VM considers itself the owner of a service, and so the keeper of its permits. */
  readonly isOwner: (service: ServiceName, now: number) => boolean;
  readonly logger: Logger;
};

function decodeSlotRequest(from: VmId, message: SlotRequestFields, now: number): SlotRequest {
  return {
    askId: message.askId as SlotRequestId,
    vmId: from,
    contentKey: message.contentKey,
    dataCentre: message.dataCentre,
    rank: message.rank,
    tenant: message.tenant,
    promptTokens: message.promptTokens,
    outputTokens: message.outputTokens,
    maxOutputTokens: message.maxOutputTokens,
    aimAt: now + message.aimInMs,
    pauseMs: message.pauseMs,
    patienceEndsAt: now + message.patienceInMs,
    deadlineAt: message.deadlineInMs === undefined ? undefined : now + message.deadlineInMs,
    needsPrefill: message.needsPrefill,
    isContinued: message.isContinued,
    endsBy: message.endsInMs === undefined ? Infinity : now + message.endsInMs,
    excluded: message.excluded,
    softwareVersion: message.softwareVersion,
  };
}

function decodeAssignment(from: VmId, item: SlotAssignmentItem, now: number): SlotAssignment {
  const slotRequest: SlotRequest = {
    askId: item.askId as SlotRequestId,
    vmId: from,
    contentKey: item.askId,
    dataCentre: '' as DataCentre,
    rank: 0,
    promptTokens: item.promptTokens,
    outputTokens: item.outputTokens,
    aimAt: now,
    pauseMs: item.pauseMs,
    patienceEndsAt: now,
    needsPrefill: false,
    isContinued: false,
    endsBy: Infinity,
    excluded: [],
    softwareVersion: undefined,
  };
  return {
    ask: slotRequest,
    decode: item.decode,
    prefill: item.prefill,
    grantedAt: now - item.grantedAgoMs,
    isLate: false,
    expectedEndAt: now + item.endsInMs,
  };
}

/** Makes the pool owner, without any pools at first. */
export function makePoolOwner(parts: PoolOwnerParts): PoolOwner {
  const { self, reply, logger } = parts;
  const pools = new Map<ServiceName, PoolState>();

  function findPool(service: ServiceName): PoolState {
    const existing = pools.get(service);
    if (existing !== undefined) return existing;
    const pool = makePoolState(parts.takeFraction, parts.permits);
    pools.set(service, pool);
    return pool;
  }

  function performAction(service: ServiceName, action: PoolAction, now: number): void {
    const { ask: slotRequest } = action;
    const { askId, vmId } = slotRequest;
    if (action.kind === 'refuse') {
      const { reason, retryAfterMs, freePlaces, waiting, freshRate, serviceRate } = action;
      const { rank, tenant } = slotRequest;
      const slackMs = slotRequest.aimAt - now;
      logger.info(
        {
          service,
          askId,
          vmId,
          rank,
          tenant,
          reason,
          retryAfterMs,
          slackMs,
          freePlaces,
          waiting,
          freshRate,
          serviceRate,
        },
        'pools: slot request refused',
      );
      reply(vmId, { kind: 'pool-refuse', askId, reason, retryAfterMs });
      return;
    }
    const { prefill, decode, permits } = action;
    const assignment = pools.get(service)?.runs.get(askId);
    const endsInMs = (assignment?.expectedEndAt ?? now) - now;
    const slackMs = slotRequest.aimAt - now;
    logger.info(
      { service, askId, vmId, prefill, decode, permits, slackMs, endsInMs },
      'pools: slot granted',
    );
    reply(vmId, { kind: 'pool-grant', service, askId, prefill, decode, endsInMs, permits });
  }

  function apply(service: ServiceName, event: PoolEvent, now: number): void {
    const pool = findPool(service);
    pool.keepsPermits = parts.isOwner(service, now);
    for (const action of handlePoolEvent(pool, event, now)) {
      performAction(service, action, now);
    }
  }

  function handleSlotRequest(from: VmId, message: SlotRequestFields, now: number): void {
    const slotRequest = decodeSlotRequest(from, message, now);
    apply(message.service, { kind: 'asked', ask: slotRequest }, now);
    const isWaiting = findPool(message.service).waiting.has(slotRequest.askId);
    if (isWaiting && from !== self) reply(from, { kind: 'pool-queued', askId: slotRequest.askId });
  }

  /**
   * Handles a request that was sent again. One that waits goes on waiting, one that is granted is
   * granted again, and one that is not known is handled as a new one.
   */
  function handleRepeatedRequest(from: VmId, message: SlotRequestFields, now: number): void {
    const { service } = message;
    const askId = message.askId as SlotRequestId;
    const pool = findPool(service);
    if (pool.waiting.has(askId)) return;
    const assignment = pool.runs.get(askId);
    if (assignment === undefined) {
      logger.info({ service, askId, vmId: from }, 'pools: slot request sent again was not known');
      handleSlotRequest(from, message, now);
      return;
    }
    const { prefill, decode, expectedEndAt } = assignment;
    logger.info({ service, askId, vmId: from, prefill, decode }, 'pools: slot granted again');
    const endsInMs = expectedEndAt - now;
    // Permits of the first grant count as used: who grants again does not know whether they are.
    reply(from, { kind: 'pool-grant', service, askId, prefill, decode, endsInMs, permits: [] });
  }

  return {
    handleMessage: (from, message, now) => {
      const { service } = message;
      switch (message.kind) {
        case 'pool-ask':
          handleSlotRequest(from, message, now);
          return;
        case 'pool-ask-again':
          handleRepeatedRequest(from, message, now);
          return;
        case 'pool-withdraw':
          apply(service, { kind: 'withdrawn', askId: message.askId as SlotRequestId }, now);
          return;
        case 'pool-prefilled':
          apply(service, { kind: 'prefilled', askId: message.askId as SlotRequestId }, now);
          return;
        case 'pool-end': {
          const { didFinish, progress } = message;
          const askId = message.askId as SlotRequestId;
          apply(service, { kind: 'ended', askId, didFinish, progress }, now);
          return;
        }
        case 'pool-engine-failed': {
          const { upstreamId, failure } = message;
          apply(service, { kind: 'engine-failed', upstreamId, failure }, now);
          return;
        }
        case 'pool-engine-ordered': {
          const { upstreamId, stage, doneInMs, idleChangeMs } = message;
          const order = { upstreamId, stage, doneBy: now + doneInMs, idleChangeMs };
          apply(service, { kind: 'engine-ordered', ...order }, now);
          return;
        }
        case 'pool-runs': {
          const assignments = message.runs.map((item) => decodeAssignment(from, item, now));
          logger.info(
            { service, from, runs: assignments.length },
            'pools: slot assignments of a VM received',
          );
          apply(service, { kind: 'runs-announced', vmId: from, runs: assignments }, now);
          return;
        }
        default:
          message satisfies never;
      }
    },
    updateEngines: (service, engines, now) => {
      apply(service, { kind: 'engines-listed', engines }, now);
    },
    hasWaiting: () => {
      for (const { waiting } of pools.values()) if (waiting.size > 0) return true;
      return false;
    },
    tick: (now) => {
      for (const service of pools.keys()) apply(service, { kind: 'ticked' }, now);
    },
    dropAssignmentsOfOthers: (now) => {
      for (const [service, pool] of pools) {
        const otherVms = new Set([...pool.runs.values()].map(({ ask }) => ask.vmId));
        otherVms.delete(self);
        for (const vmId of otherVms) apply(service, { kind: 'vm-restarted', vmId }, now);
      }
    },
    handleRestart: (vmId, now) => {
      for (const service of pools.keys()) apply(service, { kind: 'vm-restarted', vmId }, now);
    },
    readPlan: (service, now) => {
      const pool = pools.get(service);
      if (pool === undefined) return undefined;
      return { engines: listPlannedEngines(pool, now), demand: measureDemand(pool) };
    },
  };
}
