import { makeStorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { RowChange, RowPage, RowStore, StoreOutcome } from '../gateway/ports.js';
import { startTask } from '../tasks/tasks.js';
import { makeTableFeed, type FeedOptions } from './table-feed.js';

const HOLD_MS = 50;
const ANSWER_MS = 40;
const POSITION = makeStorePosition(0, 5);
const PAGE: StoreOutcome<RowPage> = {
  kind: 'ok',
  value: { rows: [], position: POSITION, hasMore: false, storeNowMs: 0 },
};
const LOST_ON_KEPT = { kind: 'unanswered', connection: 'kept' } as const;
const LOST_ON_NEW = { kind: 'unanswered', connection: 'new' } as const;

type Seen = { readonly at: number; readonly timeoutMs: number };
type Run = { readonly calls: Seen[]; readonly aways: string[] };

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

const OPTIONS: FeedOptions = {
  table: 'op',
  isAgeBounded: true,
  holdMs: HOLD_MS,
  answerMs: ANSWER_MS,
  pauseMs: 1,
  getMaxBackoffMs: () => 600,
  takeFraction: () => 0.5,
  metrics: { storeCallsFailed: { inc: () => undefined } },
};
const IGNORE_ALL = {
  onRows: () => undefined,
  onAway: () => undefined,
  onBack: () => undefined,
  onFirstEra: () => undefined,
  onRestored: () => undefined,
};
const LOGGER = pino({ level: 'silent' });

/** Follows a table of a store that answers the calls for changes like this, the last one for ever. */
async function follow(outcomes: readonly StoreOutcome<RowPage>[], forMs: number): Promise<Run> {
  const run: Run = { calls: [], aways: [] };
  const store: RowStore = {
    readRows: () => Promise.resolve(PAGE),
    readChanges: async ({ timeoutMs }) => {
      run.calls.push({ at: performance.now(), timeoutMs });
      await pause(1);
      return outcomes[run.calls.length - 1] ?? outcomes.at(-1) ?? PAGE;
    },
    write: () => Promise.resolve({ kind: 'conflict' }),
  };
  const handler = {
    ...IGNORE_ALL,
    onAway: () => run.aways.push('away'),
    onBack: () => run.aways.push('back'),
  };
  const feed = makeTableFeed(store, OPTIONS, handler, LOGGER);
  startTask('feed', feed.run, () => undefined);
  await pause(forMs);
  return run;
}

// Guards against a wait after a call that was lost with its connection, when the store itself is well.
it('table feed: after a call is lost on a kept connection the next one follows at once', async () => {
  const { calls, aways } = await follow([LOST_ON_KEPT, PAGE], 100);
  expect(aways).to.deep.equal([]);
  expect(calls.length).to.be.greaterThan(2);
});

it('table feed: a store that answers on no new connection either is away and called more rarely', async () => {
  const { calls, aways } = await follow([LOST_ON_KEPT, LOST_ON_NEW], 500);
  expect(aways).to.deep.equal(['away']);
  expect(calls.length).to.be.lessThan(5);
});

// Guards against a slow store that is given up by each call a little before its answer.
it('table feed: the time for an answer grows while a store is slow, and shrinks after it', async () => {
  const { calls } = await follow([LOST_ON_NEW, LOST_ON_NEW, PAGE], 800);
  const times = calls.map(({ timeoutMs }) => timeoutMs - HOLD_MS);
  expect(times.slice(0, 3)).to.deep.equal([ANSWER_MS, 2 * ANSWER_MS, 4 * ANSWER_MS]);
  expect(times.at(-1)).to.equal(ANSWER_MS);
});

function buildRow(key: string, version: number): RowChange {
  return { key, position: makeStorePosition(0, version), value: Buffer.from(`${version}`) };
}

function buildPage(rows: RowChange[], version: number, hasMore: boolean): StoreOutcome<RowPage> {
  const position = makeStorePosition(0, version);
  return { kind: 'ok', value: { rows, position, hasMore, storeNowMs: 0 } };
}

// Guards against a row that is never read: it changed after its page and before the last one.
it('table feed: a row that changes while a table is read in pages is told of', async () => {
  const store: RowStore = {
    readRows: ({ from }) =>
      Promise.resolve(
        from === undefined
          ? buildPage([buildRow('a', 3)], 5, true)
          : buildPage([buildRow('b', 4)], 6, false),
      ),
    readChanges: async ({ after }) => {
      await pause(1);
      return buildPage(after < 6 ? [buildRow('a', 6)] : [], 6, false);
    },
    write: () => Promise.resolve({ kind: 'conflict' }),
  };
  const feed = makeTableFeed(store, OPTIONS, IGNORE_ALL, LOGGER);
  startTask('feed', feed.run, () => undefined);
  await pause(50);
  const known = feed.cache.listRows().map(({ key, value }) => `${key}=${String(value)}`);
  expect(known.sort()).to.deep.equal(['a=6', 'b=4']);
});

it('table feed: pages of before and after a restore are not put together', async () => {
  const restored = makeStorePosition(1, 2);
  const news = { key: 'a', position: restored, value: Buffer.from('new') };
  let reads = 0;
  const store: RowStore = {
    readRows: ({ from }) => {
      reads += 1;
      if (reads === 1) return Promise.resolve(buildPage([buildRow('a', 3)], 5, true));
      const rows = from === undefined ? [news] : [];
      return Promise.resolve({
        kind: 'ok',
        value: { rows, position: restored, hasMore: false, storeNowMs: 0 },
      });
    },
    readChanges: () => pause(1_000).then(() => LOST_ON_NEW),
    write: () => Promise.resolve({ kind: 'conflict' }),
  };
  const feed = makeTableFeed(store, OPTIONS, IGNORE_ALL, LOGGER);
  startTask('feed', feed.run, () => undefined);
  await pause(50);
  expect(feed.cache.listRows()).to.deep.equal([news]);
});
