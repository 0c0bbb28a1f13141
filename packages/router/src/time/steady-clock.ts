/** The process's steady clock: it never jumps when the time of day is set. */

/** Returns milliseconds since the process started. */
export function getSteadyMs(): number {
  return performance.now();
}

/**
 * Returns the difference between the time of day and the steady clock, in milliseconds. It changes when
 * the time of day is set, and by the time for which a machine was suspended.
 */
export function measureClockOffsetMs(): number {
  return Date.now() - performance.now();
}
