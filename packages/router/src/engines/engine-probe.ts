/** Probes whether an engine's process accepts connections. */

import { request } from 'node:http';

/**
 * Returns false if a new connection is refused or breaks off. Returns true if it is answered, or
 * silent until the deadline (milliseconds since the epoch): a frozen engine has not crashed.
 */
export function probeEngine(host: string, port: string, deadline: number): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path: '/load', agent: false }, (incoming) => {
      incoming.resume();
      resolve(true);
    });
    const timer = setTimeout(
      () => {
        resolve(true);
        outgoing.destroy();
      },
      Math.max(0, deadline - Date.now()),
    );
    outgoing.on('error', () => resolve(false));
    outgoing.on('close', () => clearTimeout(timer));
    outgoing.end();
  });
}
