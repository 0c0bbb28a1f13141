/**
 * Lookups of a few accounts that everybody asks for, and now and then one request that crashes the
 * servers which run it. Counts the proper lookups that the system itself refuses for good (422).
 */
/* eslint import-x/extensions: off, no-await-in-loop: off -- the project's own style: early exits, awaits one after the other, state changed in place */

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
const VM_COUNT = 4;
const SERVER_COUNT = 3;
/** Mean of the work of the sheet, with a spread. */
const MIN_WORK_MS = 50;
const WORK_SPREAD_MS = 71;
/** Requests a second, about as many as the sheet has in all. */
const LOOKUPS_PER_S = 30;
const CREDITS_PER_S = 20;
const ACCOUNTS = 3;
const DEADLINE_MS = 4_000;
const FIRST_DEADLY_MS = 3_000;
const DEADLY_INTERVAL_MS = 7_000;
const DEADLY_COUNT = 9;
const LAST_MS = 75_000;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  const servers = Array.from({ length: SERVER_COUNT }, (_, index) =>
    Object.assign(
      makeLedgerServer({
        name: `i-ledger${index + 1}`,
        workMs: () => MIN_WORK_MS + Math.random() * WORK_SPREAD_MS,
        isDeadly: ({ url }) => url.startsWith('/status/deadly'),
        record: record.write,
      }),
      { entry: { service: 'ledger' } },
    ),
  );
  const configuration = buildLedgerConfiguration();
  const site = await startSite({ configuration, servers, vmCount: VM_COUNT, record });
  let count = 0;
  let requests = 0;
  let denied = 0;
  const statuses = {};

  /** Sends a request of a client, and once more after a failure, as its kind allows. */
  async function sendRequest(kind, method, path, body) {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      count += 1;
      const requestId = `c${count.toString(16).padStart(8, '0')}`;
      const vm = site.vms[Math.floor(Math.random() * site.vms.length)];
      const sentAt = performance.now();
      record.write('sent', { requestId, kind, vm: vm.name, method, path });
      const answer = await sendAttempt({
        port: vm.port,
        method,
        path,
        body,
        requestId,
        deadlineMs: DEADLINE_MS,
      });
      const { status, error, headers } = answer;
      const isOwn = headers?.['server-stamp'] === undefined;
      record.write('answered', { requestId, kind, path, status, error, isOwn, body: answer.body });
      statuses[`${kind} ${status}`] = (statuses[`${kind} ${status}`] ?? 0) + 1;
      if (kind !== 'deadly') {
        requests += 1;
        const isFourHundred = status >= 300 && status < 500 && ![408, 421, 429].includes(status);
        if (isOwn && isFourHundred && isInTouch(vm, sentAt)) denied += 1;
      }
      const isIdempotent = method === 'GET';
      const isPromised = [408, 421, 429, 503].includes(status);
      const isFinal = [200, 400, 401, 404, 413, 431].includes(status);
      if (isFinal || (!isIdempotent && !isPromised)) return;
      await pause(isPromised ? 400 : 50);
    }
  }

  async function sendSteadily(perSecond, send, until) {
    while (performance.now() < until) {
      send();
      await pause((-Math.log(1 - Math.random()) * 1_000) / perSecond);
    }
  }

  await pause(3_500);
  const startedAt = performance.now();
  const until = startedAt + LAST_MS;
  const lookUp = () =>
    sendRequest('lookup', 'GET', `/status/account-${Math.floor(Math.random() * ACCOUNTS)}`);
  const credit = () => sendRequest('credit', 'POST', '/transfer/coin', `{"n":${Math.random()}}`);
  const deadly = async () => {
    await pause(FIRST_DEADLY_MS);
    for (let index = 0; index < DEADLY_COUNT && performance.now() < until; index += 1) {
      if (HAS_TROUBLE) sendRequest('deadly', 'GET', `/status/deadly-${index}`);
      await pause(DEADLY_INTERVAL_MS);
    }
  };
  await Promise.all([
    sendSteadily(LOOKUPS_PER_S, lookUp, until),
    sendSteadily(CREDITS_PER_S, credit, until),
    deadly(),
  ]);
  await pause(DEADLINE_MS + 500);
  const bound = 5 + requests / 500;
  record.write('sum', { requests, denied, bound, statuses });
  process.stdout.write(`${JSON.stringify({ requests, denied, bound, statuses })}\n`);
  await site.stop();
  return denied > bound;
});
