/** Finds out whether a server takes connections. */

import { connect } from 'node:net';
import { parseAddress } from '../http/parse-address.js';

const PROBE_TIMEOUT_MS = 400;

/** Returns whether a server accepts a TCP connection within the probe timeout. */
export function probeAddress(address: string): Promise<boolean> {
  const target = parseAddress(address);
  if (target === undefined) return Promise.reject(new Error('address is not IP:PORT'));
  return new Promise((resolve) => {
    const socket = connect(target);
    const finish = (isAlive: boolean): void => {
      socket.destroy();
      resolve(isAlive);
    };
    // A process that stood still hears of the connection only after its timers.
    socket.setTimeout(PROBE_TIMEOUT_MS, () => setImmediate(finish, false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
