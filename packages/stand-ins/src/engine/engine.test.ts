import { expect } from 'chai';
import { callJson } from '../harness/deployment.js';
import { getStandInPath, startProcess, waitUntil } from '../harness/processes.js';
import type { EngineSettings } from './engine-settings.js';
import { PrefixCache } from './prefix-cache.js';
import { makeAnswerText } from './token-text.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const PROMPT = 'user: How much may we land?';
const TOKENS = 30;
const TIMEOUT_MS = 20_000;
/** So slow that an answer is under way for seconds, however late this process reads it. */
const SLOW_STEP_MS = 300;

async function startEngine(role: string, port: number, settings: Partial<EngineSettings> = {}) {
  const listen = `${HOST}:${port}`;
  const argument = JSON.stringify({ upstreamId: role, listen, role, ...settings });
  const { child } = startProcess(role, getStandInPath('engine'), [argument]);
  const url = `http://${listen}`;
  await waitUntil(role, Date.now() + TIMEOUT_MS, async () => (await fetch(`${url}/load`)).ok);
  return { url, child };
}

function makeOwner(attemptId: string) {
  const deadline = Date.now() + TIMEOUT_MS;
  return { requestId: 'request-1', attemptId, vmId: 'vm-1', incarnation: 1, deadline };
}

function startDecode(url: string, source: string, from: string, to: string, fromIndex: number) {
  const body = {
    owner: makeOwner(to),
    target: { model: 'm' },
    source: { upstreamId: 'source', url: source, attemptId: from },
    promptTokens: 8,
    maxTokens: TOKENS,
    fromIndex,
    priority: 5,
    fingerprint: 'f',
  };
  return fetch(`${url}/decode`, { method: 'POST', body: JSON.stringify(body) });
}

function readTokens(text: string): { index: number; text: string }[] {
  const frames = text.split('\n').filter((line) => line !== '');
  return frames.map((line) => JSON.parse(line)).filter(({ kind }) => kind === 'token');
}

it('engine: a stream resumed on another engine goes on with the answer of its prompt', async () => {
  const engines = await Promise.all([
    startEngine('prefill', 21_501),
    startEngine('decode', 21_502, { stepMs: SLOW_STEP_MS }),
    startEngine('decode', 21_503),
  ]);
  const [prefill, first, second] = engines.map(({ url }) => url) as [string, string, string];
  try {
    const owner = makeOwner('a');
    const order = { owner, target: { model: 'm' }, prompt: PROMPT, promptTokens: 8 };
    await callJson(`${prefill}/prefill`, { ...order, prefixes: [], priority: 5 });
    const broken = await startDecode(first, prefill, 'a', 'a', 0);
    const reader = broken.body?.getReader();
    let head = '';
    while (readTokens(head.slice(0, head.lastIndexOf('\n') + 1)).length < 5) {
      // eslint-disable-next-line no-await-in-loop -- one chunk after another
      head += new TextDecoder().decode((await reader?.read())?.value);
    }
    const resumed = await startDecode(second, first, 'a', 'b', 5);
    const tokens = [...readTokens(head.slice(0, head.lastIndexOf('\n') + 1)).slice(0, 5)];
    tokens.push(...readTokens(await resumed.text()));
    expect(tokens.map(({ text }) => text).join('')).to.equal(makeAnswerText(PROMPT, TOKENS));
    await callJson(`${first}/cancel`, { attemptId: 'a' });
    for (const url of [prefill, first, second]) {
      // eslint-disable-next-line no-await-in-loop -- three small reads
      expect(await callJson(`${url}/holds`)).to.deep.equal([]);
    }
  } finally {
    for (const { child } of engines) child.kill('SIGKILL');
  }
});

it('engine: the prefix cache is limited, and its events are late and have gaps', () => {
  const cache = new PrefixCache({ blocks: 2, eventGap: 2, eventLagMs: 100 });
  cache.add(['a', 'b', 'c'] as never, 0);
  expect(cache.countHits(['a'] as never)).to.equal(0);
  expect(cache.countHits(['b', 'c'] as never)).to.equal(2);
  cache.add(['d'] as never, 50);
  expect(cache.readEvents(0, 99).events).to.deep.equal([]);
  const { events, latest } = cache.readEvents(0, 150);
  expect(events.map(({ sequence }) => sequence)).to.deep.equal([1, 3]);
  expect(latest).to.equal(3);
});
