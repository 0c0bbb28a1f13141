/**
 * Lease on the right to give orders to the engines of a service. A row of the store names the holder
 * and is written conditionally on its version, which is also the fencing token. Engines may ignore
 * the token, so another VM takes over only after the last holder has certainly stopped. Times are in
 * milliseconds on the steady clock of this VM.
 */

import type { VmId } from '@tarragonspool/protocol';

/** The lease's row as this VM last read it. */
export type LeaseRow = {
  readonly version: number;
  readonly holder: VmId | undefined;
  /**
   * Age of the row on the store's clock in milliseconds, counted from the holder's reading of that
   * clock before it wrote the row.
   */
  readonly ageMs: number;
};

/** State of one lease as one VM sees it. */
export type OrderLease = {
  row: LeaseRow | undefined;
  /** When this VM first saw the row at its current version. */
  versionSeenSince: number;
  /** Fencing token while this VM holds the lease. */
  fence: number;
  /** Until when this VM may give orders; 0 if it does not hold the lease. */
  heldUntil: number;
};

/** Next step of a VM that wants to give an order. */
export type LeaseStep =
  | { readonly kind: 'order'; readonly fence: number }
  | { readonly kind: 'read' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'acquire'; readonly expectedVersion: number };

/** Share of the lease in which its holder gives orders; the rest allows for calls in flight. */
const USED_LEASE_SHARE = 0.5;
/** Time that another VM waits beyond the lease before it takes over. */
const TAKEOVER_MARGIN_MS = 2_000;

/** Makes a lease that this VM does not hold. */
export function makeOrderLease(): OrderLease {
  return { row: undefined, versionSeenSince: 0, fence: 0, heldUntil: 0 };
}

/** Chooses the next step; `isFresh` says whether the row has been read for this step. */
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
  const unchangedMs = Math.max(lease.row.ageMs, now - lease.versionSeenSince);
  const isOver = unchangedMs > leaseMs + TAKEOVER_MARGIN_MS;
  return isOver ? { kind: 'acquire', expectedVersion: version } : { kind: 'wait' };
}

/** Applies a row that was read from the store. */
export function applyLeaseRow(lease: OrderLease, row: LeaseRow, now: number): void {
  if (lease.row?.version !== row.version) lease.versionSeenSince = now;
  lease.row = row;
}

/** Applies a successful acquisition whose write was sent at `sentAt`. */
export function applyAcquired(
  lease: OrderLease,
  self: VmId,
  version: number,
  leaseMs: number,
  sentAt: number,
): void {
  lease.row = { version, holder: self, ageMs: 0 };
  lease.versionSeenSince = sentAt;
  lease.fence = version;
  lease.heldUntil = sentAt + USED_LEASE_SHARE * leaseMs;
}
