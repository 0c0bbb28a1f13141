/**
 * Finds the bucket of claim rows, a fixed part of the table, to sweep and the rows to delete. Times
 * are epoch milliseconds.
 */

import { parseClaimRow, type TableRow, type TableWrite } from '@tarragonspool/protocol';

/** Time per bucket; a sweep of 4,096 buckets takes about a day. */
export const CLAIM_SWEEP_INTERVAL_MS = 21_000;

/** Finds the bucket to sweep at `now`. */
export function findSweepBucket(buckets: number, now: number): number {
  return Math.floor(now / CLAIM_SWEEP_INTERVAL_MS) % buckets;
}

/** Makes the deletes of expired rows; the table rejects them for rows that changed meanwhile. */
export function makeSweepWrites(rows: readonly TableRow[], now: number): TableWrite[] {
  const writes: TableWrite[] = [];
  for (const { key, value, version } of rows) {
    const row = parseClaimRow(value);
    if (row === undefined || row.expiresAt > now) continue;
    writes.push({ kind: 'delete', key, ifVersion: version });
  }
  return writes;
}
