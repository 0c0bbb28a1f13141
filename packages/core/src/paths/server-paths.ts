/**
 * What one VM knows of its own way to each server: whether new connections open. Connections that are
 * open already prove nothing, since they may live on, or be silent, while new ones do not open. Times are
 * milliseconds on the steady clock of this VM.
 */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from '../routing/routing-types.js';

/** The start of a server to which new connections did not open. */
type LostPath = {
  readonly incarnation: number;
  /** When it was first seen that connections do not open. */
  readonly lostAt: number;
  /** When that was last tried. */
  triedAt: number;
};

/** The server of a path, as listed. */
export type PathServer = Pick<UpstreamRecord, 'upstreamId' | 'incarnation'>;

/** Paths of one VM; servers without an entry are taken for reachable. */
export type ServerPaths = {
  readonly lost: Map<UpstreamId, LostPath>;
  /** When a server was last heard, or a connection to one opened. */
  heardAt: number;
};

/** One server that does not answer may be down; of two, the way to them is the likelier fault. */
const MIN_LOST_SERVERS = 2;
/** Time between two attempts to open a connection to a server to which none opened. */
export const PATH_RETRY_MS = 500;

/** Makes the paths of a VM that has tried none. */
export function makeServerPaths(): ServerPaths {
  return { lost: new Map(), heardAt: -Infinity };
}

/** Records that a connection to a server opened; returns whether its path had been lost. */
export function recordOpened(paths: ServerPaths, { upstreamId }: PathServer, now: number): boolean {
  paths.heardAt = now;
  return paths.lost.delete(upstreamId);
}

/** Records that bytes of a server arrived on an open connection. */
export function recordHeard(paths: ServerPaths, now: number): void {
  paths.heardAt = now;
}

/** Records that no connection to a server opened; returns whether its path has just been lost. */
export function recordNotOpened(
  paths: ServerPaths,
  { upstreamId, incarnation }: PathServer,
  now: number,
): boolean {
  const known = paths.lost.get(upstreamId);
  if (known?.incarnation === incarnation) {
    known.triedAt = now;
    return false;
  }
  paths.lost.set(upstreamId, { incarnation, lostAt: now, triedAt: now });
  return true;
}

/** Whether no connection to this start of a server opened when it was last tried. */
export function isPathLost(paths: ServerPaths, { upstreamId, incarnation }: PathServer): boolean {
  return paths.lost.get(upstreamId)?.incarnation === incarnation;
}

/**
 * Whether this VM seems to be cut off from all servers: connections to several do not open, and nothing
 * was heard of any server since.
 */
export function isCutOff({ lost, heardAt }: ServerPaths): boolean {
  if (lost.size < MIN_LOST_SERVERS) return false;
  for (const { lostAt } of lost.values()) {
    if (lostAt <= heardAt) return false;
  }
  return true;
}

/** Lists the servers to which a connection is to be tried now, those first that were tried longest ago. */
export function listDuePaths({ lost }: ServerPaths, now: number): UpstreamId[] {
  const due = [...lost].filter(([, { triedAt }]) => triedAt + PATH_RETRY_MS <= now);
  due.sort(([, a], [, b]) => a.triedAt - b.triedAt);
  return due.map(([upstreamId]) => upstreamId);
}

/** Forgets the paths of servers that are not listed any more. */
export function forgetUnlistedPaths(
  { lost }: ServerPaths,
  records: ReadonlyMap<UpstreamId, PathServer>,
): void {
  for (const [upstreamId, { incarnation }] of lost) {
    if (records.get(upstreamId)?.incarnation !== incarnation) lost.delete(upstreamId);
  }
}
