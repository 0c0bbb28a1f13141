/**
 * When refused callers are expected to retry, by the Retry-After that they were given, so that callers
 * that are refused later get a later time.
 */

type Return = { readonly at: number; readonly rank: number };

/** Expected returns, in no order. */
export type RetryReturns = { list: Return[] };

/** Makes the returns of a pool that has refused nobody. */
export function makeRetryReturns(): RetryReturns {
  return { list: [] };
}

/** Adds the return of a refused caller, and forgets those that have come. */
export function addReturn(returns: RetryReturns, rank: number, at: number, now: number): void {
  if (returns.list.some((other) => other.at <= now)) {
    returns.list = returns.list.filter((other) => other.at > now);
  }
  returns.list.push({ at, rank });
}

/** Counts the callers of this and higher ranks that are still to come back. */
export function countReturns({ list }: RetryReturns, rank: number, now: number): number {
  let count = 0;
  for (const other of list) if (other.at > now && other.rank <= rank) count += 1;
  return count;
}
