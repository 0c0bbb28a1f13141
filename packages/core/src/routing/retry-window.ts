/**
 * Budget of arrivals beyond the first of each request, for one service and one VM: a ratio of the
 * requests plus this VM's share of the slack that all VMs have together, in a sliding window.
 */

/** What the operator grants all VMs together. */
export type RetryLimits = {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
};

/** Times of requests and of extra arrivals within the window, oldest first. */
export type RetryWindow = { readonly requestsAt: number[]; readonly extrasAt: number[] };

/** Part of the share that is used, so that VMs that come and go do not exceed the sum. */
const USED_SHARE = 0.7;

/** Makes an empty window. */
export function makeRetryWindow(): RetryWindow {
  return { requestsAt: [], extrasAt: [] };
}

function dropBefore(times: number[], start: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < start) count += 1;
  if (count > 0) times.splice(0, count);
}

/** Counts a request of a caller. */
export function countRequest(window: RetryWindow, limits: RetryLimits, now: number): void {
  dropBefore(window.requestsAt, now - limits.windowMs);
  window.requestsAt.push(now);
}

/** Takes extra arrivals, all or none; false if this VM's share is used up. */
export function takeExtraArrivals(
  window: RetryWindow,
  limits: RetryLimits,
  vmCount: number,
  count: number,
  now: number,
): boolean {
  const start = now - limits.windowMs;
  dropBefore(window.requestsAt, start);
  dropBefore(window.extrasAt, start);
  const slackShare = limits.slack / Math.max(1, vmCount);
  const allowed = USED_SHARE * (limits.ratio * window.requestsAt.length + slackShare);
  if (window.extrasAt.length + count > allowed) return false;
  for (let taken = 0; taken < count; taken += 1) window.extrasAt.push(now);
  return true;
}
