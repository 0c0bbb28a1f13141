/** Closes connections of a server that few clients need, so that others cannot take the process's descriptors. */

import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

/** Closes the connection that has gone longest without a request whenever there are more than `maxConnections`. */
export function closeSurplusConnections(server: Server, maxConnections: number): void {
  /** In the order of their latest requests, or of their opening. */
  const open = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    const [oldest] = open;
    if (open.size > maxConnections) oldest?.destroy();
  });
  server.on('request', ({ socket }: IncomingMessage) => {
    if (!open.delete(socket)) return;
    open.add(socket);
  });
  // What becomes of the connection then is up to its new protocol.
  server.on('upgrade', ({ socket }: IncomingMessage) => open.delete(socket));
}
