import type {
  AttemptId,
  EngineHold,
  Incarnation,
  RequestId,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeAllocationInbox } from '../allocation/allocation-messages.js';
import { makeMetrics } from '../metrics/metrics.js';
import { offer, receive, startTask, type Task } from '../tasks/tasks.js';
import { makeDirectory, type Directory, type EngineEntry } from '../upstreams/directory.js';
import { makeCancelInbox, runCancels, type CancelInbox } from './cancel-task.js';
import type { EngineClient } from './engine-client.js';
import { runEnginePolls } from './engine-poll-task.js';

const ENGINE = 'e1' as UpstreamId;
const VM = 'vm-2' as VmId;
const logger = pino({ level: 'silent' });

function makeTestDirectory(client: Partial<EngineClient>): Directory {
  const directory = makeDirectory();
  const entry = { upstreamId: ENGINE, client } as unknown as EngineEntry;
  directory.engines = new Map([[ENGINE, entry]]);
  return directory;
}

function makeHold(attempt: string, incarnation: number): EngineHold {
  const owner = {
    requestId: attempt as RequestId,
    attemptId: attempt as AttemptId,
    vmId: VM,
    incarnation: incarnation as Incarnation,
    deadline: Date.now() + 60_000,
  };
  return { owner, kind: 'decode', pieces: 1 };
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) {
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

function start(body: () => Task): void {
  startTask('test', body, (_name, error) => {
    if (error !== undefined) throw error as Error;
  });
}

function startCancels(client: Partial<EngineClient>): CancelInbox {
  const inbox = makeCancelInbox();
  const parts = { directory: makeTestDirectory(client), metrics: makeMetrics(), logger };
  start(() => runCancels(inbox, parts));
  return inbox;
}

it('sweep: the owner of a shard cancels the holds of an incarnation that ended, and no others', async () => {
  const cancels = makeCancelInbox();
  const swept: AttemptId[] = [];
  let polls = 0;
  const directory = makeTestDirectory({
    readLoad: async () => undefined,
    probe: async () => true,
    readCacheEvents: async () => undefined,
    listHolds: async () => {
      polls += 1;
      return [makeHold('old', 4), makeHold('new', 5)];
    },
  });
  start(function* collect() {
    for (;;) {
      const message = yield* receive(cancels);
      if (message?.kind === 'cancel') swept.push(message.order.attemptId);
    }
  });
  start(() =>
    runEnginePolls({
      directory,
      allocation: makeAllocationInbox(),
      cancels,
      metrics: makeMetrics(),
      logger,
      listPolled: () => new Map([[ENGINE, 'shared']]),
      makeSweepView: () => ({
        incarnations: new Map([[VM, 5 as Incarnation]]),
        ended: new Map(),
      }),
    }),
  );
  await waitUntil(() => polls >= 2 && swept.length >= 1);
  expect(new Set(swept)).to.deep.equal(new Set(['old']));
});

it('cancels: a cancel is retried until the engine confirms it', async () => {
  let tries = 0;
  const inbox = startCancels({
    cancel: async () => {
      tries += 1;
      return tries === 3;
    },
  });
  const deadline = Date.now() + 60_000;
  const order = { upstreamId: ENGINE, attemptId: 'a' as AttemptId, deadline };
  offer(inbox, { kind: 'cancel', order });
  const ticker = setInterval(() => {
    offer(inbox, { kind: 'ticked', now: Date.now() + 10_000 });
  }, 5);
  await waitUntil(() => tries === 3);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  clearInterval(ticker);
  expect(tries).to.equal(3);
});

it('cancels: a cancel is not retried once the hold has lapsed', async () => {
  let tries = 0;
  const inbox = startCancels({
    cancel: async () => {
      tries += 1;
      return false;
    },
  });
  const deadline = Date.now() + 1_000;
  const order = { upstreamId: ENGINE, attemptId: 'a' as AttemptId, deadline };
  offer(inbox, { kind: 'cancel', order });
  await waitUntil(() => tries === 1);
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  offer(inbox, { kind: 'ticked', now: deadline });
  offer(inbox, { kind: 'ticked', now: deadline + 10_000 });
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  expect(tries).to.equal(1);
});
