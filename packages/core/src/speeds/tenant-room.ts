/**
 * Divides room that is scarce between tenants: each gets room in proportion to its usual use, and what
 * one does not need goes to the others. A tenant with many times its usual load has the least share.
 * Nothing is kept between calls, unlike in `pools/tenant-shares.ts`, which orders waiting streams by
 * what their tenants have used.
 */

/** How much of the room a tenant wants, in calls per second, and what it usually uses. */
export type TenantDemand = {
  readonly tenant: string;
  readonly perS: number;
  readonly usualPerS: number;
};

/** Part of the mean that is added to each usual use, so that a tenant without any gets room too. */
const ADDED_MEAN_SHARE = 0.1;

/** Computes which share of its calls each tenant may send, where `perS` calls can be sent. */
export function computeAdmittedShares(
  demands: readonly TenantDemand[],
  perS: number,
): Map<string, number> {
  const usual = demands.reduce((sum, demand) => sum + demand.usualPerS, 0);
  const added = Math.max(Number.EPSILON, (ADDED_MEAN_SHARE * usual) / Math.max(1, demands.length));
  const weighed = demands
    .filter((demand) => demand.perS > 0)
    .map((demand) => ({ ...demand, weight: demand.usualPerS + added }))
    .sort((left, right) => left.perS / left.weight - right.perS / right.weight);
  let weightLeft = weighed.reduce((sum, { weight }) => sum + weight, 0);
  let perSLeft = Math.max(0, perS);
  const shares = new Map<string, number>();
  for (const demand of weighed) {
    const granted = Math.min(demand.perS, (perSLeft * demand.weight) / weightLeft);
    shares.set(demand.tenant, granted / demand.perS);
    perSLeft -= granted;
    weightLeft -= demand.weight;
  }
  return shares;
}
