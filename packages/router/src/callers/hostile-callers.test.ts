import { createHash } from 'node:crypto';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { buildDocument, makeRetryBudget } from '@tarragonspool/core';
import type {
  DataCentre,
  DecodeOrder,
  Incarnation,
  ReservationGrant,
  RuleRevision,
  UpstreamId,
  VmId,
  VmRecord,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeAllocationInbox, type AllocationInbox } from '../allocation/allocation-messages.js';
import { makeCancelInbox, type CancelInbox } from '../engines/cancel-task.js';
import { makeInvariants } from '../invariants/invariants.js';
import { makeRequestJournal } from '../journal/request-journal.js';
import {
  makeDuplicateFilter,
  makeDuplicateInbox,
  runDuplicateGuard,
} from '../claims/duplicate-task.js';
import { makeLedgerInbox } from '../claims/claim-ledger.js';
import { makeQuarantine } from '../quarantine/quarantine-task.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { HELD_LIMITS } from '../intake/held-limits-test-kit.js';
import { makeMetrics } from '../metrics/metrics.js';
import { makeChatFilters } from '../requests/chat-filters.js';
import { makeRulesView } from '../rules/rules-view.js';
import { offer, receive, startTask, type Task } from '../tasks/tasks.js';
import { applyVmList, makeDirectory } from '../upstreams/directory.js';
import { makeAuthenticateFilter } from './authenticate.js';
import { makeCallerServer } from './caller-server.js';
import { makeReadBodyFilter } from './read-body-filter.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const KEY = 'good-key';
const MAX_BODY_BYTES = 10_000;
const BODY_TIMEOUT_MS = 150;
const FLOOD_TOKENS = 30_000;
const BATCH_TOKENS = 64;
const HEADERS = `host: x\r\nauthorization: Bearer ${KEY}\r\n`;

let callers: Server;
let engine: Server;
const cancelled: string[] = [];
let openDecodes = 0;
const ended: string[] = [];

function startListening(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Answers prefills at once and decodes as fast as it is read. */
function answerAsEngine(path: string, text: string, response: ServerResponse): void {
  if (path === '/prefill') {
    response.end(JSON.stringify({ promptTokens: 5, cachedTokens: 0, kvBytes: 1 }));
    return;
  }
  const { attemptId } = (JSON.parse(text) as DecodeOrder).owner;
  openDecodes += 1;
  response.on('close', () => {
    openDecodes -= 1;
  });
  response.write(`${JSON.stringify({ kind: 'imported', attemptId })}\n`);
  let index = 0;
  const writeMore = (): void => {
    for (let count = 0; count < BATCH_TOKENS; count += 1) {
      const frame = { kind: 'token', attemptId, index, text: 'x'.repeat(2_000) };
      index += 1;
      response.write(`${JSON.stringify(frame)}\n`);
    }
    if (index < FLOOD_TOKENS && !response.destroyed) setTimeout(writeMore, 1);
  };
  writeMore();
}

function makeEngine(): Server {
  return createServer((incoming, response) => {
    let text = '';
    incoming.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    incoming.on('end', () => answerAsEngine(incoming.url ?? '', text, response));
  });
}

function* grantAll(allocation: AllocationInbox): Task {
  for (;;) {
    const message = yield* receive(allocation);
    if (message?.kind !== 'ask') continue;
    const { attemptId } = message.ask;
    const grant = {
      attemptId,
      reservationId: attemptId as string,
      prefill: 'p1',
      decode: 'e1',
      prefillAt: 0,
      startDeadline: Infinity,
      predictedFirstTokenAt: message.now,
      predictedAnswerAt: message.now,
    } as unknown as ReservationGrant;
    offer(message.requestInbox, { kind: 'granted', grant, now: message.now });
  }
}

function* recordCancels(cancels: CancelInbox): Task {
  for (;;) {
    const message = yield* receive(cancels);
    if (message?.kind === 'cancel') cancelled.push(message.order.upstreamId);
  }
}

function makeView(): ReturnType<typeof makeRulesView> {
  const digest = createHash('sha256').update(KEY).digest('hex');
  const text = `caller team key-sha256=${digest}  # test\nallow team scribe  # test\n`;
  const built = buildDocument(text, 1 as RuleRevision);
  const view = makeRulesView();
  if (built.kind !== 'document') throw new Error('bad rules');
  view.document = built.document;
  view.ruleSet = built.document.ruleSet;
  return view;
}

async function startServers(): Promise<void> {
  engine = makeEngine();
  const url = `http://${HOST}:${await startListening(engine)}`;
  const record = {
    kind: 'engine',
    upstreamId: 'e1' as UpstreamId,
    incarnation: 0 as Incarnation,
    service: 'scribe',
    models: ['scribe'],
    role: 'prefill',
    dataCentre: 'a',
    state: 'live',
    url,
    isFencing: true,
  } as unknown as VmRecord;
  const directory = makeDirectory();
  const prefillRecord = { ...record, upstreamId: 'p1' as UpstreamId } as VmRecord;
  applyVmList(directory, [record, prefillRecord], () => false);
  const metrics = makeMetrics();
  const logger = pino({ level: 'silent' });
  const view = makeView();
  const allocation = makeAllocationInbox();
  const cancels = makeCancelInbox();
  startTask(
    'grants',
    () => grantAll(allocation),
    () => undefined,
  );
  startTask(
    'cancels',
    () => recordCancels(cancels),
    () => undefined,
  );
  const parts = {
    vmId: 'vm-1' as VmId,
    incarnation: 1 as Incarnation,
    dataCentre: 'a' as DataCentre,
    directory,
    allocation,
    cancels,
    objective: 'tail' as const,
    claims: makeLedgerInbox(),
    quarantine: makeQuarantine(),
    budget: makeRetryBudget(),
    invariants: makeInvariants(metrics, logger, true),
    metrics,
  };
  const readBody = makeReadBodyFilter(MAX_BODY_BYTES, {
    timeoutMs: BODY_TIMEOUT_MS,
    heldBytes: makeHeldBytes(() => HELD_LIMITS),
  });
  const duplicates = makeDuplicateInbox();
  const sendTo = (): boolean => false;
  startTask(
    'duplicates',
    () => runDuplicateGuard(duplicates, { self: parts, sendTo, metrics }),
    () => undefined,
  );
  const chatFilters = makeChatFilters(parts, view, readBody);
  const chat = [makeAuthenticateFilter(view), makeDuplicateFilter(duplicates, chatFilters)];
  callers = makeCallerServer({
    routes: { chat, models: [], service: [] },
    isReady: () => true,
    isLeaving: () => false,
    keepAliveMs: 1_000,
    journal: makeRequestJournal(10),
    onEnded: (trace) => ended.push(trace.result ?? ''),
    metrics,
    logger,
  });
  await startListening(callers);
}

let started: Promise<void> | undefined;

/** Starts the servers with the first test that needs them. */
function setUp(): Promise<void> {
  started ??= startServers();
  return started;
}

after(() => {
  if (started === undefined) return;
  for (const server of [callers, engine]) {
    server.closeAllConnections();
    server.close();
  }
});

function dial(): Socket {
  const socket = connect((callers.address() as AddressInfo).port, HOST);
  socket.on('error', () => undefined);
  return socket;
}

/** Sends bytes and reads what comes back until the answer names its result. */
function sendBytes(bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = dial();
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
      const name = /"name":"([a-z-]+)"/.exec(text)?.[1];
      if (name === undefined) return;
      resolve(`${/ (\d{3}) /.exec(text)?.[1]} ${name}`);
      socket.destroy();
    });
    socket.on('close', () => resolve(`closed after ${text.length} bytes`));
    socket.write(bytes);
  });
}

function makePost(body: string, headers = HEADERS, length = body.length): string {
  return `POST /v1/chat/completions HTTP/1.1\r\n${headers}content-length: ${length}\r\n\r\n${body}`;
}

function makeChat(model: string): string {
  const messages = [{ role: 'user', content: 'hello' }];
  return JSON.stringify({ model, messages, stream: true, max_tokens: 30_000 });
}

async function waitUntil(check: () => boolean | Promise<boolean>): Promise<void> {
  // eslint-disable-next-line no-await-in-loop -- polls one after another
  while (!(await check())) {
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

const REFUSED: readonly (readonly [string, string, string])[] = [
  ['a body over the limit', makePost('x'.repeat(MAX_BODY_BYTES + 1)), '413 body-too-large'],
  ['broken JSON', makePost('{"model":'), '400 malformed-json'],
  ['an unknown model', makePost(makeChat('other')), '404 unknown-model'],
  ['a missing key', makePost(makeChat('scribe'), 'host: x\r\n'), '401 missing-key'],
  [
    'a wrong key',
    makePost(makeChat('scribe'), 'host: x\r\nauthorization: Bearer bad-key\r\n'),
    '401 wrong-key',
  ],
  [
    'a flood of headers',
    makePost('{}', `${HEADERS}${'x-a: 1234567890\r\n'.repeat(2_000)}`),
    '431 headers-too-large',
  ],
  ['a slow body', makePost('{"mod', HEADERS, 500), '408 body-timeout'],
  ['bytes that are not HTTP', 'hello\r\n\r\n', '400 invalid-request'],
  [
    'a latency target that is no number',
    makePost(makeChat('scribe'), `${HEADERS}x-first-token-target-ms: soon\r\n`),
    '400 invalid-request',
  ],
  [
    'a latency target of zero',
    makePost(makeChat('scribe'), `${HEADERS}x-answer-target-ms: 0\r\n`),
    '400 invalid-request',
  ],
];

for (const [what, bytes, expected] of REFUSED) {
  it(`callers: ${what} gets a coded answer`, async () => {
    await setUp();
    expect(await sendBytes(bytes)).to.equal(expected);
  });
}

// Guards against bodies that fill the memory together, each within the limit of a body.
it('callers: beyond what bodies may take together the largest is refused, and others are read', async () => {
  await setUp();
  const bodyBytes = 9_000;
  const callersAtOnce = Math.ceil(HELD_LIMITS.bodyBytes / bodyBytes) + 5;
  const unfinished = makePost('x'.repeat(bodyBytes), HEADERS, bodyBytes + 1);
  const results = Array.from({ length: callersAtOnce }, () => sendBytes(unfinished));
  const names = new Set(await Promise.all(results));
  expect([...names].sort()).to.deep.equal(['408 body-timeout', '503 body-not-held']);
  expect(await sendBytes(makePost(makeChat('other')))).to.equal('404 unknown-model');
});

it('callers: a client that never reads is cut off and its place freed', async () => {
  await setUp();
  cancelled.length = 0;
  ended.length = 0;
  const socket = dial();
  socket.pause();
  socket.write(makePost(makeChat('scribe')));
  await waitUntil(() => ended.includes('caller-gone'));
  await waitUntil(() => cancelled.includes('e1') && openDecodes === 0);
  socket.destroy();
});

it('callers: a client that hangs up in mid-stream has its place freed', async () => {
  await setUp();
  cancelled.length = 0;
  ended.length = 0;
  const socket = dial();
  socket.write(makePost(makeChat('scribe')));
  socket.once('data', () => socket.destroy());
  await waitUntil(() => ended.includes('caller-gone'));
  await waitUntil(() => cancelled.includes('e1'));
});

it('callers: a request id that is running is refused', async () => {
  await setUp();
  const headers = `${HEADERS}x-request-id: same-request-id\r\n`;
  const first = dial();
  first.write(makePost(makeChat('scribe'), headers));
  await new Promise((resolve) => {
    first.once('data', resolve);
  });
  expect(await sendBytes(makePost(makeChat('scribe'), headers))).to.equal('409 duplicate-request');
  first.destroy();
});
