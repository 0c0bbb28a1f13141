/**
 * Circuit breaker: stops calls to a service that fails, tries it with single calls and opens up
 * again step by step. Decides only. Times are milliseconds since the epoch.
 */

/** Whole state of a circuit. */
export type Circuit = {
  phase: 'closed' | 'open' | 'half-open';
  failures: number;
  /** How often it opened since the last success. */
  openings: number;
  /** When an open circuit lets a trial call through. */
  trialAt: number;
  /** Calls that may run at once; grows with each success after an outage. */
  concurrency: number;
  running: number;
};

/** Returns a number from 0 up to 1. */
export type RandomSource = () => number;

/** Calls that a healthy service gets at once. */
export const MAX_CONCURRENCY = 16;
const FAILURES_TO_OPEN = 5;
const MIN_OPEN_MS = 250;
const MAX_OPEN_MS = 2_000;

/** Makes a closed circuit. */
export function makeCircuit(): Circuit {
  return {
    phase: 'closed',
    failures: 0,
    openings: 0,
    trialAt: 0,
    concurrency: MAX_CONCURRENCY,
    running: 0,
  };
}

/** Whether a call is refused at once rather than made to wait for its turn. */
export function isRefusing(circuit: Circuit, now: number): boolean {
  if (circuit.phase === 'closed') return false;
  return circuit.phase === 'half-open' || now < circuit.trialAt;
}

/** Starts a call; false if it must wait or be refused. */
export function startCall(circuit: Circuit, now: number): boolean {
  if (isRefusing(circuit, now)) return false;
  if (circuit.phase === 'open') circuit.phase = 'half-open';
  else if (circuit.running >= circuit.concurrency) return false;
  circuit.running += 1;
  return true;
}

function open(circuit: Circuit, now: number, random: RandomSource): void {
  const span = Math.min(MAX_OPEN_MS, MIN_OPEN_MS * 2 ** circuit.openings);
  circuit.phase = 'open';
  circuit.openings += 1;
  circuit.failures = 0;
  circuit.concurrency = 1;
  // Half of the span is random, so that VMs do not return together.
  circuit.trialAt = now + span / 2 + (span / 2) * random();
}

/** Ends a call that was started. */
export function endCall(
  circuit: Circuit,
  isGood: boolean,
  now: number,
  random: RandomSource,
): void {
  circuit.running -= 1;
  if (isGood) {
    circuit.failures = 0;
    // A call from before the outage says nothing of now.
    if (circuit.phase === 'open') return;
    circuit.phase = 'closed';
    circuit.openings = 0;
    circuit.concurrency = Math.min(MAX_CONCURRENCY, circuit.concurrency * 2);
    return;
  }
  if (circuit.phase === 'open') return;
  circuit.failures += 1;
  if (circuit.phase === 'half-open' || circuit.failures >= FAILURES_TO_OPEN) {
    open(circuit, now, random);
  }
}
