/**
 * Position in the platform's store: the era, which rises each time the store is restored from a copy,
 * then the version within the era. After a restore versions go back and are given out again, so
 * versions of two eras must not be compared. One number carries both, in that order.
 */

/** A position; a greater one is newer. */
export type StorePosition = number & { readonly brand: 'StorePosition' };

const VERSIONS_PER_ERA = 2 ** 40;

/** The position before any write. */
export const STORE_START = 0 as StorePosition;

/** Makes the position of a version within an era. */
export function makeStorePosition(era: number, version: number): StorePosition {
  return (era * VERSIONS_PER_ERA + version) as StorePosition;
}

/** Returns the era of a position. */
export function getEra(position: StorePosition): number {
  return Math.floor(position / VERSIONS_PER_ERA);
}

/** Returns the version within the era, as the store counts it. */
export function getVersion(position: StorePosition): number {
  return position % VERSIONS_PER_ERA;
}
