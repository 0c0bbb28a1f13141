/** Connects the shared loads to the gateway: which services they are for, and who sums them. */

import { listUsableUpstreams } from '@tarragonspool/core';
import type { ServiceName, VmId } from '@tarragonspool/protocol';
import { makeSharedLoads, type SharedLoadParts, type SharedLoads } from '../speeds/shared-loads.js';
import { startAdaptiveTicker } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayState } from './gateway-state.js';

/** Contract under which the VMs of a deployment share the load of plain services. */
const POOL_CONTRACT = 'pool';
const TICK_MS = 100;
const IDLE_TICK_MS = 500;

type LoadSharingParts = Pick<SharedLoadParts, 'self' | 'sendTo' | 'broadcast' | 'logger'> & {
  readonly metrics: SharedLoadParts['metrics'];
  readonly getState: () => GatewayState | undefined;
  readonly findOwner: (ranking: ServiceName) => VmId;
  readonly countLiveVms: () => number;
};

/** A VM that hears fewer of the listed VMs does not sum: what it knows of the servers' load is too little. */
const LEAST_HEARD_SHARE = 0.5;

/** Whether VMs share the load of a service: only then each of them sees too little to choose by. */
export function isLoadShared(state: GatewayState, service: ServiceName): boolean {
  const { settings, configuration, listedVmCount = 0, upstreams } = state;
  if (!settings.contracts.includes(POOL_CONTRACT)) return false;
  if (configuration?.services.get(service)?.engine !== undefined) return false;
  let slots = 0;
  for (const record of upstreams.records.values()) {
    if (record.service === service) slots += record.slots;
  }
  return slots > 0 && listedVmCount > slots;
}

/** Starts to share the load of plain services where that is on. */
export function startLoadSharing(parts: LoadSharingParts): SharedLoads {
  const { self, getState, findOwner, countLiveVms } = parts;
  const sharedLoads = makeSharedLoads(
    {
      ...parts,
      isShared: (service) => {
        const state = getState();
        return state !== undefined && isLoadShared(state, service);
      },
      findRanking: (service) => getState()?.fleet.findRankingName(service) ?? service,
      findLeader: (ranking) => {
        const leader = findOwner(ranking);
        const listed = getState()?.listedVmCount ?? Infinity;
        const canSum = leader !== self || countLiveVms() >= LEAST_HEARD_SHARE * listed;
        return canSum ? leader : undefined;
      },
      listServers: (service) => {
        const state = getState();
        return state === undefined
          ? []
          : listUsableUpstreams(state.upstreams, service, getSteadyMs());
      },
    },
    getSteadyMs(),
  );
  startAdaptiveTicker({
    busyMs: TICK_MS,
    idleMs: IDLE_TICK_MS,
    isBusy: sharedLoads.isBusy,
    onTick: () => sharedLoads.tick(getSteadyMs()),
  });
  return sharedLoads;
}
