/** Renders tables of text for people. */

const COLUMN_GAP = '  ';

/** Makes text safe to print on a terminal. */
export function formatCell(value: unknown): string {
  const text = value === undefined || value === null ? '-' : String(value);
  return text.replaceAll(/\p{Cc}/gu, '?');
}

/** Renders rows under headings, with columns as wide as their widest cell. */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [headings, ...rows.map((row) => row.map(formatCell))];
  const widths = headings.map((_heading, column) =>
    cells.reduce((width, row) => Math.max(width, row[column]?.length ?? 0), 0),
  );
  const lines = cells.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}

/** Renders a moment as ISO time, or "-" for none. */
export function formatTime(epochMs: number | undefined): string {
  return epochMs === undefined ? '-' : new Date(epochMs).toISOString();
}
