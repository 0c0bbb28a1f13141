/** Follows a table of the store: a full reading, then changes; notices when the store is away. */

import type { Logger } from '../logging/logger.js';
import type { RowChange, RowStore, StoreOutcome } from '../gateway/ports.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';

/** What the feed tells. */
export type FeedHandler = {
  /** Rows of a full reading; whatever is missing does not exist. */
  readonly onReplaced: (rows: readonly RowChange[]) => void;
  readonly onChanged: (rows: readonly RowChange[]) => void;
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
  /** Tells that the table should be followed no longer. */
  readonly isStopped: () => boolean;
};

const READ_TIMEOUT_MS = 1_500;
const ANSWER_SLACK_MS = 900;
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 600;

type Cursor = { version: number | undefined; isAway: boolean; failures: number };

function* readTable(store: RowStore, table: string): Task<StoreOutcome<RowChange[]> & { version?: number }> {
  const rows: RowChange[] = [];
  let from: string | undefined;
  for (;;) {
    const call = { table, timeoutMs: READ_TIMEOUT_MS, ...(from === undefined ? {} : { from }) };
    const outcome = yield* awaitPromise(store.readRows(call));
    if (outcome.kind !== 'ok') return outcome;
    rows.push(...outcome.value.rows);
    const last = outcome.value.rows.at(-1);
    if (!outcome.value.hasMore || last === undefined) {
      return { kind: 'ok', value: rows, version: outcome.value.version };
    }
    from = `${last.key}\0`;
  }
}

/** Follows a table until it is told to stop. */
export function* runTableFeed(
  store: RowStore,
  options: FeedOptions,
  handler: FeedHandler,
  logger: Logger,
): Task {
  const { table, holdMs, pauseMs, takeFraction } = options;
  const cursor: Cursor = { version: undefined, isAway: false, failures: 0 };

  function noteAnswer(): void {
    cursor.failures = 0;
    if (!cursor.isAway) return;
    cursor.isAway = false;
    logger.info({ table }, 'feeds: store is back');
    handler.onBack();
  }

  function* noteFailure(outcome: StoreOutcome<unknown>): Task {
    cursor.failures += 1;
    if (!cursor.isAway) {
      cursor.isAway = true;
      logger.warn({ table, outcome }, 'feeds: store is away');
      handler.onAway();
    }
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (cursor.failures - 1));
    yield* waitMs(backoffMs * (0.5 + takeFraction()));
  }

  while (!options.isStopped()) {
    if (cursor.version === undefined) {
      const outcome = yield* readTable(store, table);
      if (outcome.kind !== 'ok') {
        yield* noteFailure(outcome);
        continue;
      }
      noteAnswer();
      cursor.version = outcome.version;
      handler.onReplaced(outcome.value);
    } else {
      const call = { table, afterVersion: cursor.version, waitMs: holdMs };
      const timeoutMs = holdMs + ANSWER_SLACK_MS;
      const outcome = yield* awaitPromise(store.readChanges({ ...call, timeoutMs }));
      if (outcome.kind === 'history-lost') {
        logger.info({ table, version: cursor.version }, 'feeds: history lost, reading again');
        cursor.version = undefined;
        continue;
      }
      if (outcome.kind !== 'ok') {
        yield* noteFailure(outcome);
        continue;
      }
      noteAnswer();
      cursor.version = Math.max(cursor.version, outcome.value.version);
      if (outcome.value.rows.length > 0) handler.onChanged(outcome.value.rows);
    }
    yield* waitMs(pauseMs);
  }
}
