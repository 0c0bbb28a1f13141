import { makeStorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { RowPage, RowStore, StoreOutcome } from '../gateway/ports.js';
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
  const options: FeedOptions = {
    table: 'op',
    isAgeBounded: true,
    holdMs: HOLD_MS,
    answerMs: ANSWER_MS,
    pauseMs: 1,
    getMaxBackoffMs: () => 600,
    takeFraction: () => 0.5,
    metrics: { storeCallsFailed: { inc: () => undefined } },
  };
  const handler = {
    onRows: () => undefined,
    onAway: () => run.aways.push('away'),
    onBack: () => run.aways.push('back'),
    onFirstEra: () => undefined,
    onRestored: () => undefined,
  };
  const feed = makeTableFeed(store, options, handler, pino({ level: 'silent' }));
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
