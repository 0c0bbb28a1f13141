/**
 * Streams and calls side by side. Now and then an engine's answer has one wrong byte in a line of its
 * head. Counts calls to sound servers on kept connections that were closed without an answer, and the
 * processes that ended by themselves.
 */
/* eslint import-x/extensions: off, no-await-in-loop: off, no-restricted-syntax: off, no-use-before-define: off -- the project's own style: early exits, awaits one after the other, state changed in place */

import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { linkEngines, makeEngineServer } from '../lib/engine-server.mjs';
import { makeLedgerServer } from '../lib/ledger-server.mjs';
import {
  buildLedgerConfiguration,
  buildStreamRoute,
  ENGINE_SERVICE,
  HOST,
  pause,
  runCase,
  sendAttempt,
  startSite,
} from '../lib/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const VM_COUNT = 3;
const MIN_WORK_MS = 50;
const WORK_SPREAD_MS = 71;
const CREDITS_PER_S = 35.6;
const STREAMS_PER_S = 4.8;
const LOOKUPS_PER_S = 14.3;
/** Share of the answers of the faulty engines that are spoiled, for a while again and again. */
const SPOILED_SHARE = 0.05;
const SPOILED_MS = 6_000;
const SOUND_MS = 1_000;
const EVENTS = 70;
const LAST_MS = 92_000;
const MAX_LOST = 3;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  const ledgers = [1, 2, 3].map((index) =>
    Object.assign(
      makeLedgerServer({
        name: `i-ledger${index}`,
        workMs: () => MIN_WORK_MS + Math.random() * WORK_SPREAD_MS,
        isDeadly: () => false,
        record: record.write,
      }),
      { entry: { service: 'ledger' } },
    ),
  );
  let spoiled = 0;
  const spoilHead = (head, requestId) => {
    const isFaulty = HAS_TROUBLE && record.now() % (SPOILED_MS + SOUND_MS) < SPOILED_MS;
    if (!isFaulty || Math.random() >= SPOILED_SHARE) return head;
    spoiled += 1;
    record.write('spoiled', { requestId });
    // One byte of `Weight-Versions: 1` is a space.
    return head.replace('Weight-Versions', 'Weight Versions');
  };
  const engines = [
    { name: 'i-prefill1', stage: 'prefill' },
    { name: 'i-decode1', stage: 'decode', spoilHead },
    { name: 'i-decode2', stage: 'decode', spoilHead },
    { name: 'i-decode3', stage: 'decode' },
  ].map((engine) =>
    makeEngineServer({ ...engine, countEvents: () => EVENTS, record: record.write }),
  );
  linkEngines(engines, HOST);
  const configuration = buildLedgerConfiguration(
    [buildStreamRoute('reply', { isResumable: true, maxAttempts: 2 })],
    [ENGINE_SERVICE],
  );
  const site = await startSite({
    configuration,
    servers: [...ledgers, ...engines],
    vmCount: VM_COUNT,
    record,
  });
  const ends = [];
  const watch = (vm) => {
    const { process: daemon } = vm;
    daemon.once('exit', (code) => {
      if (vm.isStopped) return;
      ends.push({ vm: vm.name, code });
      const check = setInterval(() => {
        if (vm.process === daemon) return;
        clearInterval(check);
        watch(vm);
      }, 20);
    });
  };
  for (const vm of site.vms) watch(vm);
  const agents = new Map(site.vms.map((vm) => [vm, new Agent({ keepAlive: true })]));
  let count = 0;
  let lost = 0;
  const statuses = {};

  async function send(kind, options) {
    count += 1;
    const requestId = `c${count.toString(16).padStart(8, '0')}`;
    const vm = site.vms[Math.floor(Math.random() * VM_COUNT)];
    record.write('sent', { requestId, kind, vm: vm.name });
    const answer = await sendAttempt({
      port: vm.port,
      requestId,
      agent: agents.get(vm),
      ...options,
    });
    const { status, error, isReused } = answer;
    const key = `${kind} ${status}${error === undefined ? '' : ' broken'}`;
    statuses[key] = (statuses[key] ?? 0) + 1;
    record.write('answered', { requestId, kind, vm: vm.name, status, error });
    return { requestId, status, error, isReused };
  }

  /** Sends a call; counts it if it reached a sound server and its kept connection was closed without an answer. */
  async function sendCall(kind, options) {
    const { requestId, status, error, isReused } = await send(kind, {
      ...options,
      deadlineMs: 4_000,
    });
    const isClosed = status === 0 && /hang up|ECONNRESET/u.test(error ?? '');
    if (isClosed && isReused && ran.has(requestId)) lost += 1;
  }

  const sendCredit = () =>
    sendCall('credit', { method: 'POST', path: '/transfer/coin', body: `{"n":${count}}` });
  const sendLookup = () => sendCall('lookup', { method: 'GET', path: `/status/${count}` });

  const ran = new Set();
  for (const { server } of ledgers) {
    server.on('request', ({ headers }) => ran.add(String(headers['request-id'])));
  }
  const sendStream = () =>
    send('reply', {
      method: 'POST',
      path: `/reply/${count}`,
      body: `{"letter":${count}}`,
      deadlineMs: 14_000,
      headers: {
        Model: 'm',
        'Token-Count': `5200,${EVENTS}`,
        'Prompt-Prefix': `aa:200,${count.toString(16)}:5000`,
      },
    });

  async function sendSteadily(perSecond, run, until) {
    const pending = [];
    while (performance.now() < until) {
      pending.push(run());
      await pause((-Math.log(1 - Math.random()) * 1_000) / perSecond);
    }
    await Promise.all(pending);
  }

  await pause(3_500);
  const until = performance.now() + LAST_MS;
  await Promise.all([
    sendSteadily(CREDITS_PER_S, sendCredit, until),
    sendSteadily(LOOKUPS_PER_S, sendLookup, until),
    sendSteadily(STREAMS_PER_S, sendStream, until),
  ]);
  const sum = { sent: count, spoiled, ends, lost, bound: MAX_LOST, statuses };
  record.write('sum', sum);
  process.stdout.write(`${JSON.stringify(sum)}\n`);
  await site.stop();
  return lost > MAX_LOST;
});
