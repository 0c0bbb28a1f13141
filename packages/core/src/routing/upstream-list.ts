/**
 * One VM's list of servers, with what this VM believes of each beyond its entry. Entries that lapsed
 * during an outage of the store are retained for a grace period after it recovers, in which servers
 * that are alive register again. Times are milliseconds on the caller's steady clock.
 */

import type { UpstreamId } from '@tarragonspool/protocol';
import { UNKNOWN_INCARNATION, type UpstreamRecord } from './routing-types.js';
import {
  findLeavingIncarnation,
  rememberLeaving,
  type UpstreamIncarnation,
  type UpstreamBeliefs,
} from './upstream-beliefs.js';

/** How long entries that lapsed during an outage stay usable after the store recovers. */
export const GRACE_PERIOD_MS = 2_000;

/** The list of servers, its lapsed entries, and what servers said of themselves. */
export type UpstreamList = {
  readonly records: Map<UpstreamId, UpstreamRecord>;
  /** Until when each entry that lapsed during an outage stays usable. */
  readonly lapsedUntil: Map<UpstreamId, number>;
  readonly beliefs: UpstreamBeliefs;
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
    beliefs: new Map(),
    gracePeriodEndsAt: 0,
  };
}

/** Starts the grace period when the store answers again after an outage. */
export function startGracePeriod(list: UpstreamList, now: number): void {
  list.gracePeriodEndsAt = now + GRACE_PERIOD_MS;
}

/**
 * Sets a record, unless it is of an earlier incarnation than the one that is listed: a restored store
 * may hold such rows. A server that said that it leaves goes on leaving, and one that has left stays
 * away, until a later incarnation of it registers.
 */
function setRecord(list: UpstreamList, record: UpstreamRecord): void {
  const { records, lapsedUntil, beliefs } = list;
  const { upstreamId, incarnation } = record;
  const known = records.get(upstreamId);
  if (known?.isLeaving === true && incarnation <= known.incarnation) {
    lapsedUntil.delete(upstreamId);
    records.set(upstreamId, { ...record, incarnation: known.incarnation, isLeaving: true });
    return;
  }
  const isEarlier = incarnation < (known?.incarnation ?? -Infinity);
  if (isEarlier && incarnation !== UNKNOWN_INCARNATION) return;
  if (incarnation <= findLeavingIncarnation(beliefs, upstreamId)) return;
  lapsedUntil.delete(upstreamId);
  records.set(upstreamId, record);
  if (record.isLeaving) rememberLeaving(beliefs, record);
}

function removeRecord(list: UpstreamList, upstreamId: UpstreamId, now: number): void {
  const record = list.records.get(upstreamId);
  if (record === undefined) return;
  if (record.isLeaving) rememberLeaving(list.beliefs, record);
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
      if (known?.isLeaving === true) rememberLeaving(list.beliefs, known);
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
export function recordLeaving(list: UpstreamList, leaving: UpstreamIncarnation): boolean {
  const { upstreamId, incarnation } = leaving;
  const record = list.records.get(upstreamId);
  if (record !== undefined && record.incarnation > incarnation) return false;
  if (record?.isLeaving === true && record.incarnation === incarnation) return false;
  if (incarnation <= findLeavingIncarnation(list.beliefs, upstreamId)) return false;
  rememberLeaving(list.beliefs, leaving);
  if (record !== undefined) {
    list.records.set(upstreamId, { ...record, incarnation, isLeaving: true });
  }
  return true;
}

/**
 * Whether a server to which something was sent is known to leave, to have left or to have been replaced. One that
 * crashes is listed for some time after it.
 */
export function isKnownToLeave(
  { records, beliefs }: UpstreamList,
  { upstreamId, incarnation }: UpstreamIncarnation,
): boolean {
  const listed = records.get(upstreamId);
  if (listed === undefined || listed.isLeaving || listed.incarnation > incarnation) return true;
  return incarnation <= findLeavingIncarnation(beliefs, upstreamId);
}

/** Lists the incarnations that are known to leave, listed or not. */
export function listLeaving({ beliefs }: UpstreamList): UpstreamIncarnation[] {
  const leaving: UpstreamIncarnation[] = [];
  for (const [upstreamId, { leavingIncarnation }] of beliefs) {
    if (leavingIncarnation !== undefined) {
      leaving.push({ upstreamId, incarnation: leavingIncarnation });
    }
  }
  return leaving;
}
