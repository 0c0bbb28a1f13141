/** Tells the pools of the engines that this VM lists. */

import { findLimit, type PoolEngine } from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import { offer } from '../tasks/tasks.js';
import type { GatewayState } from './gateway-state.js';

function listPoolEngines(state: GatewayState): ReadonlyMap<ServiceName, PoolEngine[]> {
  const pools = new Map<ServiceName, PoolEngine[]>();
  for (const service of state.configuration?.services.values() ?? []) {
    if (service.engine !== undefined) pools.set(service.name, []);
  }
  for (const record of state.upstreams.records.values()) {
    const engines = pools.get(record.service);
    const limits = state.configuration?.services.get(record.service)?.engine;
    if (engines === undefined || limits === undefined || record.stage === undefined) continue;
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
export function notifyPoolsOfEngines(state: GatewayState): void {
  for (const [service, engines] of listPoolEngines(state)) {
    offer(state.pools.inbox, { kind: 'engines', service, engines });
  }
}
