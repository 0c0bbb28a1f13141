/**
 * Measures claims a second and table rows written for each claim, against the stand-in platform.
 * Usage: node bin/measure-claims.js [--claims N] [--parallel N] [--delay MS] [--max-writes N]. Needs a build.
 */

import { spawn } from 'node:child_process';
import { parseArgs } from 'node:util';
import { pino } from 'pino';
import { makeAgent, makeTableClient } from '../packages/platform/dist/index.js';
import {
  callLedger,
  endClaim,
  makeClaim,
  makeLedgerInbox,
  runClaimLedger,
} from '../packages/router/dist/claims/claim-ledger.js';
import { makeInvariants } from '../packages/router/dist/invariants/invariants.js';
import { makeMetrics } from '../packages/router/dist/metrics/metrics.js';
import { startTask } from '../packages/router/dist/tasks/tasks.js';

const { values } = parseArgs({
  options: {
    claims: { type: 'string', default: '20000' },
    parallel: { type: 'string', default: '200' },
    delay: { type: 'string', default: '5' },
    'max-writes': { type: 'string', default: '1000000' },
  },
});
const [total, parallel, delayMs] = [values.claims, values.parallel, values.delay].map(Number);
const address = `${process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1'}:7990`;
const url = `http://${address}`;
const platform = spawn(process.execPath, ['packages/stand-ins/dist/platform/main.js', address]);
const call = async (path, body) =>
  (await fetch(url + path, body && { method: 'POST', body: JSON.stringify(body) })).json();
const waitMs = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

for (;;) {
  if (await call('/vms').catch(() => undefined)) break;
  await waitMs(50);
}
await call('/control/faults', { delayMs, maxWrites: Number(values['max-writes']) });

let transactions = 0;
let rows = 0;
const results = {};
const client = makeTableClient(url, makeAgent());
const table = {
  ...client,
  transact: async (writes, deadline) => {
    transactions += 1;
    rows += writes.length;
    const result = await client.transact(writes, deadline);
    results[result.kind] = (results[result.kind] ?? 0) + 1;
    return result;
  },
};
const metrics = makeMetrics();
const logger = pino({ level: 'warn' });
const invariants = makeInvariants(metrics, logger, true);
const inbox = makeLedgerInbox();
startTask(
  'claims',
  () => runClaimLedger(inbox, { table, invariants, metrics, logger }),
  console.error,
);

const latencies = [];
let next = 0;
let claimed = 0;
const verdicts = {};
const outcome = { status: 200, contentType: 'text/plain', body: 'done', encoding: 'utf8' };
function* runCaller() {
  while (next < total) {
    next += 1;
    const startedAt = performance.now();
    const now = Date.now();
    const times = { dispatchDeadline: now + 3_000, answerDeadline: now + 13_000 };
    const claim = makeClaim({ callerId: 'team', key: `k${next}`, fingerprint: 'f', ...times }, now);
    const verdict = yield* callLedger(inbox, claim);
    latencies.push(performance.now() - startedAt);
    verdicts[verdict.kind] = (verdicts[verdict.kind] ?? 0) + 1;
    if (verdict.kind !== 'claimed') continue;
    claimed += 1;
    endClaim(inbox, claim, { kind: 'answered', outcome });
  }
}
const startedAt = performance.now();
const usage = process.cpuUsage();
await Promise.all(
  Array.from(
    { length: parallel },
    () => new Promise((resolve) => startTask('caller', runCaller, resolve)),
  ),
);
const seconds = (performance.now() - startedAt) / 1_000;
await waitMs(500);
const { user, system } = process.cpuUsage(usage);
latencies.sort((a, b) => a - b);
const pick = (share) => latencies[Math.floor(latencies.length * share)].toFixed(1);
console.log(
  `claims ${claimed}/${total}  per second ${(claimed / seconds).toFixed(0)}  ` +
    `transactions per claim ${(transactions / claimed).toFixed(3)}  ` +
    `rows written per claim ${(rows / claimed).toFixed(2)}  ` +
    `CPU per claim ${((user + system) / claimed).toFixed(0)} us  p50 ${pick(0.5)} ms  p99 ${pick(0.99)} ms`,
);
console.log(verdicts, results);
platform.kill('SIGTERM');
process.exit(0);
