/**
 * Runs every test file and closes with one line `N passed, N failed`. Failures listed in
 * KNOWN-RED.txt are printed and passed over; a listed test that passes is printed too.
 * Words narrow the run to files whose path contains one of them. `--seed N` and `--runs R` set
 * fast-check's seed and number of runs for every property.
 */

import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import Mocha from 'mocha';

const TEST_TIMEOUT_MS = 600_000;
const DEFAULT_SEED = '20261204';
const DEFAULT_RUNS = '100';

async function findTestFiles(folder) {
  const files = [];
  for (const entry of await readdir(folder, { withFileTypes: true, recursive: true })) {
    if (entry.isFile() && entry.name.endsWith('.test.js'))
      files.push(join(entry.parentPath, entry.name));
  }
  return files;
}

async function findAllTestFiles(filters) {
  const files = [];
  for (const name of await readdir('packages')) {
    files.push(...(await findTestFiles(join('packages', name, 'dist'))));
  }
  files.push(...(await findTestFiles(join('platform', 'dist'))));
  const isWanted = (file) => filters.length === 0 || filters.some((part) => file.includes(part));
  return files.filter(isWanted).sort();
}

async function readKnownRed() {
  const text = await readFile('KNOWN-RED.txt', 'utf8');
  const titles = new Set();
  for (const line of text.split('\n')) {
    if (line.startsWith('test: ')) titles.add(line.slice('test: '.length).trim());
  }
  return titles;
}

const { values: options, positionals: filters } = parseArgs({
  allowPositionals: true,
  options: {
    seed: { type: 'string', default: DEFAULT_SEED },
    runs: { type: 'string', default: DEFAULT_RUNS },
  },
});
fc.configureGlobal({ seed: Number(options.seed), numRuns: Number(options.runs) });
// Runs side by side must not share addresses.
process.env.TARRAGONSPOOL_TEST_HOST ??= [
  127,
  100 + ((process.pid >> 14) & 63),
  (process.pid >> 7) & 127,
  1 + (process.pid & 127),
].join('.');
const knownRed = await readKnownRed();
const mocha = new Mocha({ reporter: 'dot', timeout: TEST_TIMEOUT_MS });
for (const file of await findAllTestFiles(filters)) mocha.addFile(file);
await mocha.loadFilesAsync();

const passed = new Set();
const failed = new Set();
const runner = mocha.run(() => {
  const unexpected = [...failed].filter((title) => !knownRed.has(title));
  for (const title of failed) {
    if (knownRed.has(title)) process.stdout.write(`known red: ${title}\n`);
  }
  for (const title of knownRed) {
    if (passed.has(title)) process.stdout.write(`listed in KNOWN-RED.txt but passed: ${title}\n`);
  }
  for (const title of unexpected) process.stdout.write(`failed: ${title}\n`);
  process.stdout.write(`\n${passed.size} passed, ${unexpected.length} failed\n`);
  process.exit(unexpected.length === 0 && passed.size > 0 ? 0 : 1);
});
runner.on('pass', (test) => passed.add(test.fullTitle()));
runner.on('fail', (test) => failed.add(test.fullTitle()));
