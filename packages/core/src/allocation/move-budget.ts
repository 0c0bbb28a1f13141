/** How much work may be thrown away by moves, as a share of what is granted. */

/** Prefill tokens that were granted, and those whose work is thrown away by a move. */
export type MoveBudget = { grantedTokens: number; wastedTokens: number };

/** Tokens of the budget are halved above this, so that it follows recent load. */
const BUDGET_WINDOW_TOKENS = 1_000_000;

/** Makes an unused budget. */
export function makeMoveBudget(): MoveBudget {
  return { grantedTokens: 0, wastedTokens: 0 };
}

/** Adds granted work to the budget. */
export function addGrantedWork(budget: MoveBudget, tokens: number): void {
  budget.grantedTokens += tokens;
  if (budget.grantedTokens < BUDGET_WINDOW_TOKENS) return;
  budget.grantedTokens /= 2;
  budget.wastedTokens /= 2;
}
