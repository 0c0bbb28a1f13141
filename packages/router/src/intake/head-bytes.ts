/** Estimates the memory that the head of a request takes once it is parsed. */

import type { IncomingMessage } from 'node:http';

/** Objects that Node makes for a request and its answer, in bytes. */
const REQUEST_BYTES = 4_096;

/** What a name or a value takes beside its characters, however short it is. */
const TEXT_BYTES = 32;

/** Counts the bytes of a request's head in memory. */
export function countHeadBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  let bytes = REQUEST_BYTES + url.length;
  for (const text of rawHeaders) bytes += TEXT_BYTES + text.length;
  return bytes;
}
