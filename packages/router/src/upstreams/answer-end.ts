/**
 * Checks the end of an answer to a long request where only the end of the connection marks it. The server may have
 * ended the connection without having read the rest of the request, which is then in a kernel or in flight.
 */

import type { Socket } from 'node:net';
import { countUnacknowledgedBytes } from './unacknowledged-bytes.js';

/**
 * A request of at most this many bytes is one segment, which a server has as a whole or not at all: the least
 * segment of IPv6.
 */
const ONE_SEGMENT_BYTES = 1_220;
/**
 * A server's kernel acknowledges at least this much for a process that does not read, so that the table of connections
 * shows nothing for shorter requests. Prompts are seldom longer, and the table is read for longer requests only.
 */
const ACKNOWLEDGED_UNREAD_BYTES = 65_536;
/** A reset caused by bytes in flight arrives within a round trip; round trips within a region take less than this. */
const RESET_MS = 50;

/** Whether the end of an answer to a request of so many bytes is checked. */
export function isEndChecked(requestBytes: number): boolean {
  return requestBytes > ONE_SEGMENT_BYTES;
}

/** What the check of an end needs of its request. */
export type EndCheck = {
  readonly requestBytes: number;
  /** Whether the whole request has been handed to the kernel. */
  readonly isWritten: () => boolean;
  /** Called if the server ended the connection before it had acknowledged the request. */
  readonly onUnacknowledged: () => void;
};

/**
 * Delays the `end` event of a connection until a reset would have arrived, which a write then shows. The listeners
 * that the event has now are called after the delay.
 */
export function checkEnd(
  socket: Socket,
  { requestBytes, isWritten, onUnacknowledged }: EndCheck,
): void {
  const listeners = socket.rawListeners('end');
  socket.removeAllListeners('end');
  // Otherwise Node would end its own side at once, and nothing more could be written.
  socket.allowHalfOpen = true;
  const finish = (): void => {
    for (const listener of listeners) listener.call(socket);
  };
  const check = async (): Promise<void> => {
    const heldUntil = new Promise<void>((resolve) => {
      setTimeout(resolve, RESET_MS);
    });
    const mayBeUnacknowledged = requestBytes > ACKNOWLEDGED_UNREAD_BYTES;
    if (mayBeUnacknowledged && (await countUnacknowledgedBytes(socket)) > 0) onUnacknowledged();
    await heldUntil;
    if (!socket.destroyed) finish();
  };
  socket.once('end', () => {
    // A request that was not written completely needs no check: the answer counts as not whole anyway.
    if (isWritten()) check().catch((error: Error) => socket.destroy(error));
    else finish();
  });
}
