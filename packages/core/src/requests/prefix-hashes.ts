/** Hashes prefixes of a prompt at block boundaries, so that shared prefixes have equal hashes. */

import type { PrefixHash } from '@tarragonspool/protocol';
import { hasher } from '../hashing/hasher.js';

/** Length of one prefix block, in characters. */
export const PREFIX_BLOCK_CHARACTERS = 1_024;
const MAX_BLOCKS = 64;

/** Returns one hash per whole block; each covers the prompt from its start to the block's end. */
export function makePrefixHashes(prompt: string): PrefixHash[] {
  const hashes: PrefixHash[] = [];
  let seed = 0n;
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS));
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    seed = hasher.h64(prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS), seed);
    hashes.push(seed.toString(16) as PrefixHash);
  }
  return hashes;
}
