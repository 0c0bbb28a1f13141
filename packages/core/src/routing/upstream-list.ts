/**
 * One VM's list of servers, with what servers said of themselves in their answers: that they leave,
 * or that they want no requests of this VM for a while. Entries that lapsed during an outage of the
 * store are retained for a grace period after it recovers, in which servers that are alive register
 * again. Times are milliseconds on the caller's steady clock.
 */

import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';

/** How long entries that lapsed during an outage stay usable after the store recovers. */
export const GRACE_PERIOD_MS = 2_000;

/** Servers that have left and are remembered. */
const MAX_DEPARTED = 1_000;

/** A pause that one incarnation of a server asked this VM for. */
type UpstreamPause = { readonly incarnation: number; readonly until: number };

/** Incarnation of a server that leaves. */
export type LeavingUpstream = { readonly upstreamId: UpstreamId; readonly incarnation: number };

/** The list of servers and its lapsed entries. */
export type UpstreamList = {
  readonly records: Map<UpstreamId, UpstreamRecord>;
  /** Until when each entry that lapsed during an outage stays usable. */
  readonly lapsedUntil: Map<UpstreamId, number>;
  /**
   * Incarnations that leave and are not listed; an older copy may list them, or ones before them,
   * again.
   */
  readonly departed: Map<UpstreamId, number>;
  readonly pauses: Map<UpstreamId, UpstreamPause>;
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
    pauses: new Map(),
    gracePeriodEndsAt: 0,
  };
}

/** Starts the grace period when the store answers again after an outage. */
export function startGracePeriod(list: UpstreamList, now: number): void {
  list.gracePeriodEndsAt = now + GRACE_PERIOD_MS;
}

function rememberDeparted(list: UpstreamList, { upstreamId, incarnation }: LeavingUpstream): void {
  const known = list.departed.get(upstreamId) ?? -Infinity;
  list.departed.delete(upstreamId);
  list.departed.set(upstreamId, Math.max(known, incarnation));
  if (list.departed.size <= MAX_DEPARTED) return;
  const [oldest] = list.departed.keys();
  if (oldest !== undefined) list.departed.delete(oldest);
}

/**
 * Sets a record, unless it is of an earlier incarnation than the one that is listed: a restored store
 * may hold such rows. A server that said that it leaves goes on leaving, and one that has left stays
 * away, until a later incarnation of it registers.
 */
function setRecord(list: UpstreamList, record: UpstreamRecord): void {
  const { upstreamId, incarnation } = record;
  if (incarnation <= (list.departed.get(upstreamId) ?? -Infinity)) return;
  const known = list.records.get(upstreamId);
  const isEarlier = incarnation < (known?.incarnation ?? -Infinity);
  if (isEarlier && known?.isLeaving === false) return;
  list.lapsedUntil.delete(upstreamId);
  if (known?.isLeaving === true && incarnation <= known.incarnation) {
    list.records.set(upstreamId, { ...record, incarnation: known.incarnation, isLeaving: true });
    return;
  }
  list.records.set(upstreamId, record);
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
      const known = list.records.get(upstreamId);
      if (known?.isLeaving === true) rememberDeparted(list, known);
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

/**
 * Records that an incarnation of a server leaves; returns whether that is news. It holds until a later
 * incarnation registers.
 */
export function recordLeaving(list: UpstreamList, leaving: LeavingUpstream): boolean {
  const { upstreamId, incarnation } = leaving;
  const record = list.records.get(upstreamId);
  if (record !== undefined && record.incarnation > incarnation) return false;
  if (record?.isLeaving === true && record.incarnation === incarnation) return false;
  if (record === undefined) {
    if (incarnation <= (list.departed.get(upstreamId) ?? -Infinity)) return false;
    rememberDeparted(list, leaving);
    return true;
  }
  list.records.set(upstreamId, { ...record, incarnation, isLeaving: true });
  return true;
}

/** Records that an incarnation of a server wants no requests of this VM before a time. */
export function recordPause(
  list: UpstreamList,
  upstreamId: UpstreamId,
  pause: UpstreamPause,
  now: number,
): void {
  for (const [id, { until }] of list.pauses) if (until <= now) list.pauses.delete(id);
  const known = list.pauses.get(upstreamId);
  const isNewer = known === undefined || known.incarnation <= pause.incarnation;
  if (isNewer) list.pauses.set(upstreamId, pause);
}

/** Finds until when a server wants no requests of this VM; undefined if it takes them. */
export function findPauseEnd(
  list: UpstreamList,
  { upstreamId, incarnation }: UpstreamRecord,
  now: number,
): number | undefined {
  const pause = list.pauses.get(upstreamId);
  if (pause === undefined || pause.incarnation < incarnation || pause.until <= now) {
    return undefined;
  }
  return pause.until;
}

/** Whether a listed server may get new requests of this VM. Asked before each send. */
export function canTakeRequests(list: UpstreamList, record: UpstreamRecord, now: number): boolean {
  return !record.isLeaving && findPauseEnd(list, record, now) === undefined;
}

function listService(list: UpstreamList, service: ServiceName): UpstreamRecord[] {
  return [...list.records.values()].filter((record) => record.service === service);
}

/** Lists the servers of a service that may get new requests. */
export function listUsableUpstreams(
  list: UpstreamList,
  service: ServiceName,
  now: number,
): UpstreamRecord[] {
  return listService(list, service).filter((record) => canTakeRequests(list, record, now));
}

/** Servers of a service that are listed and may get no new requests. */
export type UnusableUpstreams = {
  readonly leaving: readonly UpstreamId[];
  readonly paused: readonly UpstreamId[];
  /** When the first pause ends; undefined if none is paused. */
  readonly firstPauseEndsAt: number | undefined;
};

/** Lists the servers of a service that may get no new requests, and why. */
export function listUnusableUpstreams(
  list: UpstreamList,
  service: ServiceName,
  now: number,
): UnusableUpstreams {
  const leaving: UpstreamId[] = [];
  const paused: UpstreamId[] = [];
  let firstPauseEndsAt: number | undefined;
  for (const record of listService(list, service)) {
    if (record.isLeaving) {
      leaving.push(record.upstreamId);
      continue;
    }
    const pauseEndsAt = findPauseEnd(list, record, now);
    if (pauseEndsAt === undefined) continue;
    paused.push(record.upstreamId);
    firstPauseEndsAt = Math.min(firstPauseEndsAt ?? Infinity, pauseEndsAt);
  }
  return { leaving, paused, firstPauseEndsAt };
}

/** Lists the incarnations that are known to leave, listed or not. */
export function listLeaving(list: UpstreamList): LeavingUpstream[] {
  const leaving = new Map(list.departed);
  for (const { upstreamId, incarnation, isLeaving } of list.records.values()) {
    if (isLeaving) leaving.set(upstreamId, incarnation);
  }
  return [...leaving].map(([upstreamId, incarnation]) => ({ upstreamId, incarnation }));
}
