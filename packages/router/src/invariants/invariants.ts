/** Reports invariants that the program finds broken. */

import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';

/** What a report needs. */
export type InvariantParts = {
  readonly metrics: Pick<Metrics, 'invariantViolations'>;
  readonly logger: Pick<Logger, 'error'>;
};

/** Counts and logs a broken invariant; aborts where tests ask for it. */
export function reportViolation(
  parts: InvariantParts,
  invariant: string,
  detail: Readonly<Record<string, unknown>>,
): void {
  parts.metrics.invariantViolations.inc({ invariant });
  parts.logger.error({ invariant, ...detail }, 'invariants: violated');
  if (process.env.TARRAGONSPOOL_ABORT_ON_VIOLATION === '1') process.abort();
}
