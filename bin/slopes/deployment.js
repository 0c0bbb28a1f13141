/** What measurements on a real deployment share. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { digestKey } from '../../packages/stand-ins/dist/index.js';

const TOKEN = 'demo-operator-token-0123456789';
const KEY = 'slopes-key';

/** Makes the plan of a small deployment. */
export function makePlan(basePort) {
  return {
    basePort,
    entryVms: 1,
    prefillEngines: 2,
    decodeEngines: 2,
    ledgers: 1,
    modelService: 'declaration-llm',
    ledgerService: 'quota-ledger',
    dataCentres: ['negombo'],
    daemonEnv: { TARRAGONSPOOL_DRAIN_NOTICE_MS: '100' },
  };
}

/** Reads the processor time in seconds and the resident memory of a daemon. */
export async function readUsage(entryVm) {
  const headers = { authorization: `Bearer ${TOKEN}` };
  const answer = await fetch(`${entryVm.operatorUrl}/metrics`, { headers });
  const text = await answer.text();
  const cpu = /^tarragonspool_process_cpu_seconds_total (\S+)$/m.exec(text);
  const memory = /^tarragonspool_process_resident_memory_bytes (\S+)$/m.exec(text);
  return { cpu: Number(cpu?.[1]), memory: Number(memory?.[1]) };
}

/** Sends one chat request and reads its answer; resolves with the status. */
export function postChat(url, agent, body) {
  return new Promise((resolve, reject) => {
    const outgoing = request(`${url}/v1/chat/completions`, {
      agent,
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}`, 'content-length': Buffer.byteLength(body) },
    });
    outgoing.on('error', reject);
    outgoing.on('response', (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode));
    });
    outgoing.end(body);
  });
}

/** Approves the caller of the measurements. */
export async function applyRules(deployment) {
  const folder = await mkdtemp(join(tmpdir(), 'tarragonspool-slopes-'));
  const file = join(folder, 'rules.txt');
  await writeFile(
    file,
    `caller slopes key-sha256=${digestKey(KEY)}  # slopes\n` +
      'allow slopes declaration-llm first-token-ms=60000 answer-ms=120000  # slopes\n',
  );
  const { code, output } = await deployment.runCli(['rules', 'apply', file]);
  await rm(folder, { recursive: true });
  if (code !== 0) throw new Error(output);
}
