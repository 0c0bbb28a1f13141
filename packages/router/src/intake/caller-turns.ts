/**
 * Serves the requests of one connection one after the other. A caller may send several at once; the answer to one
 * may end the connection, and what has run by then would never be answered (RFC 9112, 9.3.2 and 9.6).
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { countHeadBytes } from './head-bytes.js';
import type { HeldShare } from './held-bytes.js';

/** Runs a request once the one before it on its connection has been answered. */
export type AwaitTurn = (
  incoming: IncomingMessage,
  response: ServerResponse,
  run: () => void,
) => void;

/** Each request that waits takes memory, and a caller may send them without end. */
const MAX_WAITING = 100;
/** While more than this wait on a connection, nothing more of it is parsed. */
const MAX_PARSED_AHEAD = 8;

/** What the turns need. */
export type CallerTurnParts = {
  /** Called before a connection is closed on which more requests wait than may. */
  readonly onTooMany: (incoming: IncomingMessage) => void;
  /** Begins to count the heads that wait on a connection; if they are given up, it is closed. */
  readonly beginHeads: (socket: Socket) => HeldShare;
  /** Has no more of a connection parsed, or goes on. */
  readonly setSuspended: (socket: Socket, isSuspended: boolean) => void;
};

/** The requests that wait on one connection. */
type WaitingRequests = { count: number; headBytes: number; readonly heads: HeldShare };

/** Makes the turns of one server's connections; a request whose connection ends before never runs. */
export function makeCallerTurns(parts: CallerTurnParts): AwaitTurn {
  /** The latest answer of each connection that has not ended. */
  const latest = new WeakMap<Socket, ServerResponse>();
  const waiting = new WeakMap<Socket, WaitingRequests>();

  function findWaiting(socket: Socket): WaitingRequests {
    const known = waiting.get(socket);
    if (known !== undefined) return known;
    const heads = parts.beginHeads(socket);
    const begun = { count: 0, headBytes: 0, heads };
    waiting.set(socket, begun);
    // Answers that have not begun do not hear of the end of their connection.
    socket.once('close', heads.end);
    return begun;
  }

  function updateWaiting(
    socket: Socket,
    requests: WaitingRequests,
    change: 1 | -1,
    headBytes: number,
  ): void {
    if (socket.destroyed) return;
    requests.count += change;
    requests.headBytes += change * headBytes;
    parts.setSuspended(socket, requests.count > MAX_PARSED_AHEAD);
    requests.heads.update(requests.headBytes);
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
    const requests = findWaiting(socket);
    if (requests.count === MAX_WAITING) {
      parts.onTooMany(incoming);
      // An answer whose end is the end of its connection must not look complete.
      socket.resetAndDestroy();
      return;
    }
    const headBytes = countHeadBytes(incoming);
    updateWaiting(socket, requests, 1, headBytes);
    before.once('close', () => {
      updateWaiting(socket, requests, -1, headBytes);
      if (socket.writable) run();
    });
  };
}
