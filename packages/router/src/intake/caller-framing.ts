/**
 * Ends connections of callers on which bytes come without end that are no body: empty lines before a head, sizes
 * and extensions of chunks. Node reads them without an event, so that no deadline of a request applies.
 */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

const CHECK_INTERVAL_MS = 250;
/** The longest head, and bytes that have been read and not handed on. */
const FREE_BYTES = 262_144;
/** Beyond that, chunks of 24 bytes or more are framed by less than this share of the body. */
const FRAMING_SHARE = 0.25;
/** Size and line ends of a chunk, however small it is. */
const CHUNK_FRAMING_BYTES = 16;

/** What has come on a connection since its latest request began. */
type Progress = { fromBytes: number; contentBytes: number; pieces: number };

/** Bytes that have been handed to the parser. */
function countParsed({ bytesRead, readableLength }: Socket): number {
  return bytesRead - readableLength;
}

/** Follows the connections of one server. */
export type CallerFraming = {
  /** Begins anew: what came before belongs to an earlier request. */
  readonly recordRequest: (incoming: IncomingMessage) => void;
  readonly recordContent: (incoming: IncomingMessage, bytes: number) => void;
};

/** Starts to follow a server's connections; `onOver` is called before one is closed. */
export function followCallerFraming(
  server: Server,
  onOver: (socket: Socket, bytes: number) => void,
): CallerFraming {
  const connections = new Map<Socket, Progress>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { fromBytes: 0, contentBytes: 0, pieces: 0 });
    socket.once('close', () => connections.delete(socket));
  });

  function check(): void {
    for (const [socket, { fromBytes, contentBytes, pieces }] of connections) {
      const framingBytes = countParsed(socket) - fromBytes - contentBytes;
      const dueBytes = FRAMING_SHARE * contentBytes + CHUNK_FRAMING_BYTES * pieces;
      if (framingBytes <= FREE_BYTES + dueBytes) continue;
      onOver(socket, framingBytes);
      socket.destroy();
    }
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  server.once('close', () => clearInterval(timer));
  return {
    recordRequest: ({ socket }) => {
      if (connections.has(socket)) {
        connections.set(socket, { fromBytes: countParsed(socket), contentBytes: 0, pieces: 0 });
      }
    },
    recordContent: ({ socket }, bytes) => {
      const progress = connections.get(socket);
      if (progress === undefined) return;
      progress.contentBytes += bytes;
      progress.pieces += 1;
    },
  };
}
