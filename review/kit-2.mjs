/* eslint-disable import-x/extensions, import-x/no-relative-packages, n/no-unsupported-features/node-builtins, no-restricted-syntax, n/no-process-exit -- as the project's own sources, which are .ts files */

/**
 * What the scripts of the second review share: a small deployment of the program, started with the
 * command of the deploy file, the project's stand-in of the platform's store, and raw callers.
 */

import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createConnection, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { makeStandInStore } from '../platform/dist/stand-in/store.js';

export const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
export const ROUTE_HOST = 'a.example';
const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const PORTS_PER_DAEMON = 8;
const START_WITHIN_MS = 20_000;

export const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Writes lines into the record of a case, with the time since its start. */
export function makeRecord(path) {
  const startedAt = performance.now();
  const stream = createWriteStream(path);
  const record = (text) => {
    const at = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    stream.write(`${at} ${text}\n`);
  };
  record.close = () =>
    new Promise((resolve) => {
      stream.end(resolve);
    });
  return record;
}

/** Starts to listen on a free port; returns IP:PORT. */
export function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(`${HOST}:${server.address().port}`));
  });
}

function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

let nextPort = 16_000 + (process.pid % 200) * 60;

async function findPorts(count) {
  const first = nextPort;
  nextPort += count;
  for (let port = first; port < first + count; port += 1) {
    // eslint-disable-next-line no-await-in-loop -- one port after the other
    if (!(await isFree(port))) return findPorts(count);
  }
  return first;
}

async function readRunCommand() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/mu.exec(text)[1].split(' ');
}

/** Settings as the platform writes them for a machine of the small deployment. */
function buildSettings({ name, zone, first, storeAddress }) {
  return [
    `node=${name}`,
    'role=router',
    'machineClass=front',
    'serves=front',
    `ip=${HOST}`,
    `zone=${zone}`,
    'region=lk-west',
    'zones.negombo=lk-west',
    'zones.colombo=lk-west',
    'zones.beruwala=lk-west',
    `listen.front=${HOST}:${first}`,
    `listen.ready=${HOST}:${first + 1}`,
    `internalPorts=${first + 2},${first + 7}`,
    'bootstrap=true',
    'limits.cpuShare=0.675',
    'limits.cores=1',
    'limits.memoryMb=200',
    'limits.maxFds=4100',
    'limits.linkMbps=1000.0',
    'limits.diskMb=0',
    'discovery=platform',
    'entry=virtual_ip',
    'heartbeatMs=1200',
    'contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform',
    'bounds.seedLagS=3',
    'bounds.addrReuseS=2',
    'bounds.contactMs=3000',
    'bounds.ackMs=4000',
    'bounds.catchUpS=4',
    'bounds.drainMs=2000',
    'bounds.graceS=8',
    'bounds.lossSlackMs=200',
    'bounds.configApplyMs=2000',
    'bounds.rollbackSlackMs=250',
    'bounds.maxSkewMs=5000',
    'bounds.retryBudgetRatio=0.2',
    'bounds.retryWindowS=10',
    'bounds.retrySlack=58',
    'bounds.recoveryS=12',
    'bounds.transitMs=120',
    'bounds.retryAfterS=3',
    'bounds.requireFencing=false',
    'bounds.leaseMs=3000',
    'bounds.thawMs=300',
    `platform.address=${storeAddress}`,
    'platform.form=table',
    'platform.writesPerS=400',
    'platform.readsPerS=2000',
    'platform.txMs=5.0',
    'platform.partWritesS=200',
    'platform.rowBytes=65536',
    'platform.across=false',
    'platform.historyS=20',
  ].join('\n');
}

const ENGINE = { slots: 12, kvCapacityTokens: 144_611, handleTtlS: 0.5, switchS: 6 };

/** The operator's configuration: routes and limits like those of the small deployment. */
export const CONFIGURATION = {
  version: 3,
  routes: [
    { name: 'transfer', pathPrefix: '/transfer/', kind: 'non_idempotent', service: 'ledger' },
    {
      name: 'balance',
      pathPrefix: '/balance/',
      kind: 'idempotent',
      service: 'ledger',
      maxAttempts: 2,
    },
    {
      name: 'note',
      pathPrefix: '/note/',
      kind: 'stream',
      service: 'llm',
      sticky: true,
      timeoutMs: 14_000,
      targetLatencyMs: 900,
      gapTargetMs: 300,
    },
    {
      name: 'summary',
      pathPrefix: '/summary/',
      kind: 'stream',
      service: 'llm',
      sticky: true,
      resumable: true,
      maxAttempts: 2,
      timeoutMs: 14_000,
      targetLatencyMs: 900,
      gapTargetMs: 300,
    },
  ].map((route) => ({
    host: ROUTE_HOST,
    priority: 1,
    maxAttempts: 1,
    timeoutMs: 1_500,
    targetLatencyMs: 193,
    ...route,
  })),
  services: [{ name: 'ledger' }, { name: 'llm', engine: ENGINE }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 10_000,
  },
};

async function askReady(port) {
  const answer = await fetch(`http://${HOST}:${port}/api/readyz`).catch(() => undefined);
  return answer?.status === 200;
}

/** Waits until a check holds; returns whether it did in time. */
export async function awaitTrue(check, withinMs) {
  const until = performance.now() + withinMs;
  while (performance.now() < until) {
    // eslint-disable-next-line no-await-in-loop -- asked again until it holds
    if (await check()) return true;
    // eslint-disable-next-line no-await-in-loop -- as above
    await pause(50);
  }
  return false;
}

/** Starts a store with the configuration; servers are added with `addServer`. */
export async function startStore() {
  const store = makeStandInStore();
  const address = await listen(store.server);
  store.put('op', 'config', CONFIGURATION);
  const timers = [];
  return {
    store,
    address,
    /** Writes an entry as a server would, again at every heartbeat. */
    addServer: (id, entry) => {
      let sequence = 0;
      const write = () => {
        sequence += 1;
        store.put('servers', id, {
          version: 'v1',
          slots: 12,
          state: 'ready',
          coldRemainingMs: 0,
          ...entry,
          sequence,
        });
      };
      write();
      const timer = setInterval(write, 1_200);
      timers.push(timer);
      return () => clearInterval(timer);
    },
    stop: () => {
      for (const timer of timers) clearInterval(timer);
      store.server.closeAllConnections();
      store.server.close();
    },
  };
}

/** Starts daemons with the command of the deploy file, and waits until all are ready. */
export async function startDaemons(count, storeAddress, record) {
  const folder = await mkdtemp(join(tmpdir(), 'review-2-'));
  const [command, ...args] = await readRunCommand();
  const daemons = [];
  const stop = async () => {
    for (const { child } of daemons) child.kill('SIGKILL');
    await rm(folder, { recursive: true, force: true });
  };
  const zones = ['negombo', 'colombo', 'beruwala'];
  for (let index = 0; index < count; index += 1) {
    const name = `front-${index + 1}`;
    // eslint-disable-next-line no-await-in-loop -- a handful of processes
    const first = await findPorts(PORTS_PER_DAEMON);
    const settings = join(folder, `${name}.conf`);
    const text = buildSettings({ name, zone: zones[index % zones.length], first, storeAddress });
    // eslint-disable-next-line no-await-in-loop -- as above
    await writeFile(settings, text);
    const env = { PATH: process.env.PATH, TARRAGONSPOOL_SETTINGS: settings };
    const daemon = { name, port: first, child: undefined, log: '' };
    const keep = (part) => {
      daemon.log += String(part);
    };
    const start = () => {
      const child = spawn(command, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      child.on('exit', (code, signal) => record(`${name} ended, code ${code}, signal ${signal}`));
      daemon.child = child;
    };
    /** Ends the process and starts it again, as the platform does after a short delay. */
    daemon.restart = (signal) =>
      new Promise((resolve) => {
        daemon.child.once('exit', () => {
          setTimeout(() => {
            start();
            resolve();
          }, 200);
        });
        daemon.child.kill(signal);
      });
    start();
    daemons.push(daemon);
  }
  const areReady = await awaitTrue(async () => {
    const answers = await Promise.all(daemons.map(({ port }) => askReady(port + 1)));
    return answers.every(Boolean);
  }, START_WITHIN_MS);
  if (!areReady) {
    await stop();
    throw new Error('the daemons are not ready');
  }
  // The daemons link to each other within this time.
  await pause(2_000);
  record(`${count} daemons are ready`);
  return { daemons, stop };
}

/**
 * Sends a request over a connection of its own and reads the answer as bytes. Resolves with the head, the body as it
 * came, and how the connection ended: `closed` is an orderly end, `reset` is not.
 */
export function callRaw(port, { method = 'POST', path, id, headers = {}, body = '' }) {
  return new Promise((resolve) => {
    const socket = createConnection({ host: HOST, port });
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${ROUTE_HOST}`, `Request-Id: ${id}`];
    for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
    if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    let text = '';
    let end = 'closed';
    socket.on('connect', () => socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`));
    socket.on('data', (part) => {
      text += part.toString('latin1');
    });
    socket.on('error', (error) => {
      end = error.code === 'ECONNRESET' ? 'reset' : String(error.code);
    });
    socket.on('end', () => socket.end());
    socket.on('close', () => {
      const at = text.indexOf('\r\n\r\n');
      const head = at < 0 ? text : text.slice(0, at);
      const rest = at < 0 ? '' : text.slice(at + 4);
      const status = Number(/^HTTP\/1\.1 (\d+)/u.exec(head)?.[1] ?? 0);
      resolve({ status, head, body: rest, end });
    });
  });
}

/** How the end of an answer's body is told. */
export function findFraming(head) {
  if (/^transfer-encoding:/imu.test(head)) return 'chunks';
  return /^content-length:/imu.test(head) ? 'length' : 'connection';
}

/** Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(record, run) {
  let code = 2;
  try {
    code = (await run()) ? 1 : 0;
  } catch (error) {
    record(`could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  await record.close();
  process.exit(code);
}
