/** Starts and stops the processes of a test deployment. */

import { spawn, type ChildProcess } from 'node:child_process';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** A process of the deployment. */
export type RunningProcess = {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or null after a signal. */
  readonly ended: Promise<number | null>;
};

const here = dirname(fileURLToPath(import.meta.url));
const require = createRequire(import.meta.url);

/** Path of a stand-in's program. */
export function getStandInPath(name: 'engine' | 'ledger' | 'platform'): string {
  return join(here, '..', name, 'main.js');
}

/** Path of one of the product's binaries. */
export function getBinaryPath(name: 'router' | 'cli'): string {
  return join(dirname(require.resolve(`@tarragonspool/${name}/package.json`)), 'dist', 'main.js');
}

/** Starts a process; its output goes to this process's error stream when `isLoud`. */
export function startProcess(
  name: string,
  program: string,
  args: readonly string[],
  env: NodeJS.ProcessEnv = {},
  isLoud = false,
): RunningProcess {
  const child = spawn(process.execPath, [program, ...args], {
    stdio: ['ignore', isLoud ? 2 : 'ignore', 2],
    env: { ...process.env, ...env },
  });
  const ended = new Promise<number | null>((resolve) => {
    child.on('exit', (code) => resolve(code));
  });
  return { name, child, ended };
}

/** Runs a process to its end and collects its output. */
export function runProcess(
  program: string,
  args: readonly string[],
  env: NodeJS.ProcessEnv = {},
): Promise<{ readonly code: number | null; readonly output: string }> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.on('close', (code) => resolve({ code, output: Buffer.concat(chunks).toString('utf8') }));
  });
}

/** Waits; for use between polls. */
export function waitFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Polls until the check holds; throws once the deadline (epoch milliseconds) has passed. */
export async function waitUntil(
  what: string,
  deadline: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const POLL_INTERVAL_MS = 50;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    if (await check().catch(() => false)) return;
    if (Date.now() > deadline) throw new Error(`timed out: ${what}`);
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await waitFor(POLL_INTERVAL_MS);
  }
}
