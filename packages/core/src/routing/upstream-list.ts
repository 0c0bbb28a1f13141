/**
 * One VM's list of servers. Entries that lapsed during an outage of the store are retained for a
 * grace period after it recovers, in which servers that are alive register again.
 */

import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';

/** How long entries that lapsed during an outage stay usable after the store recovers. */
export const GRACE_PERIOD_MS = 2_000;

/** Servers that have left and are remembered. */
const MAX_DEPARTED = 1_000;

/** The list of servers and its lapsed entries. */
export type UpstreamList = {
  readonly records: Map<UpstreamId, UpstreamRecord>;
  /** Until when each entry that lapsed during an outage stays usable. */
  readonly lapsedUntil: Map<UpstreamId, number>;
  /** Incarnations that were leaving when they were removed; an older copy may list them again. */
  readonly departed: Map<UpstreamId, number>;
  /** End of the grace period in which a removal counts as a lapse due to an outage. */
  gracePeriodEndsAt: number;
};

/** One change of the list; without a record, the entry was removed or cannot be decoded. */
export type UpstreamChange = {
  readonly upstreamId: UpstreamId;
  readonly record: UpstreamRecord | undefined;
  readonly isRemoved: boolean;
};

/** Makes an empty list. */
export function makeUpstreamList(): UpstreamList {
  return {
    records: new Map(),
    lapsedUntil: new Map(),
    departed: new Map(),
    gracePeriodEndsAt: 0,
  };
}

/** Starts the grace period when the store answers again after an outage. */
export function startGracePeriod(list: UpstreamList, now: number): void {
  list.gracePeriodEndsAt = now + GRACE_PERIOD_MS;
}

function rememberDeparted(list: UpstreamList, { upstreamId, incarnation }: UpstreamRecord): void {
  list.departed.delete(upstreamId);
  list.departed.set(upstreamId, incarnation);
  if (list.departed.size <= MAX_DEPARTED) return;
  const [oldest] = list.departed.keys();
  if (oldest !== undefined) list.departed.delete(oldest);
}

/**
 * Sets a record. A server that said that it leaves goes on leaving, and one that has left stays
 * away, until another incarnation of it registers.
 */
function setRecord(list: UpstreamList, record: UpstreamRecord): void {
  const { upstreamId, incarnation } = record;
  if (list.departed.get(upstreamId) === incarnation) return;
  const known = list.records.get(upstreamId);
  const hasLeft = known?.isLeaving === true && known.incarnation === incarnation;
  list.records.set(upstreamId, hasLeft ? { ...record, isLeaving: true } : record);
  list.lapsedUntil.delete(upstreamId);
}

function removeRecord(list: UpstreamList, upstreamId: UpstreamId, now: number): void {
  const record = list.records.get(upstreamId);
  if (record === undefined) return;
  if (record.isLeaving) rememberDeparted(list, record);
  const isLapse = now < list.gracePeriodEndsAt && !record.isLeaving;
  if (isLapse) list.lapsedUntil.set(upstreamId, list.gracePeriodEndsAt);
  else list.records.delete(upstreamId);
}

/** Applies changes in order. */
export function applyUpstreamChanges(
  list: UpstreamList,
  changes: readonly UpstreamChange[],
  now: number,
): void {
  for (const { upstreamId, record, isRemoved } of changes) {
    if (record !== undefined) {
      setRecord(list, record);
    } else if (isRemoved) {
      removeRecord(list, upstreamId, now);
    } else {
      // An entry that cannot be decoded is removed immediately, without a grace period.
      list.records.delete(upstreamId);
      list.lapsedUntil.delete(upstreamId);
    }
  }
}

/** Removes lapsed entries whose grace period has ended; returns their ids. */
export function dropLapsed(list: UpstreamList, now: number): UpstreamId[] {
  const gone: UpstreamId[] = [];
  for (const [upstreamId, endsAt] of list.lapsedUntil) {
    if (endsAt > now) continue;
    gone.push(upstreamId);
    list.lapsedUntil.delete(upstreamId);
    list.records.delete(upstreamId);
  }
  return gone;
}

/** Lists the servers of a service that may get new requests. */
export function listUsableUpstreams(list: UpstreamList, service: ServiceName): UpstreamRecord[] {
  const usable: UpstreamRecord[] = [];
  for (const record of list.records.values()) {
    if (record.service === service && !record.isLeaving) usable.push(record);
  }
  return usable;
}
