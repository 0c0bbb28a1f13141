/** Computes the digests by which API keys are stored and compared. */

import { createHash } from 'node:crypto';
import type { KeyDigest } from '@tarragonspool/core';

/** Digests a key that the operator wrote. */
export function digestKey(key: string): KeyDigest {
  return createHash('sha256').update(key, 'utf8').digest('hex') as KeyDigest;
}

/** Digests a key from a header: Node decodes headers as Latin-1, so this restores the bytes that were sent. */
export function digestSentKey(key: string): KeyDigest {
  return createHash('sha256').update(key, 'latin1').digest('hex') as KeyDigest;
}
