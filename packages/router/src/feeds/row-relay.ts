/**
 * Passes rows of the store between VMs: each VM tells how far it knows each table, and a VM that does
 * not read the store itself, or cannot, asks for what it lacks.
 */

import type {
  PeerMessage,
  RowsMessage,
  StorePosition,
  TablePosition,
  VmId,
} from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { TableFeed } from './table-feed.js';

/** The relay of one VM. */
export type RowRelay = {
  /** Lists how far this VM knows each table. */
  readonly listPositions: () => TablePosition[];
  /** Asks a peer for the tables that it knows further than this VM. */
  readonly askPeer: (from: VmId, positions: readonly TablePosition[]) => void;
  readonly handleMessage: (from: VmId, message: RowsMessage) => void;
};

/** What the relay works with. */
export type RowRelayParts = {
  readonly feeds: readonly TableFeed[];
  /** Least age of a table as peers know it that know no more of it than this position. */
  readonly measurePeerAgeMs: (table: string, position: StorePosition) => number;
  readonly sendTo: (vmId: VmId, message: PeerMessage) => void;
  readonly logger: Logger;
};

/** Age that stands for no knowledge of the store. */
export const UNKNOWN_AGE_MS = 3_600_000;
/** A peer that has not answered within this time is not waited for. */
const ANSWER_TIMEOUT_MS = 400;

/** Makes the relay. */
export function makeRowRelay(parts: RowRelayParts): RowRelay {
  const { feeds, sendTo, logger } = parts;
  const byTable = new Map(feeds.map((feed) => [feed.table, feed]));
  const askedUntil = new Map<string, number>();

  /** Latest time, for each table, of which this VM is known to know its rows. */
  const knownAt = new Map<string, number>();

  /** Measures how old this VM's knowledge of a table is, read by itself or told by peers. */
  function measureAgeMs({ table, cache, getAnsweredAt }: TableFeed): number {
    const now = getSteadyMs();
    const toldAt = now - parts.measurePeerAgeMs(table, cache.getPosition());
    const readAt = getAnsweredAt() === 0 ? -Infinity : getAnsweredAt();
    const latest = Math.max(knownAt.get(table) ?? -Infinity, toldAt, readAt);
    knownAt.set(table, latest);
    return Math.min(UNKNOWN_AGE_MS, now - latest);
  }

  function answer(to: VmId, message: Extract<RowsMessage, { kind: 'rows-wanted' }>): void {
    const { table, afterVersion } = message;
    const feed = byTable.get(table);
    if (feed === undefined || !feed.cache.isComplete()) return;
    const { position, isFull, rows } = feed.cache.copySince(afterVersion);
    const items = rows.map(({ key, position: version, value }) => ({ key, version, value }));
    sendTo(to, { kind: 'rows-copy', table, version: position, isFull, rows: items });
  }

  function takeCopy(from: VmId, message: Extract<RowsMessage, { kind: 'rows-copy' }>): void {
    const { table, version: position, isFull } = message;
    const feed = byTable.get(table);
    if (feed === undefined) return;
    askedUntil.delete(table);
    // Changes are complete only for a VM that has read the table before.
    if (!isFull && !feed.cache.isComplete()) return;
    const rows = message.rows.map(({ key, version, value }) => ({
      key,
      position: version,
      value: value && Buffer.from(value),
    }));
    logger.debug({ table, from, position, rows: rows.length }, 'feeds: rows of a peer');
    feed.applyCopy({ position, isFull, rows }, from);
  }

  return {
    listPositions: () => {
      const known = feeds.filter(({ cache }) => cache.isComplete());
      return known.map((feed) => {
        const { table, cache, isAgeBounded } = feed;
        const age = isAgeBounded ? { ageMs: measureAgeMs(feed) } : {};
        return { table, position: cache.getPosition(), ...age };
      });
    },
    askPeer: (from, positions) => {
      const now = getSteadyMs();
      for (const { table, position } of positions) {
        const feed = byTable.get(table);
        const needsPeers = feed !== undefined && (feed.getSource() === 'peers' || feed.isAway());
        if (!needsPeers || position <= feed.cache.getPosition()) continue;
        if ((askedUntil.get(table) ?? 0) > now) continue;
        askedUntil.set(table, now + ANSWER_TIMEOUT_MS);
        sendTo(from, { kind: 'rows-wanted', table, afterVersion: feed.cache.getPosition() });
      }
    },
    handleMessage: (from, message) => {
      if (message.kind === 'rows-wanted') answer(from, message);
      else takeCopy(from, message);
    },
  };
}
