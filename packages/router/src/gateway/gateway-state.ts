/** What the gateway's tasks share. */

import {
  buildRouteTable,
  findServerLoad,
  makeRetryWindow,
  makeUpstreamList,
  takeRetries,
  type RetryWindow,
  type RouteTable,
  type RoutingConfiguration,
  type ServerLoad,
  type ServerLoads,
  type UpstreamList,
} from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { PoolTask } from '../pools/pool-task.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeUpstreamClient, type UpstreamClient } from '../upstreams/upstream-client.js';
import type { ContentGuard } from './content-guard.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayPorts, GatewaySettings } from './ports.js';

/** State of one gateway; each part is changed by one task only. */
export type GatewayState = {
  /** Replaced as a whole when the settings are read again. */
  settings: GatewaySettings;
  readonly ports: GatewayPorts;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly client: UpstreamClient;
  readonly pools: PoolTask;
  readonly contents: ContentGuard;
  readonly takeFraction: () => number;
  /** Tells this start of the process apart in the names of asks. */
  readonly startName: string;
  configuration: RoutingConfiguration | undefined;
  routes: RouteTable;
  readonly upstreams: UpstreamList;
  hasUpstreams: boolean;
  isLeaving: boolean;
  /** After it, new work that takes long is refused because this VM stops. */
  refuseStreamsAt: number;
  readonly loads: ServerLoads;
  readonly retries: Map<ServiceName, RetryWindow>;
  /** VMs that the store lists; undefined before the list is read. */
  listedVms: number | undefined;
  openRequests: number;
  askCount: number;
};

/** What a state is made from. */
export type GatewayStateParts = Pick<
  GatewayState,
  'settings' | 'ports' | 'logger' | 'metrics' | 'pools' | 'contents' | 'takeFraction' | 'startName'
>;

/** Makes the state of a gateway that knows nothing yet. */
export function makeGatewayState(parts: GatewayStateParts): GatewayState {
  return {
    ...parts,
    client: makeUpstreamClient(),
    configuration: undefined,
    routes: new Map(),
    upstreams: makeUpstreamList(),
    hasUpstreams: false,
    isLeaving: false,
    refuseStreamsAt: Infinity,
    loads: new Map(),
    retries: new Map(),
    listedVms: undefined,
    openRequests: 0,
    askCount: 0,
  };
}

/** Takes a configuration unless an equal or newer one is in force; false if it was not taken. */
export function applyConfiguration(state: GatewayState, next: RoutingConfiguration): boolean {
  const current = state.configuration;
  if (current !== undefined && next.version <= current.version) return false;
  state.configuration = next;
  state.routes = buildRouteTable(next);
  return true;
}

/** Finds the retry window of a service. */
export function findRetryWindow(state: GatewayState, service: ServiceName): RetryWindow {
  const known = state.retries.get(service);
  if (known !== undefined) return known;
  const window = makeRetryWindow();
  state.retries.set(service, window);
  return window;
}

/** The budget of the settings. */
export function getRetryLimits({ settings }: GatewayState): {
  ratio: number;
  windowMs: number;
  slack: number;
} {
  const { retryRatio, retryWindowMs, retrySlack } = settings;
  return { ratio: retryRatio, windowMs: retryWindowMs, slack: retrySlack };
}

/** A VM that does not know how many there are takes a share as small as this many would leave. */
const ASSUMED_VMS = 50;

/** Counts the VMs that share a budget; a VM that has just started sees no peer yet. */
export function countSharingVms(state: GatewayState): number {
  return Math.max(state.pools.countLiveVms(), state.listedVms ?? ASSUMED_VMS);
}

/** Takes extra arrivals at a service from this VM's share of the budget. */
export function takeRetryOf(state: GatewayState, service: ServiceName, arrivals = 1): boolean {
  const window = findRetryWindow(state, service);
  const vms = countSharingVms(state);
  return takeRetries(window, getRetryLimits(state), vms, arrivals, getSteadyMs());
}

/** Finds the load of a server as this VM sees it. */
export function findLoad(state: GatewayState, upstreamId: UpstreamId): ServerLoad {
  return findServerLoad(state.loads, upstreamId);
}
