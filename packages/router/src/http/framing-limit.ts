/**
 * Limits what comes on a connection beside the content of an answer: heads, earlier heads (1xx), sizes and
 * extensions of chunks, trailers, empty lines. None of it shows in the content, so that no limit of content ends it.
 */

import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import { getSteadyMs } from '../time/steady-clock.js';

/** The longest head that Node takes, and as much again and more; chunks of a byte reach it with their 10,000th. */
const FREE_FRAMING_BYTES = 49_152;
/** Beyond that, framing may take this share of the content: chunks of 24 bytes or more do. */
const FRAMING_SHARE = 0.25;

/** A stream whose engine writes each line, or each byte, as a chunk of its own takes less than this in each second. */
const FRAMING_BYTES_PER_MS = 16;

/** Whether more has been read, in some milliseconds, than the content and a proper framing of it. */
export function isOverFramed(readBytes: number, contentBytes: number, tookMs: number): boolean {
  const framingBytes = readBytes - contentBytes;
  const freeBytes = FREE_FRAMING_BYTES + FRAMING_BYTES_PER_MS * tookMs;
  return framingBytes > freeBytes + FRAMING_SHARE * contentBytes;
}

/**
 * Calls `onOver` after each read of a request's connection that finds its answer framed by too much; `countContent`
 * counts the content that has been handed on.
 */
export function followFraming(
  outgoing: ClientRequest,
  countContent: () => number,
  onOver: (readBytes: number) => void,
): void {
  let countUnread = (): number => 0;
  outgoing.on('response', (answer) => {
    countUnread = () => answer.readableLength;
  });
  outgoing.on('socket', (socket: Socket) => {
    const earlierBytes = socket.bytesRead;
    const startedAt = getSteadyMs();
    const check = (): void => {
      const readBytes = socket.bytesRead - earlierBytes;
      const contentBytes = countContent() + countUnread();
      if (isOverFramed(readBytes, contentBytes, getSteadyMs() - startedAt)) onOver(readBytes);
    };
    socket.on('data', check);
    outgoing.once('close', () => socket.off('data', check));
  });
}
