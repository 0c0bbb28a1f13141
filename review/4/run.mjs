/**
 * Two teams with a host and a service of their own, and the same paths. One request of the first team
 * crashes the servers that run it. Counts the proper requests of the second team that the system itself
 * refuses for good (422).
 */
/* eslint import-x/extensions: off, no-await-in-loop: off, no-restricted-syntax: off -- the project's own style: early exits, awaits one after the other, state changed in place */

import { fileURLToPath } from 'node:url';
import { makeLedgerServer } from '../lib/ledger-server.mjs';
import {
  buildLedgerConfiguration,
  isInTouch,
  pause,
  runCase,
  sendAttempt,
  startSite,
} from '../lib/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const VM_COUNT = 3;
const MIN_WORK_MS = 50;
const WORK_SPREAD_MS = 71;
const LOOKUPS_PER_S = 14.3;
const DEADLINE_MS = 4_000;
const FIRST_DEADLY_MS = 5_000;
const AGAIN_MS = 3_000;
const LAST_MS = 35_000;
/** The teams' hosts and services. */
const COINS = { host: 'coins.example', service: 'pillow-ledger', servers: 3 };
const LETTERS = { host: 'letters.example', service: 'letter-archive', servers: 3 };
/** Both teams have these accounts; the first one's lookup of the first crashes its servers. */
const PATHS = ['/status/1', '/status/2', '/status/3', '/status/4'];
const DEADLY_PATH = PATHS[0];

function buildRoute({ host, service }) {
  const known = buildLedgerConfiguration().routes.find(({ name }) => name === 'status');
  return { ...known, name: `status-${service}`, host, service };
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  const servers = [COINS, LETTERS].flatMap(({ host, service, servers: serverCount }) =>
    Array.from({ length: serverCount }, (_, index) =>
      Object.assign(
        makeLedgerServer({
          name: `i-${service}${index + 1}`,
          workMs: () => MIN_WORK_MS + Math.random() * WORK_SPREAD_MS,
          isDeadly: ({ url }) => host === COINS.host && url === DEADLY_PATH,
          record: record.write,
        }),
        { entry: { service } },
      ),
    ),
  );
  const configuration = {
    ...buildLedgerConfiguration(),
    routes: [COINS, LETTERS].map(buildRoute),
    services: [COINS, LETTERS].map(({ service }) => ({ name: service })),
  };
  const site = await startSite({ configuration, servers, vmCount: VM_COUNT, record });
  let count = 0;
  let requests = 0;
  let denied = 0;
  const statuses = {};

  /** Sends a lookup of a team, and once more after a failure. */
  async function sendLookup(kind, { host }, path) {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      count += 1;
      const requestId = `c${count.toString(16).padStart(8, '0')}`;
      const vm = site.vms[count % VM_COUNT];
      const sentAt = performance.now();
      record.write('sent', { requestId, kind, vm: vm.name, host, path });
      const { status, error, headers } = await sendAttempt({
        port: vm.port,
        path,
        requestId,
        deadlineMs: DEADLINE_MS,
        headers: { Host: host },
      });
      const isOwn = headers?.['server-stamp'] === undefined;
      record.write('answered', { requestId, kind, host, path, status, error, isOwn });
      statuses[`${kind} ${status}`] = (statuses[`${kind} ${status}`] ?? 0) + 1;
      if (kind !== 'deadly') {
        requests += 1;
        const isFourHundred = status >= 300 && status < 500 && ![408, 421, 429].includes(status);
        if (isOwn && isFourHundred && isInTouch(vm, sentAt)) denied += 1;
      }
      if ([200, 400, 401, 404, 413, 431].includes(status)) return;
      await pause(200);
    }
  }

  await pause(3_500);
  const until = performance.now() + LAST_MS;
  const sendDeadly = async () => {
    await pause(FIRST_DEADLY_MS);
    while (HAS_TROUBLE && performance.now() < until) {
      await sendLookup('deadly', COINS, DEADLY_PATH);
      await pause(AGAIN_MS);
    }
  };
  const sendSound = async (kind, team, paths) => {
    const pending = [];
    while (performance.now() < until) {
      const path = paths[Math.floor(Math.random() * paths.length)];
      pending.push(sendLookup(kind, team, path));
      await pause((-Math.log(1 - Math.random()) * 1_000) / LOOKUPS_PER_S);
    }
    await Promise.all(pending);
  };
  await Promise.all([
    sendDeadly(),
    sendSound('letters', LETTERS, PATHS),
    sendSound('coins', COINS, PATHS.slice(1)),
  ]);
  const bound = 5 + requests / 500;
  const sum = { requests, denied, bound, statuses };
  record.write('sum', sum);
  process.stdout.write(`${JSON.stringify(sum)}\n`);
  await site.stop();
  return denied > bound;
});
