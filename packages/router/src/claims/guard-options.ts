/** Divides the table's budget between the live VMs. */

import { FLEET_BUDGET, type GuardOptions } from '@tarragonspool/platform';

/** Makes the options of a guarded table that may use a share of this VM's part. */
export function makeGuardOptions(share: number, countLiveVms: () => number): GuardOptions {
  const getPart = (fleetRate: number): number =>
    Math.max(1, (fleetRate * share) / Math.max(1, countLiveVms()));
  return {
    writesPerSecond: () => getPart(FLEET_BUDGET.writesPerSecond),
    readsPerSecond: () => getPart(FLEET_BUDGET.readsPerSecond),
    getNow: Date.now,
    random: Math.random,
    wait: (milliseconds) =>
      new Promise((resolve) => {
        setTimeout(resolve, milliseconds);
      }),
  };
}
