/** Request path: processor time of a daemon against the tokens of an answer, over real sockets. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { digestKey, startDeployment } from '../../packages/stand-ins/dist/index.js';
import { waitMs } from './measure.js';

const BASE_PORT = 18_500;
const TOKEN = 'demo-operator-token-0123456789';
const KEY = 'slopes-key';
const REQUESTS = 160;
const CONCURRENCY = 16;
const PROMPT = 'Declare the catch. ';
const US_PER_S = 1_000_000;

async function readCpuSeconds(entryVm) {
  const headers = { authorization: `Bearer ${TOKEN}` };
  const answer = await fetch(`${entryVm.operatorUrl}/metrics`, { headers });
  const text = await answer.text();
  const match = /^tarragonspool_process_cpu_seconds_total (\S+)$/m.exec(text);
  const memory = /^tarragonspool_process_resident_memory_bytes (\S+)$/m.exec(text);
  return { cpu: Number(match?.[1]), memory: Number(memory?.[1]) };
}

function postChat(url, agent, body) {
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

async function runRequests(entryVm, promptTokens, maxTokens) {
  const agent = new Agent({ keepAlive: true, maxSockets: CONCURRENCY });
  const content = PROMPT.repeat(promptTokens / 4);
  const body = JSON.stringify({
    model: 'declaration-llm',
    messages: [{ role: 'user', content }],
    max_tokens: maxTokens,
    stream: true,
  });
  let [left, answered] = [REQUESTS, 0];
  const runOne = async () => {
    while (left > 0) {
      left -= 1;
      if ((await postChat(entryVm.callerUrl, agent, body)) === 200) answered += 1;
    }
  };
  const before = await readCpuSeconds(entryVm);
  const startedAt = Date.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, runOne));
  const after = await readCpuSeconds(entryVm);
  agent.destroy();
  const seconds = (Date.now() - startedAt) / 1_000;
  return { answered, seconds, cpuUs: (after.cpu - before.cpu) * US_PER_S, memory: after.memory };
}

async function applyRules(deployment) {
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

/** Measures the request path. */
export async function measureRequests() {
  const deployment = await startDeployment({
    basePort: BASE_PORT,
    entryVms: 1,
    prefillEngines: 2,
    decodeEngines: 2,
    ledgers: 1,
    modelService: 'declaration-llm',
    ledgerService: 'quota-ledger',
    dataCentres: ['negombo'],
  });
  const [entryVm] = deployment.entryVms;
  try {
    await applyRules(deployment);
    await runRequests(entryVm, 400, 64);
    await runRequests(entryVm, 2_000, 4);
    await waitMs(500);
    const idleBefore = await readCpuSeconds(entryVm);
    await waitMs(5_000);
    const idleAfter = await readCpuSeconds(entryVm);
    const idleShare = (idleAfter.cpu - idleBefore.cpu) / 5;
    const [tokens, prompts] = [[], []];
    let memory = 0;
    for (const size of [8, 32, 96]) {
      const run = await runRequests(entryVm, 40, size);
      if (run.answered < REQUESTS) throw new Error(`${run.answered} of ${REQUESTS} answered`);
      const idleUs = idleShare * run.seconds * US_PER_S;
      tokens.push({ size, value: (run.cpuUs - idleUs) / REQUESTS });
      memory = run.memory;
    }
    for (const size of [40, 400, 2_000]) {
      const run = await runRequests(entryVm, size, 4);
      if (run.answered < REQUESTS) throw new Error(`${run.answered} of ${REQUESTS} answered`);
      const idleUs = idleShare * run.seconds * US_PER_S;
      prompts.push({ size, value: (run.cpuUs - idleUs) / REQUESTS });
    }
    const role = 'request path';
    const percent = (idleShare * 100).toFixed(1);
    const megabytes = Math.round(memory / 1_048_576);
    return [
      {
        role,
        what: `processor time of a streamed request (idle: ${percent} % of a core; ${megabytes} MB resident)`,
        unit: 'µs',
        per: 'token',
        points: tokens,
      },
      {
        role,
        what: 'processor time of a request with 4 tokens',
        unit: 'µs',
        per: 'prompt token',
        points: prompts,
      },
    ];
  } finally {
    const failed = await deployment.stop();
    if (failed.length > 0) process.stderr.write(`did not end well: ${failed.join(', ')}\n`);
  }
}
