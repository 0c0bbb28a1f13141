/**
 * Builds the daemon of an older commit from the repository's history, for tests with two builds side
 * by side: `node bin/build-older.js COMMIT`. Prints the path of the bundle, which is kept under target/.
 * The packages that it needs are those that are installed for this commit.
 */

import { spawn } from 'node:child_process';
import { existsSync } from 'node:fs';
import { mkdir, rename, rm } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.js';

const OWN_PACKAGES = ['protocol', 'core', 'platform', 'router'];
const SOURCES = ['packages', 'platform', 'tsconfig.base.json'];

async function runPipe(from, to) {
  const source = spawn(from[0], from.slice(1), { stdio: ['ignore', 'pipe', 'inherit'] });
  const sink = spawn(to[0], to.slice(1), { stdio: [source.stdout, 'inherit', 'inherit'] });
  const awaitEnd = (child) =>
    new Promise((done, fail) => {
      child.on('error', fail);
      child.on('exit', done);
    });
  const codes = await Promise.all([awaitEnd(source), awaitEnd(sink)]);
  if (codes.some((code) => code !== 0)) throw new Error(`${from.join(' ')}: failed`);
}

async function buildOlder(commit) {
  const folder = resolve('target', 'older', commit);
  const outfile = join(folder, 'tarragonspoold.mjs');
  if (existsSync(outfile)) return outfile;
  // Others may build the same commit at this moment; the first to finish is kept.
  const scratch = `${folder}-${process.pid}`;
  await mkdir(scratch, { recursive: true });
  await runPipe(['git', 'archive', commit, ...SOURCES], ['tar', '-x', '-C', scratch]);
  const alias = {};
  for (const name of OWN_PACKAGES) {
    alias[`@tarragonspool/${name}`] = join(scratch, 'packages', name, 'src', 'index.ts');
  }
  await build({
    ...BUNDLE_OPTIONS,
    alias,
    entryPoints: [join(scratch, 'platform', 'src', 'main.ts')],
    outfile: join(scratch, 'tarragonspoold.mjs'),
  });
  await rename(scratch, folder).catch(async (error) => {
    if (!existsSync(outfile)) throw error;
    await rm(scratch, { recursive: true });
  });
  return outfile;
}

const [, , commit] = process.argv;
if (commit === undefined || !/^[0-9a-f]{7,40}$/u.test(commit)) {
  process.stderr.write('usage: node bin/build-older.js COMMIT\n');
  process.exit(64);
}
process.stdout.write(`${await buildOlder(commit)}\n`);
