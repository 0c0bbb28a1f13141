/** Follows a table of the store: a full reading, then changes; notices when the store is away. */

import type { Logger } from '../logging/logger.js';
import type { RowChange, RowStore, StoreOutcome } from '../gateway/ports.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeRowCache, type RowCache, type RowCopy } from './row-cache.js';

/** Hears of a followed table. */
export type FeedHandler = {
  /** Rows that are news, removals included. */
  readonly onRows: (rows: readonly RowChange[]) => void;
  readonly onAway: () => void;
  readonly onBack: () => void;
};

/** How a table is followed. */
export type FeedOptions = {
  readonly table: string;
  /** How long the store holds a call that has nothing to tell. */
  readonly holdMs: number;
  /** Pause between calls, so that changes come in batches. */
  readonly pauseMs: number;
  readonly takeFraction: () => number;
};

/** A table that is followed. */
export type TableFeed = {
  readonly table: string;
  readonly run: () => Task;
  readonly isAway: () => boolean;
  readonly cache: RowCache;
  /** Takes what a peer knows, for the time that the store does not answer this VM. */
  readonly applyCopy: (copy: RowCopy) => void;
};

const READ_TIMEOUT_MS = 1_500;
const ANSWER_SLACK_MS = 900;
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 600;
/** Single calls fail now and then; peers are told of an outage that lasts. */
const AWAY_AFTER_MS = 500;

type Reading = { readonly rows: readonly RowChange[]; readonly version: number };

function* readTable(store: RowStore, table: string): Task<StoreOutcome<Reading>> {
  const rows: RowChange[] = [];
  let from: string | undefined;
  for (;;) {
    const call = { table, timeoutMs: READ_TIMEOUT_MS, ...(from === undefined ? {} : { from }) };
    const outcome = yield* awaitPromise(store.readRows(call));
    if (outcome.kind !== 'ok') return outcome;
    const { value } = outcome;
    rows.push(...value.rows);
    const last = value.rows.at(-1);
    if (!value.hasMore || last === undefined) {
      return { kind: 'ok', value: { rows, version: value.version } };
    }
    from = `${last.key}\0`;
  }
}

/** Makes a feed; it follows its table once it is run. */
export function makeTableFeed(
  store: RowStore,
  options: FeedOptions,
  handler: FeedHandler,
  logger: Logger,
): TableFeed {
  const { table, holdMs, pauseMs, takeFraction } = options;
  const cache = makeRowCache();
  let awaySince = Infinity;
  let failures = 0;
  /** Version up to which the store's own answers were read. */
  let cursor: number | undefined;

  function tell(rows: readonly RowChange[]): void {
    if (rows.length > 0) handler.onRows(rows);
  }

  function noteAnswer(): void {
    failures = 0;
    if (awaySince === Infinity) return;
    awaySince = Infinity;
    logger.info({ table }, 'feeds: store is back');
    handler.onBack();
  }

  function* noteFailure(outcome: StoreOutcome<unknown>): Task {
    failures += 1;
    if (awaySince === Infinity) {
      awaySince = getSteadyMs();
      logger.warn({ table, outcome }, 'feeds: store is away');
      handler.onAway();
    }
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failures - 1));
    yield* waitMs(backoffMs * (0.5 + takeFraction()));
  }

  function* readAll(): Task {
    const outcome = yield* readTable(store, table);
    if (outcome.kind !== 'ok') {
      yield* noteFailure(outcome);
      return;
    }
    noteAnswer();
    const { rows, version } = outcome.value;
    cursor = version;
    // The first reading is news even if the table is empty.
    handler.onRows(cache.replaceRows(rows, version));
    yield* waitMs(pauseMs);
  }

  function* readOn(afterVersion: number): Task {
    const call = { table, afterVersion, waitMs: holdMs, timeoutMs: holdMs + ANSWER_SLACK_MS };
    const outcome = yield* awaitPromise(store.readChanges(call));
    if (outcome.kind === 'history-lost') {
      logger.info({ table, afterVersion }, 'feeds: history lost, reading again');
      cursor = undefined;
      return;
    }
    if (outcome.kind !== 'ok') {
      yield* noteFailure(outcome);
      return;
    }
    noteAnswer();
    const { rows, version } = outcome.value;
    cursor = Math.max(afterVersion, version);
    tell(cache.applyRows(rows, version));
    yield* waitMs(pauseMs);
  }

  return {
    table,
    cache,
    isAway: () => getSteadyMs() - awaySince > AWAY_AFTER_MS,
    applyCopy: ({ rows, version, isFull }) => {
      tell(isFull ? cache.replaceRows(rows, version) : cache.applyRows(rows, version));
    },
    run: function* run() {
      for (;;) {
        if (cursor === undefined) yield* readAll();
        else yield* readOn(cursor);
      }
    },
  };
}
