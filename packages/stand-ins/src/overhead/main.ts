/**
 * Prints the processor time a request and the added latency of the daemon against a bare
 * pass-through in the same run. Usage: node main.js [--seconds S] [--json]
 */

import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { callJson, digestKey, startDeployment, type Deployment } from '../harness/deployment.js';
import { startProcess, waitFor, waitUntil, type RunningProcess } from '../harness/processes.js';
import { runCalls, type Call } from './client.js';
import { CHUNKS } from './sizes.js';

type Target = { readonly name: string; readonly process: RunningProcess; readonly call: Call };
type Figures = { cpuUs: number; medianMs: number; p99Ms: number; requests: number };

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const BASE_PORT = 23_000;
const UPSTREAM_PORT = BASE_PORT + 50;
const PASS_PORT = BASE_PORT + 51;
const KEY = 'overhead-key';
const DRAIN_NOTICE_MS = '20000';
const ROUNDS = 3;
const CONCURRENCY = 16;
const WARM_UP_MS = 1_500;
const START_TIMEOUT_MS = 10_000;
const US_PER_TICK = 10_000;
const MS_PER_SECOND = 1_000;
const PROMPT = 'declare the catch '.repeat(30);

/** Processor time of a process, in microseconds. */
async function readCpuUs({ child }: RunningProcess): Promise<number> {
  const text = await readFile(`/proc/${child.pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * US_PER_TICK;
}

function startProgram(name: string, args: readonly string[]): RunningProcess {
  return startProcess(name, fileURLToPath(new URL(`./${name}.js`, import.meta.url)), args);
}

function makeRecords(deployment: Deployment): unknown[] {
  const url = `http://${HOST}:${UPSTREAM_PORT}`;
  const common = { dataCentre: 'a', state: 'live', url, incarnation: 1 };
  const engine = { ...common, kind: 'engine', service: 'overhead', models: ['overhead'] };
  return [
    ...deployment.records,
    { ...common, kind: 'server', upstreamId: 'plain-1', service: 'plain' },
    { ...engine, upstreamId: 'prefill-1', role: 'prefill', isFencing: true },
    { ...engine, upstreamId: 'decode-1', role: 'decode', isFencing: true },
  ];
}

async function startTargets(): Promise<{ deployment: Deployment; others: RunningProcess[] }> {
  const deployment = await startDeployment({
    basePort: BASE_PORT,
    entryVms: 1,
    prefillEngines: 0,
    decodeEngines: 0,
    ledgers: 0,
    modelService: 'overhead',
    ledgerService: 'plain',
    dataCentres: ['a'],
    // Callers reuse connections only if they are kept for more than a second.
    daemonEnv: { TARRAGONSPOOL_DRAIN_NOTICE_MS: DRAIN_NOTICE_MS },
  });
  const others = [
    startProgram('upstream', [`${HOST}:${UPSTREAM_PORT}`]),
    startProgram('pass-through', [`${HOST}:${PASS_PORT}`, `${HOST}:${UPSTREAM_PORT}`]),
  ];
  await waitUntil(
    'pass-through',
    Date.now() + START_TIMEOUT_MS,
    async () => (await fetch(`http://${HOST}:${PASS_PORT}/`)).ok,
  );
  await callJson(`${deployment.platformUrl}/control/vms`, makeRecords(deployment));
  const rules = `caller team key-sha256=${digestKey(KEY)}  # bench\nallow team plain  # bench\nallow team overhead  # bench\n`;
  await deployment.applyRules(rules);
  await waitFor(WARM_UP_MS);
  return { deployment, others };
}

function makeCall(port: number, path: string, body: string): Call {
  const headers = {
    authorization: `Bearer ${KEY}`,
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  };
  return { host: HOST, port, method: 'POST', path, headers, body };
}

function makeTargets(
  daemon: RunningProcess,
  daemonPort: number,
  pass: RunningProcess,
): Readonly<Record<'plain' | 'model', readonly Target[]>> {
  const plainBody = JSON.stringify({ tonnes: 4 });
  const chatPath = '/v1/chat/completions';
  const messages = [{ role: 'user', content: PROMPT }];
  const chatBody = JSON.stringify({
    model: 'overhead',
    messages,
    max_tokens: CHUNKS,
    stream: true,
  });
  return {
    plain: [
      { name: 'pass-through', process: pass, call: makeCall(PASS_PORT, '/echo', plainBody) },
      {
        name: 'daemon',
        process: daemon,
        call: makeCall(daemonPort, '/services/plain/echo', plainBody),
      },
    ],
    model: [
      { name: 'pass-through', process: pass, call: makeCall(PASS_PORT, chatPath, chatBody) },
      { name: 'daemon', process: daemon, call: makeCall(daemonPort, chatPath, chatBody) },
    ],
  };
}

function findQuantile(times: readonly number[], share: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

async function measureTarget(target: Target, durationMs: number): Promise<Figures> {
  const cpuBefore = await readCpuUs(target.process);
  const loaded = await runCalls(target.call, CONCURRENCY, Date.now() + durationMs);
  const cpuUs = ((await readCpuUs(target.process)) - cpuBefore) / loaded.length;
  const alone = await runCalls(target.call, 1, Date.now() + durationMs / 2);
  return {
    cpuUs,
    medianMs: findQuantile(alone, 0.5),
    p99Ms: findQuantile(alone, 0.99),
    requests: loaded.length,
  };
}

function findMiddle(figures: readonly Figures[], key: keyof Figures): number {
  return findQuantile(
    figures.map((figure) => figure[key]),
    0.5,
  );
}

/** Measures both targets in turn, several rounds; returns the middle round of each figure. */
async function measurePair(
  targets: readonly Target[],
  durationMs: number,
): Promise<Map<string, Figures>> {
  const rounds = new Map<string, Figures[]>(targets.map(({ name }) => [name, []]));
  for (const target of targets) {
    // eslint-disable-next-line no-await-in-loop -- one measurement at a time
    await runCalls(target.call, CONCURRENCY, Date.now() + WARM_UP_MS);
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const target of targets) {
      // eslint-disable-next-line no-await-in-loop -- one measurement at a time
      rounds.get(target.name)?.push(await measureTarget(target, durationMs));
    }
  }
  const middle = new Map<string, Figures>();
  for (const [name, figures] of rounds) {
    middle.set(name, {
      cpuUs: findMiddle(figures, 'cpuUs'),
      medianMs: findMiddle(figures, 'medianMs'),
      p99Ms: findMiddle(figures, 'p99Ms'),
      requests: findMiddle(figures, 'requests'),
    });
  }
  return middle;
}

function printPair(what: string, figures: ReadonlyMap<string, Figures>): number {
  for (const [name, { cpuUs, medianMs, p99Ms, requests }] of figures) {
    process.stdout.write(
      `${what.padEnd(6)} ${name.padEnd(13)} ${cpuUs.toFixed(0).padStart(6)} us/request  ` +
        `p50 ${medianMs.toFixed(2)} ms  p99 ${p99Ms.toFixed(2)} ms  (${requests} requests a round)\n`,
    );
  }
  const pass = figures.get('pass-through');
  const daemon = figures.get('daemon');
  const ratio = (daemon?.cpuUs ?? 0) / (pass?.cpuUs ?? 1);
  const added = (daemon?.medianMs ?? 0) - (pass?.medianMs ?? 0);
  process.stdout.write(
    `${what.padEnd(6)} processor time ${ratio.toFixed(2)} times, added p50 ${added.toFixed(2)} ms\n`,
  );
  return ratio;
}

const { values: options } = parseArgs({
  options: {
    seconds: { type: 'string', default: '3' },
    json: { type: 'boolean', default: false },
  },
});
const durationMs = Number(options.seconds) * MS_PER_SECOND;
const { deployment, others } = await startTargets();
try {
  const [entryVm] = deployment.entryVms;
  const [, pass] = others;
  if (entryVm === undefined || pass === undefined) throw new Error('nothing to measure');
  const port = Number(new URL(entryVm.callerUrl).port);
  const targets = makeTargets(entryVm.process, port, pass);
  const plain = await measurePair(targets.plain, durationMs);
  const model = await measurePair(targets.model, durationMs);
  const ratios = { plain: printPair('plain', plain), model: printPair('model', model) };
  if (options.json) {
    const figures = { plain: Object.fromEntries(plain), model: Object.fromEntries(model) };
    process.stdout.write(`${JSON.stringify({ ratios, ...figures })}\n`);
  }
} finally {
  for (const { child } of others) child.kill('SIGTERM');
  deployment.kill();
}
