/** Tells of rows that can't be used: each version of a row once, and few in a second. */

import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { RowChange } from '../gateway/ports.js';

/** Tells of a row that is news; others are told of already. */
export type RecordUnusableRow = (row: RowChange, reason: string) => void;

/** Where it is told. */
export type UnusableRowParts = {
  readonly table: string;
  readonly logger: Logger;
  readonly metrics: {
    readonly unusableRows: { readonly inc: (labels: { readonly table: string }) => void };
  };
  readonly getNow?: () => number;
};

const WINDOW_MS = 1_000;
const MAX_LINES_PER_WINDOW = 10;

/** Makes the function that tells of the rows of one table. */
export function makeUnusableRowRecorder(parts: UnusableRowParts): RecordUnusableRow {
  const { table, logger, metrics } = parts;
  const getNow = parts.getNow ?? getSteadyMs;
  let windowEndsAt = -Infinity;
  let lines = 0;
  let untold = 0;
  return ({ key, position, value }, reason) => {
    metrics.unusableRows.inc({ table });
    const now = getNow();
    if (now >= windowEndsAt) {
      windowEndsAt = now + WINDOW_MS;
      lines = 0;
    }
    lines += 1;
    if (lines > MAX_LINES_PER_WINDOW) {
      untold += 1;
      return;
    }
    const bytes = value?.length;
    logger.warn({ table, key, position, bytes, reason, untold }, 'feeds: row cannot be used');
    untold = 0;
  };
}
