/** State that the gateway's tasks share. */

import {
  buildRouteTable,
  getOrAddServerLoad,
  makeRetryWindow,
  takeRetries,
  type RetryWindow,
  type RouteTable,
  type RoutingConfiguration,
  type ServerLoad,
  type ServerLoads,
  type UpstreamList,
  type VersionHistory,
} from '@tarragonspool/core';
import type { PeerMessage, ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { FleetView } from '../peers/fleet-view.js';
import type { PoolTask } from '../pools/pool-task.js';
import type { QuotaTask } from '../quotas/quota-task.js';
import type { SharedLoads } from '../speeds/shared-loads.js';
import { makeChannel, type Channel } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeUpstreamClient, type UpstreamClient } from '../upstreams/upstream-client.js';
import type { CallerReply } from './caller-reply.js';
import type { ContentGuard } from './quarantine/content-guard.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { MemoryWatch } from '../intake/memory-watch.js';
import type { HeldBytes } from '../intake/held-bytes.js';
import type { AnswerEnds } from '../answer-ends/answer-ends.js';
import type { PartGuard } from './quarantine/part-guard.js';
import type { GatewayPorts, GatewaySettings } from './ports.js';
import type { StreamOriginBook } from './stream-origins.js';
import type { QuarantineWakeup } from './quarantine/quarantine-rows.js';
import type { ServerAccess } from './server-access.js';
import { makeFramingRecord } from '../intake/size-cuts.js';
import { makeSuspensionCheck } from './versions/service-versions.js';
import { makeVersionRegistry, type VersionRegistry } from './versions/version-registry.js';

/** State of one gateway; each part is changed by one task only. */
export type GatewayState = {
  /** Replaced as a whole when the settings are reloaded. */
  settings: GatewaySettings;
  readonly ports: GatewayPorts;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly access: ServerAccess;
  /** Judges whether servers ended answers themselves. */
  readonly answerEnds: AnswerEnds;
  /** Client of engine orders and reports, whose answers carry no id. */
  readonly engineClient: UpstreamClient;
  readonly pools: PoolTask;
  readonly quotas: QuotaTask;
  readonly contentGuard: ContentGuard;
  readonly partGuard: PartGuard;
  readonly streamOrigins: StreamOriginBook;
  /** Wakes the task that keeps the store's rows of parts in quarantine. */
  readonly quarantineWakeups: Channel<QuarantineWakeup>;
  /** Load of the servers of plain services over all VMs. */
  readonly sharedLoads: SharedLoads;
  /** Sends a message to all linked peers. */
  readonly broadcast: (message: PeerMessage) => void;
  /** What this VM knows of the others. */
  readonly fleet: FleetView;
  readonly takeFraction: () => number;
  /**
   * Identifies this start of the process, so that ids of slot requests stay unique across restarts.
   */
  readonly processStartId: string;
  configuration: RoutingConfiguration | undefined;
  routes: RouteTable;
  readonly upstreams: UpstreamList;
  /** Software versions that this VM has seen in the list of servers. */
  readonly versions: VersionHistory;
  /** What this VM knows of the store's rows of software versions. */
  readonly versionRegistry: VersionRegistry;
  /** Wakes the task that keeps these rows. */
  readonly versionWakeups: Channel<true>;
  /** Whether this machine may have been suspended since the last call. */
  readonly hasBeenSuspended: () => boolean;
  hasUpstreams: boolean;
  isLeaving: boolean;
  /** From this time on new streams are refused because this VM shuts down. */
  refuseStreamsAfter: number;
  readonly loads: ServerLoads;
  readonly retryWindows: Map<ServiceName, RetryWindow>;
  /** Number of VMs that the store lists; undefined before the list is read. */
  listedVmCount: number | undefined;
  /** Era of the store and when this VM first saw it. */
  storeEra: { readonly era: number; readonly seenAt: number };
  /** Whether this VM knew the recent state of the store, and when that was judged. */
  storeKnown: { readonly isRecent: boolean; readonly judgedAt: number };
  openRequests: number;
  /** Answers that have not ended. */
  readonly openReplies: Set<CallerReply>;
  /** Those of requests whose body is still on its way. */
  readonly unreadReplies: Set<CallerReply>;
  /** Bytes that are held for requests, with one limit for all. */
  readonly heldBytes: HeldBytes;
  /** Collects garbage while the machine's memory is short. */
  readonly memoryWatch: MemoryWatch;
  /** Finds how many bytes of callers' connections may wait to be parsed. */
  readonly getUnparsedLimit: () => number;
  slotRequestCount: number;
  permitRequestCount: number;
};

/** Dependencies of a gateway's state. */
export type GatewayStateParts = Pick<
  GatewayState,
  | 'access'
  | 'answerEnds'
  | 'upstreams'
  | 'settings'
  | 'ports'
  | 'logger'
  | 'metrics'
  | 'pools'
  | 'quotas'
  | 'contentGuard'
  | 'heldBytes'
  | 'memoryWatch'
  | 'getUnparsedLimit'
  | 'partGuard'
  | 'sharedLoads'
  | 'streamOrigins'
  | 'versions'
  | 'quarantineWakeups'
  | 'broadcast'
  | 'fleet'
  | 'takeFraction'
  | 'processStartId'
>;

/** Makes the state of a gateway that has no configuration and no upstreams yet. */
export function makeGatewayState(parts: GatewayStateParts): GatewayState {
  const { decodeRequestId } = parts.ports.dialect;
  const onOverFramed = makeFramingRecord(parts);
  return {
    ...parts,
    engineClient: makeUpstreamClient({ keepsConnections: false, decodeRequestId, onOverFramed }),
    configuration: undefined,
    routes: new Map(),
    versionRegistry: makeVersionRegistry(),
    versionWakeups: makeChannel<true>(1),
    hasBeenSuspended: makeSuspensionCheck(),
    hasUpstreams: false,
    isLeaving: false,
    refuseStreamsAfter: Infinity,
    loads: new Map(),
    retryWindows: new Map(),
    listedVmCount: undefined,
    storeEra: { era: 0, seenAt: 0 },
    storeKnown: { isRecent: false, judgedAt: 0 },
    openRequests: 0,
    openReplies: new Set(),
    unreadReplies: new Set(),
    slotRequestCount: 0,
    permitRequestCount: 0,
  };
}

/**
 * Applies a configuration unless one of the same or a later version is in force; returns whether it
 * did.
 */
export function applyConfiguration(state: GatewayState, next: RoutingConfiguration): boolean {
  const current = state.configuration;
  if (current !== undefined && next.version <= current.version) return false;
  state.configuration = next;
  state.routes = buildRouteTable(next);
  return true;
}

/** Records the era of an answer of the store; an older one than is known is ignored. */
export function recordStoreEra(state: GatewayState, era: number, now: number): void {
  if (era <= state.storeEra.era) return;
  state.storeEra = { era, seenAt: now };
  state.metrics.storeEra.set(era);
}

/** Finds the retry window of a service, or adds an empty one. */
export function findRetryWindow(state: GatewayState, service: ServiceName): RetryWindow {
  const known = state.retryWindows.get(service);
  if (known !== undefined) return known;
  const window = makeRetryWindow();
  state.retryWindows.set(service, window);
  return window;
}

/** Returns the retry limits of the settings. */
export function getRetryLimits({ settings }: GatewayState): {
  ratio: number;
  windowMs: number;
  slack: number;
} {
  const { retryRatio, retryWindowMs, retrySlack } = settings;
  return { ratio: retryRatio, windowMs: retryWindowMs, slack: retrySlack };
}

/**
 * VMs that are assumed to share the budget before the list is read; high, so that a VM that has just
 * started takes a small share.
 */
export const ASSUMED_VM_COUNT = 50;

/**
 * Counts the VMs that share a budget. The count of live VMs alone is not enough, because a VM that
 * has just started sees no peer yet.
 */
export function countSharingVms(state: GatewayState): number {
  return Math.max(state.pools.countLiveVms(), state.listedVmCount ?? ASSUMED_VM_COUNT);
}

/**
 * Takes `count` retries of a service from this VM's share of the budget; false if it has too few.
 */
export function takeServiceRetries(state: GatewayState, service: ServiceName, count = 1): boolean {
  const window = findRetryWindow(state, service);
  const vmCount = countSharingVms(state);
  return takeRetries(window, getRetryLimits(state), vmCount, count, getSteadyMs());
}

/** Finds the load that this VM has recorded for a server. */
export function findLoad(state: GatewayState, upstreamId: UpstreamId): ServerLoad {
  return getOrAddServerLoad(state.loads, upstreamId);
}
