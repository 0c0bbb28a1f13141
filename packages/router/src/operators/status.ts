/** What a daemon tells operators about itself, its peers and the upstreams. */

import type { VmMember } from '@tarragonspool/core';
import type { RuleRevision, UpstreamId } from '@tarragonspool/protocol';
import type { ShardOwner } from '../allocation/allocation-task.js';
import type { RequestJournal } from '../journal/request-journal.js';
import type { PeerIdentity } from '../peers/peer-link.js';
import type { Directory } from '../upstreams/directory.js';

/** An upstream as operators see it. */
export type UpstreamStatus = {
  readonly upstreamId: UpstreamId;
  readonly service: string;
  readonly role?: string;
  readonly dataCentre: string;
  readonly isLeaving: boolean;
  /** Reservations of requests that arrived at this VM and have not ended. */
  readonly reservations?: number;
};

/** Answer of `GET /status`. */
export type DaemonStatus = PeerIdentity & {
  readonly isLeaving: boolean;
  readonly rulesRevision: RuleRevision;
  readonly entryVms: readonly string[];
  readonly peers: readonly VmMember[];
  /** VM that this one asks for places of each shard. */
  readonly shards: readonly ShardOwner[];
  readonly engines: readonly UpstreamStatus[];
  readonly servers: readonly UpstreamStatus[];
};

/** What the status is built from. */
export type StatusSources = {
  readonly self: PeerIdentity;
  readonly isLeaving: boolean;
  readonly rulesRevision: RuleRevision;
  readonly directory: Directory;
  readonly members: readonly VmMember[];
  readonly shards: readonly ShardOwner[];
  readonly journal: RequestJournal;
};

/** Counts the reservations of running requests on each upstream. */
export function countReservations(journal: RequestJournal): ReadonlyMap<UpstreamId, number> {
  const counts = new Map<UpstreamId, number>();
  for (const trace of journal.list()) {
    const attempt = trace.attempts.at(-1);
    if (trace.endedAt !== undefined || attempt === undefined) continue;
    if (attempt.endedAt !== undefined) continue;
    for (const upstreamId of [attempt.prefill, attempt.decode]) {
      if (upstreamId !== undefined) counts.set(upstreamId, (counts.get(upstreamId) ?? 0) + 1);
    }
  }
  return counts;
}

/** Builds the status of this daemon. */
export function buildStatus(sources: StatusSources): DaemonStatus {
  const { self, isLeaving, rulesRevision, directory, members, shards, journal } = sources;
  const reservations = countReservations(journal);
  const engines = [...directory.engines.values()].map((engine) => ({
    upstreamId: engine.upstreamId,
    service: engine.service,
    role: engine.role,
    dataCentre: engine.dataCentre,
    isLeaving: engine.isLeaving,
    reservations: reservations.get(engine.upstreamId) ?? 0,
  }));
  const servers = [...directory.servers.values()].map((server) => ({
    upstreamId: server.upstreamId,
    service: server.service,
    dataCentre: server.dataCentre,
    isLeaving: server.isLeaving,
  }));
  const entryVms = directory.entryVms.map(({ vmId }) => vmId);
  return { ...self, isLeaving, rulesRevision, entryVms, peers: members, shards, engines, servers };
}
