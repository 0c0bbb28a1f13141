/** TCP relay in front of one address, so that a test can cut or slow the link. */

import { connect, createServer, type Socket } from 'node:net';

/** A relay. */
export type Relay = {
  readonly name: string;
  /** Stops all bytes without a sign; connections break once the link is back. */
  readonly setCut: (isCut: boolean) => void;
  readonly setDelayMs: (delayMs: number) => void;
};

/** Starts a relay between two `IP:port` addresses. */
export function startRelay(name: string, listen: string, target: string): Relay {
  const sockets = new Set<Socket>();
  let isCut = false;
  let delayMs = 0;

  function copyBytes(from: Socket, to: Socket): void {
    let nextAt = 0;
    from.on('data', (chunk) => {
      if (isCut) return;
      const now = Date.now();
      nextAt = Math.max(nextAt, now + delayMs);
      if (nextAt === now) to.write(chunk);
      else setTimeout(() => to.write(chunk), nextAt - now);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      sockets.delete(from);
      setTimeout(() => to.destroy(), delayMs);
    });
    sockets.add(from);
  }

  const [host = '', port = ''] = target.split(':');
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    copyBytes(near, far);
    copyBytes(far, near);
  });
  const [listenHost = '', listenPort = ''] = listen.split(':');
  server.listen(Number(listenPort), listenHost);
  return {
    name,
    setCut: (value) => {
      isCut = value;
      if (!isCut) for (const socket of sockets) socket.destroy();
    },
    setDelayMs: (value) => {
      delayMs = value;
    },
  };
}
