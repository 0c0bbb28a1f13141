/**
 * Invariants of the running program. A violation is counted and logged always; it aborts the
 * process where the environment says so, as tests do.
 */

import type { AllocatorInvariant } from '@tarragonspool/core';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';

/** Names of the invariants, as the metric shows them. */
export type InvariantName =
  /** A request gets one terminal answer. */
  | 'one-terminal-answer'
  /** Tokens reach the caller in order, without a gap or a repeat. */
  | 'token-order'
  /** Only frames of the current attempt reach the caller. */
  | 'foreign-attempt'
  /** Nobody is told that a request was not run after a work order left for it. */
  | 'not-run-honest'
  /** A greater revision of the rules is never replaced by a lesser one. */
  | 'rules-never-revert'
  /** A claim is dispatched only while confirmed and within its deadline, and ends once. */
  | 'claim-held'
  /** The state of a key is never overwritten but by its holder. */
  | 'claim-row'
  | AllocatorInvariant;

/** Checks invariants. */
export type Invariants = {
  readonly assert: (
    isHeld: boolean,
    name: InvariantName,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
};

/** Environment variable that makes a violation abort the process when it is `1`. */
export const ABORT_VARIABLE = 'TARRAGONSPOOL_ABORT_ON_VIOLATION';

/** Makes the checks of one daemon. */
export function makeInvariants(
  metrics: Metrics,
  logger: Logger,
  isAborting = process.env[ABORT_VARIABLE] === '1',
): Invariants {
  return {
    assert: (isHeld, name, fields) => {
      if (isHeld) return;
      metrics.invariantViolations.inc({ invariant: name });
      logger.error({ ...fields, invariant: name }, 'invariants: violation');
      if (isAborting) process.abort();
    },
  };
}
