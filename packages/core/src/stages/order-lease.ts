/**
 * Decides when a VM may give orders to the engines of a service. The holder is named by a row that
 * is written under a condition; the row's version is the fencing token. Engines may ignore the token,
 * so another VM takes over only after the last holder has surely stopped. Times are on the steady
 * clock of this VM, in milliseconds.
 */

import type { VmId } from '@tarragonspool/protocol';

/** The row as it was read last. */
export type LeaseRow = {
  readonly version: number;
  readonly holder: VmId | undefined;
  /** Time on the store's clock since its holder prepared to write it, in milliseconds. */
  readonly ageMs: number;
};

/** State of one lease on one VM. */
export type OrderLease = {
  row: LeaseRow | undefined;
  /** Since when the row has had this version, as far as this VM saw. */
  seenSince: number;
  /** Fencing token while this VM holds the lease. */
  fence: number;
  /** Until when this VM may give orders; 0 if it does not hold the lease. */
  heldUntil: number;
};

/** What to do next towards an order. */
export type LeaseStep =
  | { readonly kind: 'order'; readonly fence: number }
  | { readonly kind: 'read' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'acquire'; readonly expectedVersion: number };

/** Part of the lease in which its holder orders; the rest covers calls on their way. */
const USED_SHARE = 0.5;
/** Time beyond the lease that another VM leaves to the last holder. */
const TAKEOVER_MARGIN_MS = 2_000;

/** Makes a lease that this VM does not hold. */
export function makeOrderLease(): OrderLease {
  return { row: undefined, seenSince: 0, fence: 0, heldUntil: 0 };
}

/** Decides the next step; `isFresh` tells whether the row has been read for this step. */
export function chooseLeaseStep(
  lease: OrderLease,
  self: VmId,
  leaseMs: number,
  isFresh: boolean,
  now: number,
): LeaseStep {
  if (now < lease.heldUntil) return { kind: 'order', fence: lease.fence };
  if (!isFresh || lease.row === undefined) return { kind: 'read' };
  const { holder, version } = lease.row;
  if (holder === undefined || holder === self) return { kind: 'acquire', expectedVersion: version };
  const unchangedMs = Math.max(lease.row.ageMs, now - lease.seenSince);
  const isOver = unchangedMs > leaseMs + TAKEOVER_MARGIN_MS;
  return isOver ? { kind: 'acquire', expectedVersion: version } : { kind: 'wait' };
}

/** Takes a reading of the row. */
export function applyLeaseRow(lease: OrderLease, row: LeaseRow, now: number): void {
  if (lease.row?.version !== row.version) lease.seenSince = now;
  lease.row = row;
}

/** Takes the store's answer to an acquisition that was sent at `sentAt`. */
export function applyAcquired(
  lease: OrderLease,
  self: VmId,
  version: number,
  leaseMs: number,
  sentAt: number,
): void {
  lease.row = { version, holder: self, ageMs: 0 };
  lease.seenSince = sentAt;
  lease.fence = version;
  lease.heldUntil = sentAt + USED_SHARE * leaseMs;
}
