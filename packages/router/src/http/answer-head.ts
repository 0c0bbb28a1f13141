/** Checks the head of a server's answer before any of it is used: Node reads more than it writes. */

import { validateHeaderName, validateHeaderValue } from 'node:http';

/** Lower ones are of answers before the last one. */
const FIRST_FINAL_STATUS = 200;
/** HTTP has no higher ones (RFC 9110, section 15), and callers may not know what to do with them. */
const LAST_STATUS = 599;

/**
 * Finds why a head cannot be passed on; undefined if it can. `rawHeaders` holds names and values in
 * turn.
 */
export function findHeadFault(status: number, rawHeaders: readonly string[]): string | undefined {
  const isStatus =
    Number.isInteger(status) && status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  if (!isStatus) return `status ${status} ends no answer`;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    try {
      validateHeaderName(name);
      validateHeaderValue(name, rawHeaders[index + 1] ?? '');
    } catch (error) {
      return error instanceof Error ? error.message : 'invalid header';
    }
  }
  return undefined;
}
