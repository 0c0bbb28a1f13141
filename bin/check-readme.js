/**
 * Runs the commands of README.md, apart from `npm ci`, against a demo that this script starts.
 * TARRAGONSPOOL_TEST_HOST stands in for 127.0.0.1. Ends with 1 if a command fails.
 */

import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const START_TIMEOUT_MS = 60_000;
const host = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';

async function listBlocks() {
  const text = await readFile('README.md', 'utf8');
  return [...text.matchAll(/```sh\n([^]*?)```/g)].map(([, block]) => block);
}

function runScript(script) {
  const child = spawn('bash', ['-euo', 'pipefail', '-c', script], { stdio: 'inherit' });
  return new Promise((resolve) => {
    child.on('exit', (code) => resolve(code ?? 1));
  });
}

function startDemo() {
  const program = 'packages/stand-ins/dist/demo/main.js';
  const child = spawn(process.execPath, [program, '--stay'], { stdio: ['ignore', 'pipe', 2] });
  const started = new Promise((resolve, reject) => {
    setTimeout(() => reject(new Error('the demo did not start')), START_TIMEOUT_MS).unref();
    child.stdout.on('data', (chunk) => {
      if (chunk.toString().includes('Running until interrupted')) resolve();
    });
  });
  const ended = new Promise((resolve) => {
    child.on('exit', resolve);
  });
  return { child, started, ended };
}

const [install = '', ...others] = await listBlocks();
const folder = await mkdtemp(join(tmpdir(), 'tarragonspool-readme-'));
let code = await runScript(install.replace('npm ci\n', ''));
const demo = startDemo();
await demo.started;
const script = others
  .join('')
  .replaceAll('127.0.0.1', host)
  .replaceAll('rules.txt', join(folder, 'rules.txt'));
code ||= await runScript(script);
demo.child.kill('SIGTERM');
code ||= (await demo.ended) ?? 1;
await rm(folder, { recursive: true });
process.stdout.write(code === 0 ? 'every command of README.md worked\n' : 'a command failed\n');
process.exit(code);
