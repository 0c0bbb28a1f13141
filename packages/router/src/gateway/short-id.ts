/** Shortens ids of callers, so that VMs can pass them on to each other whatever their length. */

import { createHash } from 'node:crypto';

/** Longest id that is kept as it is, in characters. */
const MAX_ID_LENGTH = 128;

/** Returns a short id as it is, and the digest of a long one. */
export function digestLongId(id: string): string {
  if (id.length <= MAX_ID_LENGTH) return id;
  return `sha256-${createHash('sha256').update(id).digest('base64url')}`;
}
