/**
 * Lease on the right to give orders to the engines of a service. A row of the store names the holder
 * and is written conditionally on its position, which is also the fencing token. Engines may ignore
 * the token, so another VM takes over only after the last holder has certainly stopped. A restore of
 * the store may have lost the row of a holder that still relies on it, so nobody acquires the lease
 * until such a holder has stopped. Times are in milliseconds on the steady clock of this VM.
 */

import { getEra, type StorePosition, type VmId } from '@tarragonspool/protocol';

/** The lease's row as this VM last read it. */
export type LeaseRow = {
  readonly position: StorePosition;
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
  /** When this VM first saw the row at its current position. */
  seenSince: number;
  /** Until when the lease is not acquired, because a holder that the store has lost may act. */
  waitUntil: number;
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
  | { readonly kind: 'acquire'; readonly expected: StorePosition };

/** Share of the lease in which its holder gives orders; the rest allows for calls in flight. */
const USED_LEASE_SHARE = 0.5;
/** Time that another VM waits beyond the lease before it takes over. */
const TAKEOVER_MARGIN_MS = 2_000;

/** Makes a lease that this VM does not hold. */
export function makeOrderLease(): OrderLease {
  return { row: undefined, seenSince: 0, waitUntil: 0, fence: 0, heldUntil: 0 };
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
  if (now < lease.waitUntil) return { kind: 'wait' };
  const { holder, position } = lease.row;
  if (holder === undefined || holder === self) return { kind: 'acquire', expected: position };
  const unchangedMs = Math.max(lease.row.ageMs, now - lease.seenSince);
  const isOver = unchangedMs > leaseMs + TAKEOVER_MARGIN_MS;
  return isOver ? { kind: 'acquire', expected: position } : { kind: 'wait' };
}

/**
 * Applies the era of the store, which this VM first saw at `seenAt`. In an era after a restore no VM
 * acquires the lease before every holder of the era before has stopped.
 */
export function applyStoreEra(
  lease: OrderLease,
  era: number,
  seenAt: number,
  leaseMs: number,
): void {
  if (era === 0) return;
  lease.waitUntil = Math.max(lease.waitUntil, seenAt + leaseMs + TAKEOVER_MARGIN_MS);
}

/** Applies a row that was read from the store. */
export function applyLeaseRow(lease: OrderLease, row: LeaseRow, now: number): void {
  if (lease.row?.position !== row.position) lease.seenSince = now;
  lease.row = row;
}

/**
 * Applies an acquisition that the store confirmed, sent at `sentAt`; returns whether the lease is
 * held. A write that took effect after a restore, on a row read before it, may have replaced the row
 * of another holder, so it counts for nothing and that holder is waited for.
 */
export function applyAcquired(
  lease: OrderLease,
  self: VmId,
  position: StorePosition,
  leaseMs: number,
  times: { readonly sentAt: number; readonly readEra: number; readonly now: number },
): boolean {
  const { sentAt, readEra, now } = times;
  if (getEra(position) !== readEra) {
    lease.row = undefined;
    lease.waitUntil = Math.max(lease.waitUntil, now + leaseMs + TAKEOVER_MARGIN_MS);
    return false;
  }
  lease.row = { position, holder: self, ageMs: 0 };
  lease.seenSince = sentAt;
  lease.fence = position;
  lease.heldUntil = sentAt + USED_LEASE_SHARE * leaseMs;
  return true;
}
