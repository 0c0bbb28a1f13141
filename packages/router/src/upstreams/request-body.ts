/** Writes the bodies of requests to servers. */

import type { ClientRequest } from 'node:http';

/**
 * Longest part that is written at once, in bytes: shorter parts show earlier ends, and each one costs a
 * call of the system.
 */
const MAX_PART_BYTES = 32_768;

/**
 * Writes the body of a request and ends it. The system takes some megabytes for a connection at once,
 * also if the server reads nothing; a long body is written in parts, with events read in between, so
 * that an answer which ends before its request shows as such.
 */
export function writeBody(outgoing: ClientRequest, body: Buffer): void {
  if (body.length === 0) {
    outgoing.end();
    return;
  }
  let writtenBytes = 0;
  const writeNext = (): void => {
    if (outgoing.destroyed) return;
    const part = body.subarray(writtenBytes, writtenBytes + MAX_PART_BYTES);
    writtenBytes += part.length;
    if (writtenBytes === body.length) {
      outgoing.end(part);
      return;
    }
    outgoing.write(part, (error) => {
      if (error === undefined || error === null) setImmediate(writeNext);
    });
  };
  writeNext();
}
