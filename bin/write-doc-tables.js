/**
 * Writes the tables of settings, exit codes, result codes and metrics into the pages under docs/.
 * Tests compare the same tables with the code. Run `npm run build` first.
 */

import { readFile, writeFile } from 'node:fs/promises';
import { EXIT_CODES } from '../packages/cli/dist/exit-codes.js';
import { RESULT_CODES } from '../packages/protocol/dist/result-codes.js';
import { listMetricRows, makeMetrics } from '../packages/router/dist/metrics/metrics.js';
import {
  listSettingNames,
  makeFlag,
  makeVariable,
  SETTINGS,
} from '../packages/router/dist/settings/settings.js';

function renderRow(cells) {
  return `| ${cells.join(' | ')} |`;
}

const settings = listSettingNames().map((name) => {
  const { description, fallback } = SETTINGS[name];
  const shown = fallback === undefined ? 'required' : fallback && `\`${fallback}\``;
  return renderRow([
    `\`${makeFlag(name)}\``,
    `\`${makeVariable(name)}\``,
    shown || 'none',
    description,
  ]);
});
const exitCodes = Object.entries(EXIT_CODES).map(([name, { code, meaning }]) =>
  renderRow([code, `\`${name}\``, meaning]),
);
const resultCodes = Object.entries(RESULT_CODES).map(([name, { code, status, title }]) =>
  renderRow([code, `\`${name}\``, status, title]),
);
const metrics = listMetricRows(makeMetrics()).map(({ name, type, labels, help }) =>
  renderRow([`\`${name}\``, type, labels.join(', ') || '-', help]),
);

/** Replaces the rows under the first table heading of a page. */
async function writeTable(path, rows) {
  const lines = (await readFile(path, 'utf8')).split('\n');
  const rule = lines.findIndex((line) => /^\| -+/.test(line));
  const length = lines.slice(rule + 1).findIndex((line) => !line.startsWith('|'));
  lines.splice(rule + 1, length, ...rows);
  await writeFile(path, lines.join('\n'));
}

await writeTable('docs/settings.md', settings);
await writeTable('docs/exit-codes.md', exitCodes);
await writeTable('docs/result-codes.md', resultCodes);
await writeTable('docs/operators/metrics.md', metrics);
