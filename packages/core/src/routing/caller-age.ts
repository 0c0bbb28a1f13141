/**
 * Estimates how long ago a caller first tried. A caller that returns says how much of its patience
 * is left; the most that any caller of the route had left is taken for the whole.
 */

/** Greatest time left by route name, in milliseconds. */
export type LongestWaits = Map<string, number>;

/** Differences up to this are time on the way, not an earlier attempt. */
const SAME_ATTEMPT_MS = 50;

/** Estimates the age of a request in milliseconds; 0 for a first attempt. */
export function measureCallerAge(
  longest: LongestWaits,
  routeName: string,
  leftMs: number | undefined,
): number {
  if (leftMs === undefined) return 0;
  const most = Math.max(longest.get(routeName) ?? 0, leftMs);
  longest.set(routeName, most);
  const ageMs = most - leftMs;
  return ageMs > SAME_ATTEMPT_MS ? ageMs : 0;
}
