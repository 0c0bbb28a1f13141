/**
 * Fast non-cryptographic hash (xxHash) for placement and prompt prefixes. Not for uses that must have
 * no collisions.
 */

import xxhash from 'xxhash-wasm';

/** Shared instance of the hash functions. */
export const hasher = await xxhash();
