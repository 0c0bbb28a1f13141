/** Polls of engines: processor time of a daemon without requests, against engines of its shards. */

import { Agent } from 'node:http';
import { startDeployment } from '../../packages/stand-ins/dist/index.js';
import { waitMs } from './measure.js';
import { applyRules, makePlan, postChat, readUsage } from './deployment.js';

const BASE_PORT = 18_700;
const SETTLE_MS = 2_000;
const SPAN_MS = 4_000;
const US_PER_S = 1_000_000;
const MS_PER_S = 1_000;

async function measureIdle(engines) {
  const deployment = await startDeployment({
    ...makePlan(BASE_PORT + engines * 2),
    prefillEngines: engines / 2,
    decodeEngines: engines / 2,
  });
  const [entryVm] = deployment.entryVms;
  try {
    await applyRules(deployment);
    const agent = new Agent();
    const body = { model: 'declaration-llm', messages: [{ role: 'user', content: 'Hello' }] };
    // The first ask starts the allocator, which polls its engines from then on.
    await postChat(entryVm.callerUrl, agent, JSON.stringify({ ...body, max_tokens: 2 }));
    await waitMs(SETTLE_MS);
    const before = await readUsage(entryVm);
    await waitMs(SPAN_MS);
    const after = await readUsage(entryVm);
    return ((after.cpu - before.cpu) * US_PER_S) / (SPAN_MS / MS_PER_S);
  } finally {
    await deployment.stop();
  }
}

/** Measures idle daemons. */
export async function measureIdleDaemons() {
  const points = [];
  for (const size of [2, 8, 24]) points.push({ size, value: await measureIdle(size) });
  const what = 'processor time of a daemon without requests, a second';
  return [{ role: 'engine polls', what, unit: 'µs', per: 'engine', points }];
}
