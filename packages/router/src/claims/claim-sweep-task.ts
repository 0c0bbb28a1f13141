/** Deletes expired claim rows, one bucket at a time. */

import {
  CLAIM_SWEEP_INTERVAL_MS,
  findOwner,
  findSweepBucket,
  makeSweepWrites,
} from '@tarragonspool/core';
import type { TableClient } from '@tarragonspool/platform';
import type { VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { MembershipView } from '../membership/membership-task.js';
import type { Metrics } from '../metrics/metrics.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { CLAIM_BUCKET_COUNT, getClaimBucketPrefix } from './claim-ledger.js';

/** Dependencies of the sweep. */
export type ClaimSweepParts = {
  readonly self: VmId;
  readonly table: TableClient;
  readonly members: Pick<MembershipView, 'listLive'>;
  readonly metrics: Pick<Metrics, 'claimsSwept'>;
  readonly logger: Pick<Logger, 'info'>;
};

const TABLE_TIMEOUT_MS = 5_000;
const MAX_ROWS_PER_SCAN = 10_000;
const MAX_ROWS_PER_DELETE = 32;
const DELETE_PAUSE_MS = 500;

/** Deletes the expired rows of one bucket in small batches with pauses between them. */
export function* sweepClaimBucket(parts: ClaimSweepParts, bucket: number): Task {
  const prefix = getClaimBucketPrefix(bucket);
  const now = Date.now();
  const scanned = yield* awaitPromise(
    parts.table.scanRows(prefix, MAX_ROWS_PER_SCAN, now + TABLE_TIMEOUT_MS),
  );
  if (scanned.kind === 'unavailable') return;
  const writes = makeSweepWrites(scanned.rows, now);
  for (let start = 0; start < writes.length; start += MAX_ROWS_PER_DELETE) {
    const batch = writes.slice(start, start + MAX_ROWS_PER_DELETE);
    const result = yield* awaitPromise(parts.table.transact(batch, Date.now() + TABLE_TIMEOUT_MS));
    if (result.kind === 'unavailable') return;
    if (result.kind === 'committed') parts.metrics.claimsSwept.inc(batch.length);
    yield* waitMs(DELETE_PAUSE_MS);
  }
  if (writes.length > 0) parts.logger.info({ bucket, rows: writes.length }, 'claims: swept rows');
}

/** Sweeps one bucket per interval if this VM owns it; runs until the process ends. */
export function* runClaimSweep(parts: ClaimSweepParts): Task {
  for (;;) {
    const now = Date.now();
    yield* waitMs(CLAIM_SWEEP_INTERVAL_MS - (now % CLAIM_SWEEP_INTERVAL_MS));
    const bucket = findSweepBucket(CLAIM_BUCKET_COUNT, Date.now());
    const owner = findOwner(parts.members.listLive(Date.now()), `claims/${bucket}`);
    if (owner === parts.self) yield* sweepClaimBucket(parts, bucket);
  }
}
