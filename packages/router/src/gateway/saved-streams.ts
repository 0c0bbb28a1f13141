/**
 * Saves in the store where streams began while their service may have several software versions, many in
 * one row, so that the VMs know it after the loss of all of them. The first VM of a service's ranking,
 * which is told of all streams, writes; each VM reads the rows once, as it starts.
 */

import type { OriginRecord } from '@tarragonspool/core';
import type { ServiceName, StreamId } from '@tarragonspool/protocol';
import * as z from 'zod';
import { parseJson } from '../json/parse-json.js';
import type { Logger } from '../logging/logger.js';
import { awaitPromise, makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import type { RowChange, RowStore, RowWrite } from './ports.js';

/** Table of the streams; nobody follows it. */
export const STREAMS_TABLE = 'tarragonspool-streams';
/** Streams are gathered for this time before they are written. */
const GATHER_MS = 40;
const RETRY_MS = 300;
const CALL_TIMEOUT_MS = 1_500;
/** With the longest ids a row stays under the 64 KiB that it may have. */
const MAX_ROW_ITEMS = 40;
const MAX_ROWS_PER_WRITE = 40;
const MAX_REMOVED_PER_WRITE = 50;
/** Streams that wait for a write; the oldest are given up first. */
const MAX_UNSAVED = 20_000;

const itemSchema = z.object({
  streamId: z.string(),
  contentKey: z.string(),
  service: z.string(),
  softwareVersion: z.string(),
  /** On the store's own steady clock, in milliseconds. */
  expiresAt: z.number(),
});
const rowSchema = z.object({ items: z.array(itemSchema) });

/** Streams of this VM's start and their rows. */
export type SavedStreams = {
  /** Saves a stream if this VM is the one that writes. */
  readonly add: (record: OriginRecord) => void;
  /** Writes as long as the process runs, once the rows of earlier starts are read. */
  readonly run: () => Task;
  readonly isRead: () => boolean;
};

/** Dependencies of the above. */
export type SavedStreamsParts = {
  readonly store: RowStore;
  /** Begins the keys of this VM's rows; all its starts have the same. */
  readonly keyPrefix: string;
  /** Continues them; no two starts have the same. */
  readonly startId: string;
  readonly isWriter: (service: ServiceName) => boolean;
  /** Takes what the rows say. */
  readonly onRead: (records: readonly OriginRecord[]) => void;
  readonly getNow: () => number;
  readonly takeFraction: () => number;
  readonly logger: Logger;
};

/** Rows as they were read, with the store's time when this VM's clock showed `readAt`. */
export type StreamRows = {
  readonly rows: readonly RowChange[];
  readonly storeNowMs: number;
  readonly readAt: number;
};

/** Decodes the streams of rows; skips what cannot be read. Times become those of this VM's clock. */
export function decodeStreamRows({ rows, storeNowMs, readAt }: StreamRows): OriginRecord[] {
  const records: OriginRecord[] = [];
  for (const { value } of rows) {
    const parsed = rowSchema.safeParse(value && parseJson(value));
    if (!parsed.success) continue;
    for (const { streamId, contentKey, expiresAt, ...origin } of parsed.data.items) {
      const record = { streamId, contentKey, origin, expiresAt: expiresAt - storeNowMs + readAt };
      records.push(record as unknown as OriginRecord);
    }
  }
  return records;
}

/** Encodes one row; `aheadMs` is the store's clock less this VM's. */
export function encodeStreamRow(records: readonly OriginRecord[], aheadMs: number): Buffer {
  const items = records.map(({ streamId, contentKey, origin, expiresAt }) => ({
    streamId,
    contentKey,
    ...origin,
    expiresAt: expiresAt + aheadMs,
  }));
  return Buffer.from(JSON.stringify({ items }));
}

function* readRows(store: RowStore, getNow: () => number): Task<StreamRows | undefined> {
  const rows: RowChange[] = [];
  let from: string | undefined;
  for (;;) {
    const call = { table: STREAMS_TABLE, timeoutMs: CALL_TIMEOUT_MS };
    const page = yield* awaitPromise(store.readRows(from === undefined ? call : { ...call, from }));
    if (page.kind !== 'ok') return undefined;
    rows.push(...page.value.rows);
    const last = page.value.rows.at(-1);
    if (!page.value.hasMore || last === undefined) {
      return { rows, storeNowMs: page.value.storeNowMs, readAt: getNow() };
    }
    from = `${last.key}\0`;
  }
}

/** Makes the part that saves streams; nothing was read or written yet. */
export function makeSavedStreams(parts: SavedStreamsParts): SavedStreams {
  const { store, keyPrefix, startId, isWriter, onRead, getNow, takeFraction, logger } = parts;
  const wakeups = makeChannel<true>(1);
  const unsaved = new Map<StreamId, OriginRecord>();
  /** Until when the rows of this VM are needed, by key. */
  const neededUntil = new Map<string, number>();
  let aheadMs: number | undefined;
  let rowCount = 0;

  function takeRows(read: StreamRows): void {
    aheadMs = read.storeNowMs - read.readAt;
    for (const row of read.rows) {
      if (!row.key.startsWith(keyPrefix)) continue;
      const ends = decodeStreamRows({ ...read, rows: [row] }).map(({ expiresAt }) => expiresAt);
      neededUntil.set(row.key, Math.max(-Infinity, ...ends));
    }
    const records = decodeStreamRows(read);
    logger.info({ rows: read.rows.length, streams: records.length }, 'origins: saved streams read');
    onRead(records);
  }

  function* runReading(): Task {
    for (;;) {
      const read = yield* readRows(store, getNow);
      if (read !== undefined) {
        takeRows(read);
        return;
      }
      yield* waitMs(RETRY_MS * (0.5 + takeFraction()));
    }
  }

  function listExpiredKeys(): string[] {
    const now = getNow();
    const expired = [...neededUntil].filter(([, until]) => until <= now).map(([key]) => key);
    return expired.slice(0, MAX_REMOVED_PER_WRITE);
  }

  /** Builds the next write. A write that failed may have been done: its rows are written again. */
  function buildWrite(): { write: RowWrite; saved: OriginRecord[] } {
    const put: { key: string; value: Buffer }[] = [];
    const all = [...unsaved.values()].slice(0, MAX_ROWS_PER_WRITE * MAX_ROW_ITEMS);
    for (let start = 0; start < all.length; start += MAX_ROW_ITEMS) {
      const records = all.slice(start, start + MAX_ROW_ITEMS);
      rowCount += 1;
      const key = `${keyPrefix}${startId}/${rowCount}`;
      neededUntil.set(key, Math.max(...records.map(({ expiresAt }) => expiresAt)));
      put.push({ key, value: encodeStreamRow(records, aheadMs ?? 0) });
    }
    return { write: { expected: [], put, remove: listExpiredKeys() }, saved: all };
  }

  function* runWriting(): Task {
    for (;;) {
      const wakeup = yield* receive(wakeups);
      if (wakeup === undefined) return;
      yield* waitMs(GATHER_MS);
      const { write, saved } = buildWrite();
      if (write.put.length === 0) continue;
      const call = { table: STREAMS_TABLE, write, timeoutMs: CALL_TIMEOUT_MS };
      const outcome = yield* awaitPromise(store.write(call));
      if (outcome.kind === 'ok') {
        for (const record of saved) {
          if (unsaved.get(record.streamId) === record) unsaved.delete(record.streamId);
        }
        for (const key of write.remove) neededUntil.delete(key);
      } else {
        logger.warn({ outcome, streams: saved.length }, 'origins: streams could not be saved');
        yield* waitMs(RETRY_MS * (0.5 + takeFraction()));
      }
      if (unsaved.size > 0) offer(wakeups, true);
    }
  }

  return {
    add: (record) => {
      if (!isWriter(record.origin.service)) return;
      unsaved.delete(record.streamId);
      unsaved.set(record.streamId, record);
      if (unsaved.size > MAX_UNSAVED) {
        const [oldest] = unsaved.keys();
        if (oldest !== undefined) unsaved.delete(oldest);
      }
      offer(wakeups, true);
    },
    run: function* run() {
      yield* runReading();
      yield* runWriting();
    },
    isRead: () => aheadMs !== undefined,
  };
}
