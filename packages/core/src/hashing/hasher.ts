/** Fast hash for placement; not for anything that must not collide. */

import xxhash from 'xxhash-wasm';

/** The one instance of the hash functions. */
export const hasher = await xxhash();
