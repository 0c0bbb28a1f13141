import type { EngineHold } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { makeAnswerText } from '../engine/token-text.js';
import { callJson, digestKey, startDeployment, type Deployment } from '../harness/deployment.js';
import { waitFor, waitUntil } from '../harness/processes.js';

const BASE_PORT = 22_100;
const KEY = 'test-caller-key';
const MODEL = 'scribe';
const MAX_TOKENS = 60;
const WAIT_MS = 8_000;

type Answer = { readonly status: number; readonly text: string; readonly isDone: boolean };

let deployment: Deployment;
let started: Promise<void> | undefined;

async function startAll(): Promise<void> {
  deployment = await startDeployment({
    basePort: BASE_PORT,
    entryVms: 3,
    prefillEngines: 2,
    decodeEngines: 3,
    ledgers: 0,
    modelService: MODEL,
    ledgerService: 'ledger',
    dataCentres: ['a'],
    daemonEnv: { TARRAGONSPOOL_ABORT_ON_VIOLATION: '1' },
  });
  const rules = `caller team key-sha256=${digestKey(KEY)}  # test\nallow team ${MODEL}  # test\n`;
  expect((await deployment.applyRules(rules)).code).to.equal(0);
}

/** Starts the processes with the first test that needs them. */
function setUp(): Promise<void> {
  started ??= startAll();
  return started;
}

after(() => {
  if (started !== undefined) deployment.kill();
});

function makePrompt(name: string): string {
  return `${name}: ${'declare the catch '.repeat(200)}`;
}

function startChat(vm: number, name: string, signal?: AbortSignal): Promise<Response> {
  return fetch(`${deployment.entryVms[vm]?.callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: MODEL,
      messages: [{ role: 'user', content: makePrompt(name) }],
      max_tokens: MAX_TOKENS,
      stream: true,
    }),
    ...(signal === undefined ? {} : { signal }),
  });
}

async function readAnswer(response: Response): Promise<Answer> {
  let text = '';
  let isDone = false;
  for (const line of (await response.text()).split('\n')) {
    if (line === 'data: [DONE]') isDone = true;
    if (!line.startsWith('data: {')) continue;
    const chunk = JSON.parse(line.slice('data: '.length)) as {
      choices?: { delta: { content?: string } }[];
    };
    text += chunk.choices?.[0]?.delta.content ?? '';
  }
  return { status: response.status, text, isDone };
}

function expectWhole(answer: Answer, name: string): void {
  const text = makeAnswerText(`user: ${makePrompt(name)}`, MAX_TOKENS);
  expect(answer).to.deep.equal({ status: 200, text, isDone: true });
}

/** Finds the engine that decodes for the only request under way. */
async function findDecoder(): Promise<number> {
  let found = -1;
  await waitUntil('a decode stream', Date.now() + WAIT_MS, async () => {
    for (const [index, engine] of deployment.engines.entries()) {
      // eslint-disable-next-line no-await-in-loop -- engines are few
      const holds = (await callJson(`${engine.url}/holds`).catch(() => [])) as EngineHold[];
      if (holds.some(({ kind }) => kind === 'decode')) found = index;
    }
    return found >= 0;
  });
  return found;
}

async function countHolds(): Promise<number> {
  let holds = 0;
  for (const engine of deployment.engines) {
    // eslint-disable-next-line no-await-in-loop -- engines are few
    holds += ((await callJson(`${engine.url}/holds`).catch(() => [])) as EngineHold[]).length;
  }
  return holds;
}

function waitUntilNothingHeld(): Promise<void> {
  return waitUntil('no holds', Date.now() + WAIT_MS, async () => (await countHolds()) === 0);
}

it('failures: a caller that hangs up in mid-stream frees its places', async () => {
  await setUp();
  const caller = new AbortController();
  const response = await startChat(0, 'hang-up', caller.signal);
  await response.body?.getReader().read();
  expect(await countHolds()).to.be.greaterThan(0);
  caller.abort();
  await waitUntilNothingHeld();
});

it('failures: a stream goes on whole when its decode engine dies', async () => {
  await setUp();
  const answer = startChat(0, 'engine-dies').then(readAnswer);
  const decoder = deployment.engines[await findDecoder()];
  await waitFor(200);
  decoder?.process.child.kill('SIGKILL');
  expectWhole(await answer, 'engine-dies');
  if (decoder !== undefined) decoder.process = decoder.start();
});

it('failures: a stream moves whole when its decode engine is frozen', async () => {
  await setUp();
  const answer = startChat(1, 'engine-freezes').then(readAnswer);
  const decoder = deployment.engines[await findDecoder()];
  await waitFor(200);
  decoder?.process.child.kill('SIGSTOP');
  const isWhole = answer.then((whole) => expectWhole(whole, 'engine-freezes'));
  try {
    await isWhole;
  } finally {
    decoder?.process.child.kill('SIGCONT');
  }
  await waitUntilNothingHeld();
});

it('failures: requests of other VMs are answered whole when the allocator VM dies', async () => {
  await setUp();
  const owner = await deployment.findAllocatorVm();
  const others = [0, 1, 2].filter((vm) => vm !== owner);
  const early = others.map((vm) => startChat(vm, `early-${vm}`).then(readAnswer));
  await waitFor(100);
  const entryVm = deployment.entryVms[owner];
  entryVm?.process.child.kill('SIGKILL');
  const late = others.map((vm) => startChat(vm, `late-${vm}`).then(readAnswer));
  for (const [at, vm] of others.entries()) {
    // eslint-disable-next-line no-await-in-loop -- all run at once
    expectWhole((await early[at]) as Answer, `early-${vm}`);
    // eslint-disable-next-line no-await-in-loop -- all run at once
    expectWhole((await late[at]) as Answer, `late-${vm}`);
  }
  if (entryVm !== undefined) entryVm.process = entryVm.start();
  await waitUntilNothingHeld();
});

it('failures: requests are answered whole while the allocator VM is frozen', async () => {
  await setUp();
  const prefix = 'frozen';
  await waitUntil('all VMs ready', Date.now() + WAIT_MS, async () => {
    const ready = await Promise.all(
      deployment.entryVms.map(({ callerUrl }) => fetch(`${callerUrl}/readyz`)),
    );
    return ready.every(({ ok }) => ok);
  });
  const owner = await deployment.findAllocatorVm();
  const others = [0, 1, 2].filter((vm) => vm !== owner);
  const frozen = deployment.entryVms[owner];
  frozen?.process.child.kill('SIGSTOP');
  try {
    const answers = others.map((vm) => startChat(vm, `${prefix}-${vm}`).then(readAnswer));
    for (const [at, vm] of others.entries()) {
      // eslint-disable-next-line no-await-in-loop -- all run at once
      expectWhole((await answers[at]) as Answer, `${prefix}-${vm}`);
    }
  } finally {
    frozen?.process.child.kill('SIGCONT');
  }
  await waitUntilNothingHeld();
});
