/**
 * One request that crashes the servers which run it comes again and again, while the machines of the
 * system are stopped and started in turn. Counts how often it still reaches servers once it has
 * crashed three and all that must know have had their time.
 */
/* eslint import-x/extensions: off, no-await-in-loop: off, no-restricted-syntax: off -- the project's own style: early exits, awaits one after the other, state changed in place */

import { fileURLToPath } from 'node:url';
import { makeLedgerServer } from '../lib/ledger-server.mjs';
import {
  buildLedgerConfiguration,
  isInTouch,
  pause,
  restartVm,
  runCase,
  sendAttempt,
  startSite,
} from '../lib/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const VM_COUNT = 6;
const SERVER_COUNT = 3;
const MIN_WORK_MS = 50;
const WORK_SPREAD_MS = 71;
const CREDITS_PER_S = 20;
const DEADLINE_MS = 4_000;
const CONTACT_MS = 3_000;
/** A crashed server is back within this time. */
const RECOVERY_MS = 3_000;
const SETTLE_MS = 300;
const MAX_LATE = 3;
const DEADLY_PATH = '/status/deadly';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  /** Runs of the request: when, and whether the VM that was asked was in touch. */
  const deadlyRuns = [];
  let askedVm;
  const servers = Array.from({ length: SERVER_COUNT }, (_, index) =>
    Object.assign(
      makeLedgerServer({
        name: `i-ledger${index + 1}`,
        workMs: () => MIN_WORK_MS + Math.random() * WORK_SPREAD_MS,
        isDeadly: ({ url }) => url === DEADLY_PATH,
        record: (kind, fields) => {
          record.write(kind, fields);
          if (kind !== 'run' || fields.path !== DEADLY_PATH) return;
          const at = performance.now();
          deadlyRuns.push({ at, vm: askedVm.name, isInTouch: isInTouch(askedVm, at) });
        },
      }),
      { entry: { service: 'ledger' } },
    ),
  );
  const configuration = buildLedgerConfiguration();
  const site = await startSite({ configuration, servers, vmCount: VM_COUNT, record });
  let count = 0;
  let isOver = false;
  const credits = { sent: 0, served: 0, outcomeUnknown: 0, refused: 0 };

  async function send(kind, vm, method, path, body) {
    count += 1;
    const requestId = `c${count.toString(16).padStart(8, '0')}`;
    record.write('sent', { requestId, kind, vm: vm.name, method, path });
    const answer = await sendAttempt({
      port: vm.port,
      method,
      path,
      body,
      requestId,
      deadlineMs: DEADLINE_MS,
    });
    const { status, error } = answer;
    record.write('answered', { requestId, kind, vm: vm.name, status, error, body: answer.body });
    return status;
  }

  async function sendCredits() {
    const pending = [];
    while (!isOver) {
      const vm = site.vms[Math.floor(Math.random() * VM_COUNT)];
      credits.sent += 1;
      const body = `{"n":${credits.sent}}`;
      pending.push(
        send('credit', vm, 'POST', '/transfer/coin', body).then((status) => {
          if (status === 200) credits.served += 1;
          else if (status === 502 || status === 504) credits.outcomeUnknown += 1;
          else credits.refused += 1;
        }),
      );
      await pause(1_000 / CREDITS_PER_S);
    }
    await Promise.all(pending);
  }

  /** The request comes again: at this VM, and once more as its client retries it. */
  async function sendDeadly(vm) {
    askedVm = vm;
    await send('deadly', vm, 'GET', DEADLY_PATH);
    await pause(SETTLE_MS);
  }

  await pause(CONTACT_MS + SETTLE_MS);
  const credited = sendCredits();
  await sendDeadly(site.vms[0]);
  await pause(RECOVERY_MS);
  // Every machine knows the request now.
  for (const vm of site.vms) await sendDeadly(vm);
  for (const vm of site.vms) {
    if (HAS_TROUBLE) await restartVm(vm, record);
    await pause(CONTACT_MS + SETTLE_MS);
    await sendDeadly(vm);
    await pause(RECOVERY_MS);
  }
  isOver = true;
  await credited;
  const third = deadlyRuns[2]?.at ?? Infinity;
  const late = deadlyRuns.filter((run) => run.at > third + CONTACT_MS && run.isInTouch);
  const sum = { deadlyRuns: deadlyRuns.length, late: late.length, bound: MAX_LATE, credits };
  record.write('sum', sum);
  process.stdout.write(`${JSON.stringify(sum)}\n`);
  await site.stop();
  return late.length > MAX_LATE;
});
