/** Tracks the prefill work that moves waste, as a share of the granted prefill work. */

/** Prefill tokens that were granted, and those whose prefill was wasted by a move. */
export type MoveBudget = { grantedTokens: number; wastedTokens: number };

/**
 * Both counts are halved when this many tokens are granted, so that the budget follows recent load.
 */
const BUDGET_WINDOW_TOKENS = 1_000_000;

/** Makes a budget without grants. */
export function makeMoveBudget(): MoveBudget {
  return { grantedTokens: 0, wastedTokens: 0 };
}

/** Adds granted prefill tokens to the budget. */
export function addGrantedWork(budget: MoveBudget, tokens: number): void {
  budget.grantedTokens += tokens;
  if (budget.grantedTokens < BUDGET_WINDOW_TOKENS) return;
  budget.grantedTokens /= 2;
  budget.wastedTokens /= 2;
}
