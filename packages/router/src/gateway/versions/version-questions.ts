/**
 * Reads from the store itself at which software versions streams may have begun. What this VM was told
 * before may be older than a stream that its caller goes on with; a reading that begins after the
 * caller came is not.
 */

import type { StreamOrigin } from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import { readTable } from '../../feeds/table-feed.js';
import type { Logger } from '../../logging/logger.js';
import { makeChannel, offer, receive, type Task } from '../../tasks/tasks.js';
import type { GatewayPorts } from '../ports.js';
import { MEMBERS_TABLE } from '../registry.js';
import { decodeVersionRows } from './version-rows.js';

/** Where streams of some services may have begun; undefined if the store did not tell. */
export type OnVersionsRead = (used: readonly StreamOrigin[] | undefined) => void;

/** Questions that are answered by readings of the store. */
export type VersionQuestions = {
  readonly ask: (services: readonly ServiceName[], onRead: OnVersionsRead) => void;
  readonly run: () => Task;
};

/** What the questions work with. */
export type VersionQuestionsParts = {
  readonly ports: Pick<GatewayPorts, 'store' | 'upstreams'>;
  readonly logger: Logger;
};

type Question = { readonly services: readonly ServiceName[]; readonly onRead: OnVersionsRead };

/** A caller waits meanwhile. */
const READ_TIMEOUT_MS = 400;

/** Reads the versions of the listed servers, then those that have a row. */
function* readVersions({ ports }: VersionQuestionsParts): Task<StreamOrigin[] | undefined> {
  const { store, upstreams } = ports;
  const servers = yield* readTable(store, upstreams.table, READ_TIMEOUT_MS);
  if (servers.kind !== 'ok') return undefined;
  const members = yield* readTable(store, MEMBERS_TABLE, READ_TIMEOUT_MS);
  if (members.kind !== 'ok') return undefined;
  const origins: StreamOrigin[] = [];
  for (const { key, value } of servers.value.rows) {
    const decoded = value && upstreams.decode(key, value);
    if (decoded?.kind !== 'usable') continue;
    const { service, softwareVersion } = decoded.value;
    origins.push({ service, softwareVersion });
  }
  for (const { service, softwareVersion } of decodeVersionRows(members.value.rows).values()) {
    origins.push({ service, softwareVersion });
  }
  return origins;
}

/** Makes the questions; those that come during a reading wait for the next one. */
export function makeVersionQuestions(parts: VersionQuestionsParts): VersionQuestions {
  const wakeups = makeChannel<true>(1);
  let waiting: Question[] = [];
  return {
    ask: (services, onRead) => {
      waiting.push({ services, onRead });
      offer(wakeups, true);
    },
    run: function* run() {
      for (;;) {
        yield* receive(wakeups);
        const asked = waiting;
        waiting = [];
        if (asked.length === 0) continue;
        const used = yield* readVersions(parts);
        parts.logger.info(
          { questions: asked.length, used },
          'versions: the store was asked where streams may have begun',
        );
        for (const { services, onRead } of asked) {
          onRead(used?.filter(({ service }) => services.includes(service)));
        }
      }
    },
  };
}
