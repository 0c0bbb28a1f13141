/**
 * Checks the end of an answer that only the end of its connection tells, where its request was long. The server may
 * have ended it without having read the rest of the request, which is then in the system or on its way.
 */

import type { Socket } from 'node:net';
import { countUnacknowledgedBytes } from './unacknowledged-bytes.js';

/**
 * A request of at most this many bytes is one segment, which a server has as a whole or not at all: the least
 * segment of IPv6.
 */
const ONE_SEGMENT_BYTES = 1_220;
/**
 * A system takes at least this much for a process that does not read, so that nothing waits at the other end. Prompts
 * are seldom longer, and the system's table is read for longer requests only.
 */
const TAKEN_UNREAD_BYTES = 65_536;
/** A reset that bytes on their way cause comes within a round trip; data centres of a region are nearer than this. */
const RESET_MS = 50;

/** Whether the end of an answer to a request of so many bytes is checked. */
export function isEndChecked(requestBytes: number): boolean {
  return requestBytes > ONE_SEGMENT_BYTES;
}

/** What the check of an end needs of its request. */
export type EndCheck = {
  readonly requestBytes: number;
  /** Whether the whole request has been handed to the system. */
  readonly isWritten: () => boolean;
  /** Called if the server ended the connection before it had acknowledged the request. */
  readonly onUnacknowledged: () => void;
};

/**
 * Holds back the end of a connection until a reset would have arrived; a write then shows it. The listeners of the
 * end that are there now hear of it afterwards.
 */
export function checkEnd(
  socket: Socket,
  { requestBytes, isWritten, onUnacknowledged }: EndCheck,
): void {
  const listeners = socket.rawListeners('end');
  socket.removeAllListeners('end');
  // Otherwise Node would end its side at once, and could write nothing more.
  socket.allowHalfOpen = true;
  const finish = (): void => {
    for (const listener of listeners) listener.call(socket);
  };
  const check = async (): Promise<void> => {
    const heldUntil = new Promise<void>((resolve) => {
      setTimeout(resolve, RESET_MS);
    });
    const canWait = requestBytes > TAKEN_UNREAD_BYTES;
    if (canWait && (await countUnacknowledgedBytes(socket)) > 0) onUnacknowledged();
    await heldUntil;
    if (!socket.destroyed) finish();
  };
  socket.once('end', () => {
    // What was not even written needs no check.
    if (isWritten()) check().catch((error: Error) => socket.destroy(error));
    else finish();
  });
}
