/** Retry budget shared by all requests of a VM; each answer adds a fraction of a retry. */

/** Number of retries that are available, in fractions; each retry that repeats work takes one. */
export type RetryBudget = { available: number };

const MAX_AVAILABLE_RETRIES = 20;
const RETRIES_PER_ANSWER = 0.1;

/** Makes a full budget, so that a VM that just started can retry. */
export function makeRetryBudget(): RetryBudget {
  return { available: MAX_AVAILABLE_RETRIES };
}

/** Adds the fraction of a retry that one successful answer earns, up to the maximum. */
export function addRetryCredit(budget: RetryBudget): void {
  budget.available = Math.min(MAX_AVAILABLE_RETRIES, budget.available + RETRIES_PER_ANSWER);
}

/** Takes one retry from the budget; returns false if less than one is left. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.available < 1) return false;
  budget.available -= 1;
  return true;
}
