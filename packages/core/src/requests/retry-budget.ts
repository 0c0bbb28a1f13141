/** Budget of retries that all requests of a VM share: a share of the answers that succeeded. */

/** The budget; each request that retries takes one. */
export type RetryBudget = { available: number };

const MAX_AVAILABLE = 20;
const EARNED_PER_ANSWER = 0.1;

/** Makes a full budget, so that a VM that just started can retry. */
export function makeRetryBudget(): RetryBudget {
  return { available: MAX_AVAILABLE };
}

/** Adds a success's share. */
export function addAnswer(budget: RetryBudget): void {
  budget.available = Math.min(MAX_AVAILABLE, budget.available + EARNED_PER_ANSWER);
}

/** Takes one retry; false if the budget is spent. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.available < 1) return false;
  budget.available -= 1;
  return true;
}
