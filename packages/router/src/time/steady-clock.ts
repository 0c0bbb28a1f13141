/** The process's steady clock: it never jumps when the time of day is set. */

/** Returns milliseconds since the process started. */
export function getSteadyMs(): number {
  return performance.now();
}
