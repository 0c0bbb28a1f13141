/**
 * Keeps what is in quarantine in the store, beside the rows of the VMs, so that VMs that start know it.
 */

import type { QuarantinedParts } from '@tarragonspool/core';
import type { PromptPartId } from '@tarragonspool/protocol';
import type { Logger } from '../../logging/logger.js';
import {
  awaitPromise,
  makeChannel,
  offer,
  receive,
  type Channel,
  type Task,
} from '../../tasks/tasks.js';
import { waitMs } from '../../tasks/timers.js';
import type { ContentGuard } from './content-guard.js';
import { compareContentRows, findContentRowFault, type NamedContent } from './content-rows.js';
import type { PartGuard } from './part-guard.js';
import { comparePartRows, findPartRowFault } from './part-rows.js';
import type { RowChange, RowStore, RowWrite } from '../ports.js';
import { MEMBERS_TABLE } from '../registry.js';
import { compareSoundRows, findSoundRowFault } from './sound-rows.js';

const CALL_TIMEOUT_MS = 1_500;
const RETRY_WAIT_MS = 500;
/** A VM that judged from a peer's report leaves the row to that peer for this long. */
const PEER_WRITES_WITHIN_MS = 1_500;
/** Rows that one write puts or removes; further ones come with the next. */
const MAX_WRITTEN_ROWS = 40;

/** What a VM knows to be in quarantine. */
export type KnownQuarantine = {
  readonly parts: readonly QuarantinedParts[];
  readonly contents: readonly NamedContent[];
  /** Parts that were answered often. */
  readonly sound: readonly PromptPartId[];
  /** Keys of rows whose refusals have ended. */
  readonly lifted: ReadonlySet<string>;
};

/** Guards whose knowledge is compared with the rows. */
export type QuarantineGuards = {
  readonly partGuard: Pick<PartGuard, 'listQuarantined' | 'listOftenAnswered' | 'listLifted'>;
  readonly contentGuard: Pick<ContentGuard, 'listQuarantined' | 'listLifted'>;
};

/** Dependencies of the task that writes the rows. */
export type QuarantineRowsParts = QuarantineGuards & {
  readonly ports: { readonly store: Pick<RowStore, 'write'> };
  readonly takeFraction: () => number;
  readonly logger: Logger;
};

/** Finds why a row can't be used; undefined if it can, or is no row of the quarantine. */
export function findRowFault(row: RowChange): string | undefined {
  return findPartRowFault(row) ?? findContentRowFault(row) ?? findSoundRowFault(row);
}

/**
 * Builds the write of what rows lack, which also removes rows that have expired; undefined if they
 * lack nothing and name nothing that has ended.
 */
export function buildQuarantineWrite(
  { parts, contents, sound, lifted }: KnownQuarantine,
  rows: readonly RowChange[],
): RowWrite | undefined {
  const ofParts = comparePartRows(parts, lifted, rows);
  const ofContents = compareContentRows(contents, lifted, rows);
  const ofSound = compareSoundRows(sound, rows);
  const put = [...ofParts.put, ...ofContents.put, ...ofSound].slice(0, MAX_WRITTEN_ROWS);
  const remove = [...ofParts.remove, ...ofContents.remove].slice(0, MAX_WRITTEN_ROWS);
  const hasEnded = remove.some((key) => lifted.has(key));
  return put.length === 0 && !hasEnded ? undefined : { expected: [], put, remove };
}

/** Lists what this VM knows to be in quarantine. */
export function listKnownQuarantine({
  partGuard,
  contentGuard,
}: QuarantineGuards): KnownQuarantine {
  return {
    parts: partGuard.listQuarantined(),
    contents: contentGuard.listQuarantined(),
    sound: partGuard.listOftenAnswered(),
    lifted: new Set([...contentGuard.listLifted(), ...partGuard.listLifted()]),
  };
}

/** Why the rows are compared with what this VM knows. */
export type QuarantineWakeup = { readonly isOwnReport: boolean };

/** Makes the channel that wakes the task below. */
export function makeQuarantineWakeups(): Channel<QuarantineWakeup> {
  return makeChannel<QuarantineWakeup>(16);
}

/** Writes what this VM knows and the store's rows lack, whenever it is woken. */
export function* runQuarantineRows(
  parts: QuarantineRowsParts,
  wakeups: Channel<QuarantineWakeup>,
  listRows: () => readonly RowChange[],
): Task {
  const { ports, logger, takeFraction } = parts;
  for (;;) {
    const wakeup = yield* receive(wakeups);
    if (wakeup === undefined) return;
    if (!wakeup.isOwnReport) yield* waitMs(PEER_WRITES_WITHIN_MS * (1 + takeFraction()));
    const write = buildQuarantineWrite(listKnownQuarantine(parts), listRows());
    if (write === undefined) continue;
    const call = { table: MEMBERS_TABLE, write, timeoutMs: CALL_TIMEOUT_MS };
    const outcome = yield* awaitPromise(ports.store.write(call));
    logger.info(
      { rows: write.put.length, removed: write.remove.length, outcome },
      'quarantine: rows written to the store',
    );
    if (outcome.kind === 'ok') continue;
    yield* waitMs(RETRY_WAIT_MS * (0.5 + takeFraction()));
    offer(wakeups, { isOwnReport: true });
  }
}
