/** Computes and applies line differences between two revisions of a file. */

import type { RuleHunk } from '@tarragonspool/protocol';

/** Line indexes in the older and in the newer file. */
type Cursor = { old: number; new: number };

function indexLines(lines: readonly string[]): Map<string, number[]> {
  const positions = new Map<string, number[]>();
  for (const [index, line] of lines.entries()) {
    const list = positions.get(line);
    if (list === undefined) positions.set(line, [index]);
    else list.push(index);
  }
  return positions;
}

/** Finds the first position at or after `from` in an ascending list. */
function findPosition(positions: readonly number[] | undefined, from: number): number | undefined {
  if (positions === undefined) return undefined;
  let low = 0;
  let high = positions.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((positions[middle] ?? 0) < from) low = middle + 1;
    else high = middle;
  }
  return positions[low];
}

/** Finds the next pair of equal lines at or after the cursor; the first one in the old file. */
function findNextMatch(
  oldLines: readonly string[],
  newLines: readonly string[],
  newPositions: ReadonlyMap<string, readonly number[]>,
  cursor: Cursor,
): Cursor {
  for (let index = cursor.old; index < oldLines.length; index += 1) {
    const position = findPosition(newPositions.get(oldLines[index] ?? ''), cursor.new);
    if (position !== undefined) return { old: index, new: position };
  }
  return { old: oldLines.length, new: newLines.length };
}

/** Compares two files line by line. Returns the hunks that turn the older file into the newer. */
export function compareLines(oldLines: readonly string[], newLines: readonly string[]): RuleHunk[] {
  const hunks: RuleHunk[] = [];
  const newPositions = indexLines(newLines);
  let cursor: Cursor = { old: 0, new: 0 };
  while (cursor.old < oldLines.length || cursor.new < newLines.length) {
    const isEqual =
      cursor.old < oldLines.length &&
      cursor.new < newLines.length &&
      oldLines[cursor.old] === newLines[cursor.new];
    if (isEqual) {
      cursor = { old: cursor.old + 1, new: cursor.new + 1 };
      continue;
    }
    const match = findNextMatch(oldLines, newLines, newPositions, cursor);
    hunks.push({
      at: cursor.old,
      removed: oldLines.slice(cursor.old, match.old),
      added: newLines.slice(cursor.new, match.new),
    });
    cursor = match;
  }
  return hunks;
}

/** Applies hunks to a file. Returns undefined if a removed line is not where its hunk says. */
export function applyHunks<T>(
  lines: readonly T[],
  hunks: readonly RuleHunk[],
  getLine: (item: T) => string,
  makeItem: (line: string) => T,
): T[] | undefined {
  const result: T[] = [];
  let next = 0;
  for (const { at, removed, added } of hunks) {
    if (at < next || at + removed.length > lines.length) return undefined;
    for (; next < at; next += 1) result.push(lines[next] as T);
    for (const line of removed) {
      if (getLine(lines[next] as T) !== line) return undefined;
      next += 1;
    }
    for (const line of added) result.push(makeItem(line));
  }
  for (; next < lines.length; next += 1) result.push(lines[next] as T);
  return result;
}
