/**
 * Serves the requests of one connection one after the other. A caller may send several at once; the answer to one
 * may end the connection, and what has run by then would never be answered (RFC 9112, 9.3.2 and 9.6).
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Runs a request once the one before it on its connection has been answered. */
export type AwaitTurn = (
  incoming: IncomingMessage,
  response: ServerResponse,
  run: () => void,
) => void;

/** Each request that waits takes memory, and a caller may send them without end. */
const MAX_WAITING = 100;

/**
 * Makes the turns of one server's connections; a request whose connection ends before never runs. `onTooMany` is
 * called before a connection is closed on which more requests wait than may.
 */
export function makeCallerTurns(onTooMany: (incoming: IncomingMessage) => void): AwaitTurn {
  /** The latest answer of each connection that has not ended. */
  const latest = new WeakMap<Socket, ServerResponse>();
  /** Requests that wait on each connection. */
  const waiting = new WeakMap<Socket, number>();

  function countWaiting(socket: Socket, change: 1 | -1): number {
    const count = (waiting.get(socket) ?? 0) + change;
    waiting.set(socket, count);
    return count;
  }

  return (incoming, response, run) => {
    const { socket } = incoming;
    if (socket.destroyed) return;
    const before = latest.get(socket);
    latest.set(socket, response);
    response.once('close', () => {
      if (latest.get(socket) === response) latest.delete(socket);
    });
    if (before === undefined) {
      run();
      return;
    }
    if (countWaiting(socket, 1) > MAX_WAITING) {
      onTooMany(incoming);
      socket.destroy();
      return;
    }
    before.once('close', () => {
      countWaiting(socket, -1);
      if (socket.writable) run();
    });
  };
}
