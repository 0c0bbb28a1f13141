/** Finds out whether a server takes connections. */

import { connect } from 'node:net';

const PROBE_TIMEOUT_MS = 400;

/** Returns whether a server accepts a TCP connection within the probe timeout. */
export function probeAddress(address: string): Promise<boolean> {
  const [host = '', port = '0'] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (isAlive: boolean): void => {
      socket.destroy();
      resolve(isAlive);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
