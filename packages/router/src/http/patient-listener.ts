/**
 * Makes servers listen on addresses that may still be in use for a while: by a process that ends, or by an outgoing
 * connection which was given the port.
 */

import type { Server } from 'node:http';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';

/** Where a server listens. */
export type ListenPlace = { readonly port: number; readonly host: string };

const RETRY_MS = 200;
/** An address that is not free by then is taken for a mistake in the settings. */
const GIVE_UP_MS = 60_000;
/** Errors that may pass: the port is in use, or the machine's address is not there yet. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Makes a server listen, again and again while the address is not free; other errors are thrown. */
export function listenPatiently(server: Server, place: ListenPlace, logger: Logger): void {
  const { port, host } = place;
  const giveUpAt = getSteadyMs() + GIVE_UP_MS;
  let failures = 0;
  server.on('error', (error: NodeJS.ErrnoException) => {
    const isPassing = !server.listening && PASSING_ERRORS.has(error.code);
    if (!isPassing || getSteadyMs() > giveUpAt) throw error;
    failures += 1;
    if (failures === 1) {
      logger.error({ port, host, code: error.code }, 'listeners: address is not free, tried again');
    }
    setTimeout(() => server.listen(port, host), RETRY_MS);
  });
  server.on('listening', () => {
    if (failures > 0) logger.info({ port, host, failures }, 'listeners: address is free now');
  });
  server.listen(port, host);
}
