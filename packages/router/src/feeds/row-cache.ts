/** The rows of one table as this VM knows them, with removals, so that peers can be told of them. */

import type { RowChange } from '../gateway/ports.js';

/** Rows for a peer whose own reading is older. */
export type RowCopy = {
  /** The copy reflects the store up to this version. */
  readonly version: number;
  /** Whether keys that are not in the copy do not exist. */
  readonly isFull: boolean;
  readonly rows: readonly RowChange[];
};

/** A cache of one table. Newer versions of a row always win, wherever they come from. */
export type RowCache = {
  /** Takes a full reading; returns what changed, removals included. */
  readonly replaceRows: (rows: readonly RowChange[], version: number) => RowChange[];
  /** Takes changes; returns those that are news. */
  readonly applyRows: (rows: readonly RowChange[], version: number) => RowChange[];
  readonly copySince: (version: number) => RowCopy;
  readonly getVersion: () => number;
  readonly listRows: () => RowChange[];
};

/** Removals that are remembered; older ones make a copy full. */
const MAX_REMOVED = 500;

/** Makes an empty cache. */
export function makeRowCache(): RowCache {
  const rows = new Map<string, RowChange>();
  const removed = new Map<string, number>();
  let version = 0;
  let completeSince = Infinity;

  function findVersion(key: string): number {
    return rows.get(key)?.version ?? removed.get(key) ?? 0;
  }

  function forgetOldRemovals(): void {
    for (const [key, at] of removed) {
      if (removed.size <= MAX_REMOVED) return;
      removed.delete(key);
      completeSince = Math.max(completeSince, at);
    }
  }

  function takeRow(row: RowChange): boolean {
    if (row.version <= findVersion(row.key)) return false;
    if (row.value === undefined) {
      rows.delete(row.key);
      removed.set(row.key, row.version);
    } else {
      rows.set(row.key, row);
      removed.delete(row.key);
    }
    return true;
  }

  function applyRows(changes: readonly RowChange[], next: number): RowChange[] {
    const news = changes.filter(takeRow);
    version = Math.max(version, next);
    forgetOldRemovals();
    return news;
  }

  return {
    applyRows,
    replaceRows: (full, next) => {
      const listed = new Set(full.map(({ key }) => key));
      const missing: RowChange[] = [];
      for (const [key, row] of rows) {
        const isGone = !listed.has(key) && row.version <= next;
        if (isGone) missing.push({ key, version: next, value: undefined });
      }
      // A row as old as the reading itself is gone as well: the reading would show it.
      for (const { key } of missing) rows.delete(key);
      for (const { key } of missing) removed.set(key, next);
      const news = applyRows(full, next);
      completeSince = Math.min(completeSince, next);
      return [...missing, ...news];
    },
    copySince: (since) => {
      const isFull = since < completeSince;
      const changed = [...rows.values()].filter((row) => isFull || row.version > since);
      if (isFull) return { version, isFull, rows: changed };
      for (const [key, at] of removed) {
        if (at > since) changed.push({ key, version: at, value: undefined });
      }
      return { version, isFull, rows: changed };
    },
    getVersion: () => version,
    listRows: () => [...rows.values()],
  };
}
