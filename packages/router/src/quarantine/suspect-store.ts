/**
 * Stores quarantined contents in the platform's table, so that they survive the loss of all VMs.
 */

import type { TableClient } from '@tarragonspool/platform';
import type {
  Fingerprint,
  SuspectRecord,
  TableRow,
  TableWrite,
  UpstreamId,
} from '@tarragonspool/protocol';
import * as z from 'zod';
import type { Logger } from '../logging/logger.js';
import { awaitPromise, offer, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import type { Quarantine, SuspectStore } from './quarantine-types.js';

const ROW_KEY_PREFIX = 'suspects/';
const TABLE_TIMEOUT_MS = 2_000;
const MAX_ROWS = 1_000;
const MAX_TRIES = 5;
const RETRY_MS = 1_000;
const READ_INTERVAL_MS = 300_000;
const FAILED_READ_RETRY_MS = 1_000;

const recordSchema = z.object({
  fingerprint: z.string(),
  crashes: z.number(),
  lastUpstream: z.string(),
  expiresAt: z.number(),
});

function parseRecord(row: TableRow): SuspectRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(row.value));
    if (!parsed.success) return undefined;
    const { fingerprint, lastUpstream } = parsed.data;
    return {
      ...parsed.data,
      fingerprint: fingerprint as Fingerprint,
      lastUpstream: lastUpstream as UpstreamId,
    };
  } catch {
    return undefined;
  }
}

function makeRecordWrite(
  key: string,
  record: SuspectRecord | undefined,
  row: TableRow | undefined,
): TableWrite {
  const ifVersion = row?.version ?? 0;
  if (record === undefined) return { kind: 'delete', key, ifVersion };
  const value = JSON.stringify(record);
  if (row === undefined) return { kind: 'insert', key, value };
  return { kind: 'update', key, value, ifVersion };
}

/**
 * Makes the store; a record that can't be written after some retries stays only in the peers'
 * memory.
 */
export function makeSuspectStore(table: TableClient, logger: Pick<Logger, 'warn'>): SuspectStore {
  async function write(fingerprint: Fingerprint, record: SuspectRecord | undefined) {
    const key = `${ROW_KEY_PREFIX}${fingerprint}`;
    const read = await table.readRows([key], Date.now() + TABLE_TIMEOUT_MS);
    if (read.kind === 'unavailable') return false;
    const [row] = read.rows;
    if (row === undefined && record === undefined) return true;
    const change = makeRecordWrite(key, record, row);
    return (await table.transact([change], Date.now() + TABLE_TIMEOUT_MS)).kind === 'committed';
  }

  function retryWrite(fingerprint: Fingerprint, record: SuspectRecord | undefined, tries: number) {
    write(fingerprint, record)
      .catch(() => false)
      .then((isWritten) => {
        if (isWritten) return;
        if (tries >= MAX_TRIES) logger.warn({ fingerprint }, 'quarantine: record was not stored');
        else setTimeout(() => retryWrite(fingerprint, record, tries + 1), RETRY_MS * tries).unref();
      })
      .catch(() => undefined);
  }

  return {
    put: (record) => retryWrite(record.fingerprint, record, 1),
    remove: (fingerprint) => retryWrite(fingerprint, undefined, 1),
  };
}

/** Reads the records at start and then at intervals, until the process ends. */
export function* runSuspectReader(table: TableClient, quarantine: Quarantine): Task {
  for (;;) {
    const deadline = Date.now() + TABLE_TIMEOUT_MS;
    const scanned = yield* awaitPromise(table.scanRows(ROW_KEY_PREFIX, MAX_ROWS, deadline));
    if (scanned.kind === 'rows') {
      const items = scanned.rows.flatMap((row) => parseRecord(row) ?? []);
      const event = { kind: 'heard', items, now: Date.now() } as const;
      if (items.length > 0) offer(quarantine.inbox, { kind: 'event', event });
    }
    yield* waitMs(scanned.kind === 'rows' ? READ_INTERVAL_MS : FAILED_READ_RETRY_MS);
  }
}
