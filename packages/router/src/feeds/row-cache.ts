/** The rows of one table as this VM knows them, with removals, so that peers can be told of them. */

import { getEra, STORE_START, type StorePosition } from '@tarragonspool/protocol';
import type { RowChange } from '../gateway/ports.js';

/** Rows for a peer whose own reading is older. */
export type RowCopy = {
  /** The copy reflects the store up to this position. */
  readonly position: StorePosition;
  /** Whether keys that are not in the copy do not exist. */
  readonly isFull: boolean;
  readonly rows: readonly RowChange[];
};

/** A cache of one table. Newer positions of a row always win, wherever they come from. */
export type RowCache = {
  /** Takes a full reading; returns what changed, removals included. */
  readonly replaceRows: (rows: readonly RowChange[], position: StorePosition) => RowChange[];
  /** Takes changes; returns those that are news. */
  readonly applyRows: (rows: readonly RowChange[], position: StorePosition) => RowChange[];
  readonly copySince: (position: StorePosition) => RowCopy;
  readonly getPosition: () => StorePosition;
  /** Whether the table has been read as a whole. */
  readonly isComplete: () => boolean;
  readonly listRows: () => RowChange[];
};

/** Removals that are remembered; older ones make a copy full. */
const MAX_REMOVED = 500;

/** Makes an empty cache. */
export function makeRowCache(): RowCache {
  const rows = new Map<string, RowChange>();
  const removed = new Map<string, StorePosition>();
  let position = STORE_START;
  let completeSince = Infinity;

  function findPosition(key: string): StorePosition {
    return rows.get(key)?.position ?? removed.get(key) ?? STORE_START;
  }

  /**
   * Whether an answer of the store tells nothing new: it is from before a restore, or the whole table
   * is known up to a later position. Its rows may have been removed since.
   */
  function isOutdated(next: StorePosition): boolean {
    if (getEra(next) < getEra(position)) return true;
    return completeSince !== Infinity && next < position;
  }

  function forgetOldRemovals(): void {
    for (const [key, at] of removed) {
      if (removed.size <= MAX_REMOVED) return;
      removed.delete(key);
      completeSince = Math.max(completeSince, at);
    }
  }

  function takeRow(row: RowChange): boolean {
    if (row.position <= findPosition(row.key)) return false;
    if (row.value === undefined) {
      rows.delete(row.key);
      removed.set(row.key, row.position);
    } else {
      rows.set(row.key, row);
      removed.delete(row.key);
    }
    return true;
  }

  function applyRows(changes: readonly RowChange[], next: StorePosition): RowChange[] {
    if (isOutdated(next)) return [];
    const news = changes.filter(takeRow);
    if (next > position) position = next;
    forgetOldRemovals();
    return news;
  }

  return {
    applyRows,
    replaceRows: (full, next) => {
      if (isOutdated(next)) return [];
      const listed = new Set(full.map(({ key }) => key));
      const missing: RowChange[] = [];
      for (const [key, row] of rows) {
        const isGone = !listed.has(key) && row.position <= next;
        if (isGone) missing.push({ key, position: next, value: undefined });
      }
      // A row as old as the reading itself is gone as well: the reading would show it.
      for (const { key } of missing) rows.delete(key);
      for (const { key } of missing) removed.set(key, next);
      const news = applyRows(full, next);
      // What came and went between two full readings is not known.
      completeSince = next;
      return [...missing, ...news];
    },
    copySince: (since) => {
      const isFull = since < completeSince;
      const changed = [...rows.values()].filter((row) => isFull || row.position > since);
      if (isFull) return { position, isFull, rows: changed };
      for (const [key, at] of removed) {
        if (at > since) changed.push({ key, position: at, value: undefined });
      }
      return { position, isFull, rows: changed };
    },
    getPosition: () => position,
    isComplete: () => completeSince !== Infinity,
    listRows: () => [...rows.values()],
  };
}
