/**
 * Follows a table of the store: a full reading, then changes; notices when the store is away or was
 * restored from an older copy. While peers pass the rows on, the store is not called.
 */

import type { FeedSource } from '@tarragonspool/core';
import { getEra, type StorePosition, type VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { RowChange, RowStore, StoreOutcome } from '../gateway/ports.js';
import { awaitPromise, makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeRowCache, type RowCache, type RowCopy } from './row-cache.js';

/** Where rows came from: the store's own answer, or the VM that passed them on. */
export type RowOrigin = 'store' | VmId;

/** Hears of a followed table. */
export type FeedHandler = {
  /** Rows that are news, removals included. */
  readonly onRows: (rows: readonly RowChange[], origin: RowOrigin) => void;
  readonly onAway: () => void;
  readonly onBack: () => void;
  /** The era of the first reading. */
  readonly onFirstEra: (era: number) => void;
  /** The store was restored from an older copy; its rows of the new era come next. */
  readonly onRestored: (era: number) => void;
};

/** How a table is followed. */
export type FeedOptions = {
  readonly table: string;
  /** Whether changes must be known within a bound, so that old knowledge is not relied on. */
  readonly isAgeBounded: boolean;
  /** How long the store holds a call that has nothing to tell. */
  readonly holdMs: number;
  /** Time for its answer after that; more after calls that a slow store did not answer in time. */
  readonly answerMs: number;
  /** Pause between calls, so that changes come in batches. */
  readonly pauseMs: number;
  /** Longest wait after a failed call; longer on VMs that many others stand in for. */
  readonly getMaxBackoffMs: () => number;
  readonly takeFraction: () => number;
  readonly metrics: {
    readonly storeCallsFailed: {
      readonly inc: (labels: { readonly table: string; readonly outcome: string }) => void;
    };
  };
};

/** A table that is followed. */
export type TableFeed = {
  readonly table: string;
  readonly isAgeBounded: boolean;
  readonly run: () => Task;
  readonly isAway: () => boolean;
  /** Whether this VM reads the table itself and the store answers. */
  readonly isReading: () => boolean;
  /** When the store last answered a call of this feed, on the steady clock; 0 before. */
  readonly getAnsweredAt: () => number;
  readonly setSource: (source: FeedSource) => void;
  readonly getSource: () => FeedSource;
  readonly cache: RowCache;
  /** Takes what a peer knows. */
  readonly applyCopy: (copy: RowCopy, from: VmId) => void;
};

const READ_TIMEOUT_MS = 1_500;
const MAX_ANSWER_MS = 1_500;
const ANSWER_GROWTH = 2;
const ANSWER_DECAY = 0.8;
const MIN_BACKOFF_MS = 150;
/** Single calls fail now and then; peers are told of an outage that lasts. */
const AWAY_AFTER_MS = 500;

/** All rows of a table as of one position. */
export type Reading = { readonly rows: readonly RowChange[]; readonly position: StorePosition };

/**
 * Reads a whole table. Its position is that of the first page: rows of it may have changed before the
 * last one was read, and are told of by the changes since.
 */
export function* readTable(
  store: RowStore,
  table: string,
  timeoutMs: number,
): Task<StoreOutcome<Reading>> {
  let rows: RowChange[] = [];
  let position: StorePosition | undefined;
  let from: string | undefined;
  for (;;) {
    const call = { table, timeoutMs, ...(from === undefined ? {} : { from }) };
    const outcome = yield* awaitPromise(store.readRows(call));
    if (outcome.kind !== 'ok') return outcome;
    const { value } = outcome;
    if (position !== undefined && getEra(value.position) !== getEra(position)) {
      // The store was restored between two pages.
      rows = [];
      position = undefined;
      from = undefined;
      continue;
    }
    position ??= value.position;
    rows.push(...value.rows);
    const last = value.rows.at(-1);
    if (!value.hasMore || last === undefined) return { kind: 'ok', value: { rows, position } };
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
  let { answerMs } = options;
  const cache = makeRowCache();
  const wakeups = makeChannel<true>(1);
  let source: FeedSource = 'store';
  let awaySince = Infinity;
  let answeredAt = 0;
  let failures = 0;
  /** Position up to which the store's own answers were read. */
  let cursor: StorePosition | undefined;

  function tell(rows: readonly RowChange[], origin: RowOrigin): void {
    if (rows.length > 0) handler.onRows(rows, origin);
  }

  function noteAnswer(): void {
    failures = 0;
    answerMs = Math.max(options.answerMs, answerMs * ANSWER_DECAY);
    if (awaySince === Infinity) return;
    awaySince = Infinity;
    logger.info({ table, source }, 'feeds: store is back');
    handler.onBack();
  }

  function noteEra(position: StorePosition): void {
    const era = getEra(position);
    if (!cache.isComplete()) {
      handler.onFirstEra(era);
      return;
    }
    if (era <= getEra(cache.getPosition())) return;
    logger.warn({ table, era, source }, 'feeds: store was restored from an older copy');
    handler.onRestored(era);
  }

  function* noteFailure(outcome: StoreOutcome<unknown>, calledAt: number): Task {
    failures += 1;
    const waitedMs = Math.round(getSteadyMs() - calledAt);
    options.metrics.storeCallsFailed.inc({ table, outcome: outcome.kind });
    logger.info({ table, outcome, waitedMs, failures }, 'feeds: call to the store failed');
    // Nothing is known of the store itself; the next call opens a connection.
    if (outcome.kind === 'unanswered' && outcome.connection === 'kept' && failures === 1) return;
    if (outcome.kind === 'unanswered') answerMs = Math.min(MAX_ANSWER_MS, answerMs * ANSWER_GROWTH);
    if (awaySince === Infinity) {
      awaySince = getSteadyMs();
      logger.warn({ table, outcome }, 'feeds: store is away');
      handler.onAway();
    }
    const backoffMs = Math.min(options.getMaxBackoffMs(), MIN_BACKOFF_MS * 2 ** (failures - 1));
    yield* waitMs(backoffMs * (0.5 + takeFraction()));
  }

  function* readAll(): Task {
    const calledAt = getSteadyMs();
    const outcome = yield* readTable(store, table, READ_TIMEOUT_MS);
    if (outcome.kind !== 'ok') {
      yield* noteFailure(outcome, calledAt);
      return;
    }
    noteAnswer();
    answeredAt = getSteadyMs();
    const { rows, position } = outcome.value;
    // A late answer from before a restore; the store of today is read next.
    if (getEra(position) < getEra(cache.getPosition())) return;
    noteEra(position);
    cursor = position;
    // The first reading is news even if the table is empty.
    handler.onRows(cache.replaceRows(rows, position), 'store');
    yield* waitMs(pauseMs);
  }

  function* readOn(after: StorePosition): Task {
    const call = { table, after, waitMs: holdMs, timeoutMs: holdMs + answerMs };
    const calledAt = getSteadyMs();
    const outcome = yield* awaitPromise(store.readChanges(call));
    if (outcome.kind === 'history-lost') {
      logger.info({ table, after }, 'feeds: history lost, reading again');
      cursor = undefined;
      return;
    }
    if (outcome.kind !== 'ok') {
      yield* noteFailure(outcome, calledAt);
      return;
    }
    noteAnswer();
    answeredAt = getSteadyMs();
    const { rows, position } = outcome.value;
    // Versions of another era do not continue those of the cursor.
    if (getEra(position) !== getEra(after)) {
      cursor = undefined;
      return;
    }
    if (position > after) cursor = position;
    tell(cache.applyRows(rows, position), 'store');
    yield* waitMs(pauseMs);
  }

  function isFed(): boolean {
    return source === 'peers' && cache.isComplete();
  }

  return {
    table,
    isAgeBounded: options.isAgeBounded,
    cache,
    isAway: () => !isFed() && getSteadyMs() - awaySince > AWAY_AFTER_MS,
    isReading: () => !isFed() && awaySince === Infinity && cache.isComplete(),
    getAnsweredAt: () => answeredAt,
    getSource: () => source,
    setSource: (next) => {
      if (next === source) return;
      source = next;
      const answeredAgoMs = answeredAt === 0 ? undefined : Math.round(getSteadyMs() - answeredAt);
      logger.info({ table, source, answeredAgoMs }, 'feeds: source of rows chosen');
      if (next === 'peers') noteAnswer();
      else offer(wakeups, true);
    },
    applyCopy: ({ rows, position, isFull }, from) => {
      noteEra(position);
      tell(isFull ? cache.replaceRows(rows, position) : cache.applyRows(rows, position), from);
    },
    run: function* run() {
      for (;;) {
        if (isFed()) {
          yield* receive(wakeups);
          // Peers have told of everything up to the position of the cache.
          cursor = cache.getPosition();
          continue;
        }
        if (cursor === undefined || getEra(cursor) !== getEra(cache.getPosition())) {
          yield* readAll();
        } else {
          yield* readOn(cursor);
        }
      }
    },
  };
}
