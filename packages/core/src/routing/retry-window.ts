/**
 * Retry budget of one VM for one service: in a sliding window, a ratio of the requests plus this
 * VM's share of the slack of all VMs. Every send beyond the first of a request counts as a retry.
 */

/** Limits that the operator sets for all VMs together. */
export type RetryLimits = {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
};

/** Times of requests and retries within the window, oldest first. */
export type RetryWindow = { readonly requestsAt: number[]; readonly retriesAt: number[] };

/**
 * Share of the budget that is used, so that the total stays within the limits while VMs join and
 * leave.
 */
const USED_BUDGET_SHARE = 0.7;

/** Makes an empty window. */
export function makeRetryWindow(): RetryWindow {
  return { requestsAt: [], retriesAt: [] };
}

function dropBefore(times: number[], start: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < start) count += 1;
  if (count > 0) times.splice(0, count);
}

/** Records a request of a caller. */
export function countRequest(window: RetryWindow, limits: RetryLimits, now: number): void {
  dropBefore(window.requestsAt, now - limits.windowMs);
  window.requestsAt.push(now);
}

/**
 * Takes `count` retries from the budget, all or none; false if this VM's budget does not allow
 * them.
 */
export function takeRetries(
  window: RetryWindow,
  limits: RetryLimits,
  vmCount: number,
  count: number,
  now: number,
): boolean {
  const start = now - limits.windowMs;
  dropBefore(window.requestsAt, start);
  dropBefore(window.retriesAt, start);
  const slackShare = limits.slack / Math.max(1, vmCount);
  const allowed = USED_BUDGET_SHARE * (limits.ratio * window.requestsAt.length + slackShare);
  if (window.retriesAt.length + count > allowed) return false;
  for (let taken = 0; taken < count; taken += 1) window.retriesAt.push(now);
  return true;
}
