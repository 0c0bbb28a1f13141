/** Divides the table's rate budget evenly between the live VMs. */

import { FLEET_BUDGET, type GuardOptions } from '@tarragonspool/platform';

/** Makes the options of a guarded table that may use a share (0 to 1) of this VM's rate budget. */
export function makeTableGuardOptions(share: number, countLiveVms: () => number): GuardOptions {
  const getVmRate = (fleetRate: number): number =>
    Math.max(1, (fleetRate * share) / Math.max(1, countLiveVms()));
  return {
    writesPerSecond: () => getVmRate(FLEET_BUDGET.writesPerSecond),
    readsPerSecond: () => getVmRate(FLEET_BUDGET.readsPerSecond),
    getNow: Date.now,
    random: Math.random,
    wait: (milliseconds) =>
      new Promise((resolve) => {
        setTimeout(resolve, milliseconds);
      }),
  };
}
