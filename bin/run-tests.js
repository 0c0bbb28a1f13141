/**
 * Runs every test file, each in a process of its own and `--jobs N` side by side, and closes with one
 * line `N passed, N failed`. Failures listed in KNOWN-RED.txt are printed and passed over; a listed
 * test that passes is printed too. Files with crowds of callers run last and one at a time, as what they measure
 * depends on other load. Words narrow the run to files whose path contains one of them.
 * `--seed N` and `--runs R` set fast-check's seed and number of runs for every property. With
 * `--file F` it runs that file in this process and sends its results to the parent.
 */

import { fork } from 'node:child_process';
import { readFile, readdir } from 'node:fs/promises';
import { basename, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import fc from 'fast-check';
import Mocha from 'mocha';

const TEST_TIMEOUT_MS = 600_000;
const DEFAULT_SEED = '20261204';
const DEFAULT_RUNS = '100';
const DEFAULT_JOBS = '4';
const MS_PER_S = 1_000;
/** Files of real processes take longest and so begin first. */
const LONG_FOLDER = 'platform';
/** Files with crowds of callers, by how their names begin. */
const CROWD_NAMES = ['uncontrolled-', 'endless-pieces.'];

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
  const isLong = (file) => file.startsWith(LONG_FOLDER);
  const wanted = files.filter(isWanted).sort();
  return [...wanted.filter(isLong), ...wanted.filter((file) => !isLong(file))];
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
    jobs: { type: 'string', default: DEFAULT_JOBS },
    file: { type: 'string' },
  },
});

/** Runs one file here and sends the titles that passed and failed to the parent. */
async function runFile(file) {
  fc.configureGlobal({ seed: Number(options.seed), numRuns: Number(options.runs) });
  // Runs side by side must not share addresses.
  process.env.TARRAGONSPOOL_TEST_HOST ??= [
    127,
    100 + ((process.pid >> 14) & 63),
    (process.pid >> 7) & 127,
    1 + (process.pid & 127),
  ].join('.');
  const mocha = new Mocha({ reporter: 'dot', timeout: TEST_TIMEOUT_MS });
  mocha.addFile(file);
  await mocha.loadFilesAsync();
  const passed = [];
  const failed = [];
  const runner = mocha.run(() => {
    process.send({ passed, failed }, () => process.exit(0));
  });
  runner.on('pass', (test) => passed.push(test.fullTitle()));
  runner.on('fail', (test) => failed.push(test.fullTitle()));
}

/** Runs one file in a process of its own. A file that ends without results has failed. */
function forkFile(file) {
  const startedAt = performance.now();
  const { seed, runs } = options;
  const args = ['--file', file, '--seed', seed, '--runs', runs];
  const child = fork(fileURLToPath(import.meta.url), args, {
    execArgv: ['--enable-source-maps'],
    stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
  });
  const output = [];
  let results = { passed: [], failed: [`${file}: ended without results`] };
  child.stdout.on('data', (part) => output.push(part));
  child.stderr.on('data', (part) => output.push(part));
  child.on('message', (message) => {
    results = message;
  });
  return new Promise((resolve) => {
    child.on('close', () => {
      const seconds = ((performance.now() - startedAt) / MS_PER_S).toFixed(1);
      resolve({ file, seconds, output: Buffer.concat(output).toString(), ...results });
    });
  });
}

function hasCrowds(file) {
  return CROWD_NAMES.some((name) => basename(file).startsWith(name));
}

/** Runs files, so many side by side, and adds the titles of their tests. */
async function runFiles(files, jobs, { passed, failed }) {
  const waiting = [...files];
  const runWaiting = async () => {
    for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) {
      // eslint-disable-next-line no-await-in-loop -- one file after the other in each job
      const results = await forkFile(file);
      const { seconds, output } = results;
      const counts = `${results.passed.length} passed and ${results.failed.length} failed`;
      process.stdout.write(`${file}: ${counts} in ${seconds} s\n`);
      if (results.failed.length > 0) process.stdout.write(`${output}\n`);
      for (const title of results.passed) passed.add(title);
      for (const title of results.failed) failed.add(title);
    }
  };
  await Promise.all(Array.from({ length: jobs }, runWaiting));
}

async function runAllFiles(files) {
  const results = { passed: new Set(), failed: new Set() };
  const others = files.filter((file) => !hasCrowds(file));
  await runFiles(others, Number(options.jobs), results);
  await runFiles(files.filter(hasCrowds), 1, results);
  return results;
}

function printSummary(passed, failed, knownRed) {
  const unexpected = [...failed].filter((title) => !knownRed.has(title));
  for (const title of failed) {
    if (knownRed.has(title)) process.stdout.write(`known red: ${title}\n`);
  }
  for (const title of knownRed) {
    if (passed.has(title)) process.stdout.write(`listed in KNOWN-RED.txt but passed: ${title}\n`);
  }
  for (const title of unexpected) process.stdout.write(`failed: ${title}\n`);
  process.stdout.write(`\n${passed.size} passed, ${unexpected.length} failed\n`);
  process.exitCode = unexpected.length === 0 && passed.size > 0 ? 0 : 1;
}

if (options.file === undefined) {
  const { passed, failed } = await runAllFiles(await findAllTestFiles(filters));
  printSummary(passed, failed, await readKnownRed());
} else {
  await runFile(options.file);
}
