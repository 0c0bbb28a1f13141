/** Decides which bucket of claim rows to sweep, and which rows. Times are epoch milliseconds. */

import { parseClaimRow, type TableRow, type TableWrite } from '@tarragonspool/protocol';

/** How long one bucket has its turn; 4,096 buckets take about a day. */
export const CLAIM_SWEEP_INTERVAL_MS = 21_000;

/** Finds the bucket whose turn it is. */
export function findSweepBucket(buckets: number, now: number): number {
  return Math.floor(now / CLAIM_SWEEP_INTERVAL_MS) % buckets;
}

/** Makes the deletes of expired rows; a row that changed meanwhile is left alone by the table. */
export function makeSweepWrites(rows: readonly TableRow[], now: number): TableWrite[] {
  const writes: TableWrite[] = [];
  for (const { key, value, version } of rows) {
    const row = parseClaimRow(value);
    if (row === undefined || row.expiresAt > now) continue;
    writes.push({ kind: 'delete', key, ifVersion: version });
  }
  return writes;
}
