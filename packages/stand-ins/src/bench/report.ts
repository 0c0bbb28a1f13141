/** Prints the figures of a bench run for people. */

import type { Scenario } from './scenarios.js';
import type { Percentiles, Summary } from './summary.js';

/** Figures of one policy. */
export type PolicyFigures = Summary & {
  readonly calmFullAnswerP99Ms: number | null;
  readonly calmGoodput: number | null;
  /** How late the load client's own event loop was. */
  readonly clientLagP99Ms: number;
};

const LABEL_WIDTH = 26;
const COLUMN_WIDTH = 20;

function formatPercentiles({ p50, p95, p99 }: Percentiles): string {
  return [p50, p95, p99].map((value) => value ?? '-').join('/');
}

function formatShare(share: number): string {
  return `${(100 * share).toFixed(2)}%`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([key, count]) => `${count} x ${key}`)
    .join('; ');
}

/** Prints what is about to run. */
export function printRun(
  scenario: Scenario,
  deployment: string,
  seed: number,
  objective: string,
  capacity: number,
  offered: number,
  bound: number,
): void {
  process.stdout.write(
    `${scenario.name} on ${deployment}, seed ${seed}, objective ${objective}: capacity ` +
      `${capacity.toFixed(1)} requests/s, offered ${offered}, bound ${bound}\n`,
  );
}

/** Prints one column for each policy. */
export function printTable(figures: Readonly<Record<string, PolicyFigures>>): void {
  const rows: readonly [string, (figure: PolicyFigures) => string][] = [
    ['goodput', ({ goodput }) => String(goodput)],
    ['crest goodput', ({ crestGoodput }) => String(crestGoodput ?? '-')],
    ['wasted prefill', ({ wastedPrefillShare }) => formatShare(wastedPrefillShare)],
    ['of it, clients gone', ({ abandonedPrefillShare }) => formatShare(abandonedPrefillShare)],
    ['first token p50/95/99 ms', ({ firstTokenMs }) => formatPercentiles(firstTokenMs)],
    ['full answer p50/95/99 ms', ({ fullAnswerMs }) => formatPercentiles(fullAnswerMs)],
    ['token gap p50/95/99 ms', ({ gapMs }) => formatPercentiles(gapMs)],
    ['calm full answer p99 ms', ({ calmFullAnswerP99Ms }) => String(calmFullAnswerP99Ms ?? '-')],
    ['calm goodput', ({ calmGoodput }) => String(calmGoodput ?? '-')],
    ['recovery ms', ({ recoveryMs }) => String(recoveryMs ?? '-')],
    ['refusal p99 ms', ({ refusalP99Ms }) => String(refusalP99Ms ?? '-')],
    ['refused', ({ refused }) => String(refused)],
    ['failed', ({ failed }) => String(failed)],
    ['cancelled', ({ cancelled }) => String(cancelled)],
    ['client lag p99 ms', ({ clientLagP99Ms }) => clientLagP99Ms.toFixed(1)],
  ];
  const names = Object.keys(figures);
  const header = ['', ...names].map((name, index) =>
    name.padEnd(index === 0 ? LABEL_WIDTH : COLUMN_WIDTH),
  );
  process.stdout.write(`${header.join('')}\n`);
  for (const [label, format] of rows) {
    const cells = names.map((name) => {
      const figure = figures[name];
      return (figure === undefined ? '' : format(figure)).padEnd(COLUMN_WIDTH);
    });
    process.stdout.write(`${label.padEnd(LABEL_WIDTH)}${cells.join('')}\n`);
  }
  for (const [name, { refusedByCode, failedByDetail }] of Object.entries(figures)) {
    const lines = [formatCounts(refusedByCode), formatCounts(failedByDetail)];
    process.stdout.write(`${name}: refused ${lines[0] || 'none'} | failed ${lines[1] || 'none'}\n`);
  }
}
