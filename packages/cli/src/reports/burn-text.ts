/** Renders the burn report as text. */

import { BURN_WINDOWS } from '@tarragonspool/core';
import { formatTime, renderTable } from '../output/table.js';
import type { BurnReport, BurnRow } from './burn-merge.js';

const PERCENT = 100;
const RATE_DIGITS = 2;

/** Formats a burn rate; "no data" where nothing was counted. */
export function formatRate(rate: number | undefined): string {
  return rate === undefined ? 'no data' : rate.toFixed(RATE_DIGITS);
}

/** Formats a share as percent, never rounding a gap away. */
export function formatCoverage(share: number): string {
  return `${(Math.floor(share * PERCENT * 10) / 10).toFixed(1)} %`;
}

function renderRow(row: BurnRow): string[] {
  return [
    row.callerId,
    row.service,
    row.objective,
    ...BURN_WINDOWS.map(({ name }) => formatRate(row.windows[name].rate)),
    String(row.windows['3d'].total),
    row.alarms.join(', ') || '-',
  ];
}

/** Lists, for each VM, since when its counts reach back. */
export function listVmLines(report: BurnReport): string[] {
  return report.vms.map(({ name, startedAt }) =>
    startedAt === undefined
      ? `${name}: no answer; its data is missing`
      : `${name}: counts since ${formatTime(startedAt)}`,
  );
}

/** Renders the whole report. */
export function renderBurnText(report: BurnReport): string {
  const windows = BURN_WINDOWS.map(({ name }) => name.toUpperCase());
  const headings = ['CALLER', 'SERVICE', 'OBJECTIVE', ...windows, 'ANSWERS', 'ALARM'];
  const coverage = BURN_WINDOWS.map(
    ({ name }) => `${name} ${formatCoverage(report.coverage[name])}`,
  );
  return [
    `Burn rate at ${formatTime(report.now)}, target ${report.targetPercent} %;`,
    ' 1.00 uses the error budget up exactly.\n',
    `Data there is: ${coverage.join(', ')}\n`,
    ...listVmLines(report).map((line) => `  ${line}\n`),
    '\n',
    renderTable(headings, report.rows.map(renderRow)),
  ].join('');
}
