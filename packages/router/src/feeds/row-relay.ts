/**
 * Asks a peer for the rows that the store does not give this VM. The store may turn some VMs away
 * while it serves others; what those know is as good as the store's own answer.
 */

import type { PeerMessage, RowsMessage, VmId } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import type { TableFeed } from './table-feed.js';

/** The relay of one VM. */
export type RowRelay = {
  /** Asks for what is missing, if the store is away for this VM. */
  readonly askPeers: () => void;
  readonly handleMessage: (from: VmId, message: RowsMessage) => void;
};

/** What the relay works with. */
export type RowRelayParts = {
  readonly feeds: readonly TableFeed[];
  /** A live peer that the store answers; undefined if there is none. */
  readonly choosePeer: () => VmId | undefined;
  readonly sendTo: (vmId: VmId, message: PeerMessage) => void;
  readonly logger: Logger;
};

/** Makes the relay. */
export function makeRowRelay(parts: RowRelayParts): RowRelay {
  const { feeds, sendTo, logger } = parts;
  const byTable = new Map(feeds.map((feed) => [feed.table, feed]));

  function answer(to: VmId, table: string, afterVersion: number): void {
    const feed = byTable.get(table);
    if (feed === undefined || feed.isAway()) return;
    const { version, isFull, rows } = feed.cache.copySince(afterVersion);
    sendTo(to, { kind: 'rows-copy', table, version, isFull, rows });
  }

  return {
    askPeers: () => {
      const away = feeds.filter((feed) => feed.isAway());
      if (away.length === 0) return;
      const peer = parts.choosePeer();
      if (peer === undefined) return;
      for (const { table, cache } of away) {
        sendTo(peer, { kind: 'rows-wanted', table, afterVersion: cache.getVersion() });
      }
    },
    handleMessage: (from, message) => {
      const { table } = message;
      if (message.kind === 'rows-wanted') {
        answer(from, table, message.afterVersion);
        return;
      }
      const feed = byTable.get(table);
      if (feed === undefined || !feed.isAway()) return;
      const rows = message.rows.map(({ key, version, value }) => ({
        key,
        version,
        value: value && Buffer.from(value),
      }));
      if (rows.length > 0) logger.info({ table, from, rows: rows.length }, 'feeds: rows of a peer');
      feed.applyCopy({ version: message.version, isFull: message.isFull, rows });
    },
  };
}
