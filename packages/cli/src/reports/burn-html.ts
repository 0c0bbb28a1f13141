/** Renders the burn report as one page without scripts that opens from a file. */

import { BURN_WINDOWS } from '@tarragonspool/core';
import { formatTime } from '../output/table.js';
import { countHourCoverage, type BurnHour, type BurnReport, type BurnRow } from './burn-merge.js';
import { formatCoverage, formatRate, listVmLines } from './burn-text.js';

const HOUR_MS = 3_600_000;
const PLOT_HOURS = 72;
const MAX_PLOTS = 100;
const PLOT_WIDTH = 720;
const PLOT_HEIGHT = 120;
const MARGIN = 32;
const MIN_SCALE_RATE = 2;
const FULL_COVERAGE = 0.999;

const STYLE = `
body { font: 14px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 2px 8px; text-align: right; }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left; }
.alarm { background: #fbd5d0; }
.missing { fill: #d9d9d9; }
.partial { fill: #eeeeee; }
.line { fill: none; stroke: #1f5fa8; stroke-width: 1.5; }
.dot { fill: #1f5fa8; }
.budget { stroke: #b03020; stroke-dasharray: 4 3; }
.axis { stroke: #888; }
`;

/** Makes text safe inside elements and quoted attributes. */
export function formatHtml(text: string): string {
  return text.replaceAll(/[^\w .,:;/()%+-]/g, (letter) => `&#${letter.codePointAt(0) ?? 63};`);
}

type Scale = { readonly start: number; readonly maxRate: number };

function findX(scale: Scale, time: number): number {
  return MARGIN + ((time - scale.start) / (PLOT_HOURS * HOUR_MS)) * (PLOT_WIDTH - MARGIN);
}

function findY(scale: Scale, rate: number): number {
  return PLOT_HEIGHT - MARGIN / 2 - (rate / scale.maxRate) * (PLOT_HEIGHT - MARGIN);
}

function renderGaps(report: BurnReport, scale: Scale): string {
  const width = ((PLOT_WIDTH - MARGIN) / PLOT_HOURS).toFixed(2);
  const parts: string[] = [];
  for (let hour = 0; hour < PLOT_HOURS; hour += 1) {
    const startAt = scale.start + hour * HOUR_MS;
    const share = countHourCoverage(report, startAt);
    if (share >= FULL_COVERAGE) continue;
    const name = share === 0 ? 'missing' : 'partial';
    const title = `${formatTime(startAt)}: ${formatCoverage(share)} of the data`;
    parts.push(
      `<rect class="${name}" x="${findX(scale, startAt).toFixed(1)}" y="0" width="${width}" ` +
        `height="${PLOT_HEIGHT - MARGIN / 2}"><title>${formatHtml(title)}</title></rect>`,
    );
  }
  return parts.join('');
}

/** Splits hours into runs without a gap, so that no line crosses missing data. */
function splitRuns(hours: readonly BurnHour[]): BurnHour[][] {
  const runs: BurnHour[][] = [];
  let previous: BurnHour | undefined;
  for (const hour of hours) {
    const isNext = previous !== undefined && hour.startAt - previous.startAt === HOUR_MS;
    if (isNext) runs.at(-1)?.push(hour);
    else runs.push([hour]);
    previous = hour;
  }
  return runs;
}

function renderRun(run: readonly BurnHour[], scale: Scale): string {
  const points = run.map(({ startAt, rate }) => {
    const x = findX(scale, startAt + HOUR_MS / 2).toFixed(1);
    return `${x},${findY(scale, rate).toFixed(1)}`;
  });
  const dots = run.map(({ startAt, rate }, index) => {
    const [x = '0', y = '0'] = (points[index] ?? '').split(',');
    const title = `${formatTime(startAt)}: ${formatRate(rate)}`;
    return `<circle class="dot" cx="${x}" cy="${y}" r="2"><title>${formatHtml(title)}</title></circle>`;
  });
  return `<polyline class="line" points="${points.join(' ')}"/>${dots.join('')}`;
}

function renderPlot(report: BurnReport, row: BurnRow): string {
  const start = Math.floor(report.now / HOUR_MS) * HOUR_MS - (PLOT_HOURS - 1) * HOUR_MS;
  const hours = row.hours.filter(({ startAt }) => startAt >= start);
  const scale = { start, maxRate: Math.max(MIN_SCALE_RATE, ...hours.map(({ rate }) => rate)) };
  const budgetY = findY(scale, 1).toFixed(1);
  const baseY = findY(scale, 0).toFixed(1);
  const name = `${row.callerId}, ${row.service}, ${row.objective}`;
  return [
    `<h3>${formatHtml(name)}</h3>`,
    `<svg role="img" width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT}">`,
    renderGaps(report, scale),
    `<line class="axis" x1="${MARGIN}" y1="${baseY}" x2="${PLOT_WIDTH}" y2="${baseY}"/>`,
    `<line class="budget" x1="${MARGIN}" y1="${budgetY}" x2="${PLOT_WIDTH}" y2="${budgetY}"/>`,
    `<text x="0" y="${budgetY}">1</text>`,
    `<text x="0" y="12">${scale.maxRate.toFixed(1)}</text>`,
    ...splitRuns(hours).map((run) => renderRun(run, scale)),
    '</svg>',
  ].join('\n');
}

function renderTableRow(row: BurnRow): string {
  const cells = [
    row.callerId,
    row.service,
    row.objective,
    ...BURN_WINDOWS.map(({ name }) => formatRate(row.windows[name].rate)),
    String(row.windows['3d'].total),
    row.alarms.join(', ') || '-',
  ];
  const name = row.alarms.length > 0 ? ' class="alarm"' : '';
  return `<tr${name}>${cells.map((cell) => `<td>${formatHtml(cell)}</td>`).join('')}</tr>`;
}

/** Renders the page. */
export function renderBurnHtml(report: BurnReport): string {
  const headings = ['Caller', 'Service', 'Objective', ...BURN_WINDOWS.map(({ name }) => name)];
  const coverage = BURN_WINDOWS.map(
    ({ name }) => `${name} ${formatCoverage(report.coverage[name])}`,
  );
  const plotted = report.rows.slice(0, MAX_PLOTS);
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    `<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">`,
    `<title>Service-level burn</title><style>${STYLE}</style></head><body>`,
    '<h1>Service-level burn</h1>',
    `<p>At ${formatHtml(formatTime(report.now))}, target ${report.targetPercent} %. A rate of 1 uses the error budget up exactly.</p>`,
    `<p>Data there is: ${formatHtml(coverage.join(', '))}. Grey hours are missing data.</p>`,
    `<ul>${listVmLines(report)
      .map((line) => `<li>${formatHtml(line)}</li>`)
      .join('')}</ul>`,
    `<table><tr>${[...headings, 'Answers', 'Alarm'].map((cell) => `<th>${cell}</th>`).join('')}</tr>`,
    ...report.rows.map(renderTableRow),
    '</table>',
    `<h2>Last ${PLOT_HOURS} hours</h2>`,
    ...plotted.map((row) => renderPlot(report, row)),
    plotted.length < report.rows.length
      ? `<p>First ${MAX_PLOTS} of ${report.rows.length}.</p>`
      : '',
    '</body></html>\n',
  ].join('\n');
}
