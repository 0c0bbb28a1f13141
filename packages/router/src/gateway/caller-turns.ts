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

/** Makes the turns of one server's connections; a request whose connection ends before never runs. */
export function makeCallerTurns(): AwaitTurn {
  /** The latest answer of each connection that has not ended. */
  const latest = new WeakMap<Socket, ServerResponse>();

  return ({ socket }, response, run) => {
    const before = latest.get(socket);
    latest.set(socket, response);
    response.once('close', () => {
      if (latest.get(socket) === response) latest.delete(socket);
    });
    if (before === undefined) {
      run();
      return;
    }
    before.once('close', () => {
      if (socket.writable) run();
    });
  };
}
