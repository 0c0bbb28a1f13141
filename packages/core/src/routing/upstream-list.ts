/**
 * The list of servers as one VM believes it. Entries that vanish while the store was away are kept
 * for a grace period after its return: servers that are alive register again within it.
 */

import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';

/** How long entries that lapsed during an outage stay usable after the store's return. */
export const LAPSE_GRACE_MS = 2_000;

/** The list with what is remembered beside it. */
export type UpstreamList = {
  readonly records: Map<UpstreamId, UpstreamRecord>;
  /** Entries that lapsed during an outage, and until when they stay usable. */
  readonly lapsing: Map<UpstreamId, number>;
  /** Until when a removal counts as a lapse. */
  lapseWindowEndsAt: number;
};

/** One change of the list; no record means that the entry was removed or cannot be read. */
export type UpstreamChange = {
  readonly upstreamId: UpstreamId;
  readonly record: UpstreamRecord | undefined;
  readonly isRemoved: boolean;
};

/** Makes an empty list. */
export function makeUpstreamList(): UpstreamList {
  return { records: new Map(), lapsing: new Map(), lapseWindowEndsAt: 0 };
}

/** Notes that the store answers again after an outage. */
export function startLapseWindow(list: UpstreamList, now: number): void {
  list.lapseWindowEndsAt = now + LAPSE_GRACE_MS;
}

function removeRecord(list: UpstreamList, upstreamId: UpstreamId, now: number): void {
  const record = list.records.get(upstreamId);
  if (record === undefined) return;
  const isLapse = now < list.lapseWindowEndsAt && !record.isLeaving;
  if (isLapse) list.lapsing.set(upstreamId, list.lapseWindowEndsAt);
  else list.records.delete(upstreamId);
}

/** Applies changes in their order. */
export function applyUpstreamChanges(
  list: UpstreamList,
  changes: readonly UpstreamChange[],
  now: number,
): void {
  for (const { upstreamId, record, isRemoved } of changes) {
    if (record !== undefined) {
      list.records.set(upstreamId, record);
      list.lapsing.delete(upstreamId);
    } else if (isRemoved) {
      removeRecord(list, upstreamId, now);
    } else {
      // Bytes that cannot be read name no server.
      list.records.delete(upstreamId);
      list.lapsing.delete(upstreamId);
    }
  }
}

/** Removes entries whose grace has ended; returns their ids. */
export function dropLapsed(list: UpstreamList, now: number): UpstreamId[] {
  const gone: UpstreamId[] = [];
  for (const [upstreamId, endsAt] of list.lapsing) {
    if (endsAt > now) continue;
    gone.push(upstreamId);
    list.lapsing.delete(upstreamId);
    list.records.delete(upstreamId);
  }
  return gone;
}

/** Lists the servers of a service that may get new requests. */
export function listUsable(list: UpstreamList, service: ServiceName): UpstreamRecord[] {
  const usable: UpstreamRecord[] = [];
  for (const record of list.records.values()) {
    if (record.service === service && !record.isLeaving) usable.push(record);
  }
  return usable;
}
