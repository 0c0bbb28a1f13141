/** Share of a rate that all VMs use together. Times are milliseconds since the epoch. */

/** A share, refilled steadily; a large take is paid back before the next one. */
export type Budget = { available: number; refilledAt: number };

const MS_PER_SECOND = 1_000;
const BURST_SECONDS = 1;

/** Makes a full budget. */
export function makeBudget(ratePerSecond: number, now: number): Budget {
  return { available: ratePerSecond * BURST_SECONDS, refilledAt: now };
}

function refill(budget: Budget, ratePerSecond: number, now: number): void {
  const elapsed = Math.max(0, now - budget.refilledAt);
  const refilled = budget.available + (elapsed * ratePerSecond) / MS_PER_SECOND;
  budget.available = Math.min(ratePerSecond * BURST_SECONDS, refilled);
  budget.refilledAt = now;
}

/** Takes from the budget; returns when it can be taken if not now. */
export function takeBudget(
  budget: Budget,
  amount: number,
  ratePerSecond: number,
  now: number,
): { readonly isTaken: boolean; readonly readyAt: number } {
  refill(budget, ratePerSecond, now);
  if (budget.available > 0) {
    budget.available -= amount;
    return { isTaken: true, readyAt: now };
  }
  const waitMs = Math.ceil(((1 - budget.available) * MS_PER_SECOND) / ratePerSecond);
  return { isTaken: false, readyAt: now + waitMs };
}
