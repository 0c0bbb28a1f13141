/**
 * Limits what comes on a connection beside the content of an answer: heads, earlier heads (1xx), sizes and
 * extensions of chunks, trailers, empty lines. None of it shows in the content, so that no limit of content ends it.
 */

import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** No proper answer has more beside its content, unless that is long. */
const FREE_FRAMING_BYTES = 131_072;
/** Beyond that, framing may take this share of the content: chunks of 24 bytes or more do. */
const FRAMING_SHARE = 0.25;

/** Whether more has been read than the content and a proper framing of it. */
export function isOverFramed(readBytes: number, contentBytes: number): boolean {
  const framingBytes = readBytes - contentBytes;
  return framingBytes > FREE_FRAMING_BYTES + FRAMING_SHARE * contentBytes;
}

/** Calls `onOver` after each read of a request's connection that finds its answer framed by too much. */
export function followFraming(
  outgoing: ClientRequest,
  countContent: () => number,
  onOver: (readBytes: number) => void,
): void {
  outgoing.on('socket', (socket: Socket) => {
    const earlierBytes = socket.bytesRead;
    const check = (): void => {
      const readBytes = socket.bytesRead - earlierBytes;
      if (isOverFramed(readBytes, countContent())) onOver(readBytes);
    };
    socket.on('data', check);
    outgoing.once('close', () => socket.off('data', check));
  });
}
