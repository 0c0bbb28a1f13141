/** Request path: processor time of a daemon against the tokens of an answer, over real sockets. */

import { Agent } from 'node:http';
import { startDeployment } from '../../packages/stand-ins/dist/index.js';
import { applyRules, makePlan, postChat, readUsage } from './deployment.js';
import { waitMs } from './measure.js';

const BASE_PORT = 18_500;
const REQUESTS = 128;
const CONCURRENCY = 16;
const PROMPT = 'Declare the catch. ';
const US_PER_S = 1_000_000;

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
  const before = await readUsage(entryVm);
  const startedAt = Date.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, runOne));
  const after = await readUsage(entryVm);
  agent.destroy();
  const seconds = (Date.now() - startedAt) / 1_000;
  return { answered, seconds, cpuUs: (after.cpu - before.cpu) * US_PER_S, memory: after.memory };
}

/** Measures the request path. */
export async function measureRequests() {
  const deployment = await startDeployment(makePlan(BASE_PORT));
  const [entryVm] = deployment.entryVms;
  try {
    await applyRules(deployment);
    await runRequests(entryVm, 400, 64);
    await runRequests(entryVm, 2_000, 4);
    await waitMs(500);
    const idleBefore = await readUsage(entryVm);
    await waitMs(4_000);
    const idleAfter = await readUsage(entryVm);
    const idleShare = (idleAfter.cpu - idleBefore.cpu) / 4;
    const [tokens, prompts] = [[], []];
    let memory = 0;
    for (const size of [8, 32, 64]) {
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
