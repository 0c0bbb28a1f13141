/** Tells the pools of the engines that this VM lists. */

import {
  findLimit,
  type PoolEngine,
  type RoutingConfiguration,
  type UpstreamList,
} from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import type { PoolTask } from '../pools/pool-task.js';
import { offer } from '../tasks/tasks.js';
import { isRegistered, type VersionRegistry } from './versions/version-registry.js';

/** Lists of engines, and the pools that are notified of them. */
export type PoolEnginesState = {
  readonly configuration: RoutingConfiguration | undefined;
  readonly upstreams: Pick<UpstreamList, 'records' | 'beliefs'>;
  readonly versionRegistry: VersionRegistry;
  readonly pools: Pick<PoolTask, 'inbox'>;
};

/**
 * Lists the services that have an engine at which streams may begin even if all VMs are lost. Engines of
 * versions without a row in the store wait there until they have one; elsewhere they serve at once.
 */
function listRegisteredServices({
  upstreams,
  versionRegistry,
}: PoolEnginesState): Set<ServiceName> {
  const services = new Set<ServiceName>();
  for (const engine of upstreams.records.values()) {
    if (engine.stage !== 'decode' || engine.isLeaving) continue;
    if (isRegistered(versionRegistry, engine)) services.add(engine.service);
  }
  return services;
}

function listPoolEngines(state: PoolEnginesState): ReadonlyMap<ServiceName, PoolEngine[]> {
  const pools = new Map<ServiceName, PoolEngine[]>();
  for (const service of state.configuration?.services.values() ?? []) {
    if (service.engine !== undefined) pools.set(service.name, []);
  }
  const registered = listRegisteredServices(state);
  for (const record of state.upstreams.records.values()) {
    const engines = pools.get(record.service);
    const limits = state.configuration?.services.get(record.service)?.engine;
    if (engines === undefined || limits === undefined || record.stage === undefined) continue;
    const mayWait = registered.has(record.service) && record.stage === 'decode';
    if (mayWait && !isRegistered(state.versionRegistry, record)) continue;
    const { upstreamId, dataCentre, stage, incarnation, isLeaving, slots } = record;
    const { softwareVersion } = record;
    const { kvCapacityTokens } = limits;
    const identity = { upstreamId, dataCentre, incarnation, softwareVersion };
    const requestsPerSecond = findLimit(state.upstreams.beliefs, record);
    engines.push({ ...identity, stage, isLeaving, slots, kvCapacityTokens, requestsPerSecond });
  }
  return pools;
}

/** Tells the pools which engines are listed, and which of them leave. */
export function notifyPoolsOfEngines(state: PoolEnginesState): void {
  for (const [service, engines] of listPoolEngines(state)) {
    offer(state.pools.inbox, { kind: 'engines', service, engines });
  }
}
