/** Compares what has been collected with a limit of its bytes. */

import type { ByteCollector } from '@tarragonspool/core';

/** A short body may have this cost too: some 4,000 pieces. */
const FREE_COST_BYTES = 262_144;

/** Why a body is too large: its bytes are, or there are too many pieces of less than 64 bytes. */
export type Excess = 'content' | 'pieces';

/** Finds why a body may not go on; undefined if it may. */
export function findExcess(
  collected: Pick<ByteCollector, 'countBytes' | 'countCost'>,
  maxBytes: number,
): Excess | undefined {
  if (collected.countBytes() > maxBytes) return 'content';
  return collected.countCost() > 2 * maxBytes + FREE_COST_BYTES ? 'pieces' : undefined;
}
