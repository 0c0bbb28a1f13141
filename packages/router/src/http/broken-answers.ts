/** Ends answers so that they do not look complete. */

import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Time between the last bytes and the reset. A peer that reads both at once reports the bytes and a
 * clean end.
 */
const RESET_DELAY_MS = 200;
/** A peer that reads nothing for this long does not get the bytes before the reset. */
const FLUSH_TIMEOUT_MS = 200;

/** Resets a connection a short while after everything that was written to it has been sent. */
export function closeByReset(socket: Socket): void {
  if (socket.destroyed) return;
  const reset = (): void => {
    socket.resetAndDestroy();
  };
  let timer = setTimeout(reset, FLUSH_TIMEOUT_MS);
  socket.once('close', () => clearTimeout(timer));
  socket.write('', (error) => {
    if (error !== undefined && error !== null) return;
    clearTimeout(timer);
    timer = setTimeout(reset, RESET_DELAY_MS);
  });
}

/**
 * Ends an answer in the middle. Where only its connection tells its end, the connection is reset, as its close would
 * tell that the answer is complete.
 */
export function endBrokenAnswer(response: ServerResponse, endsWithConnection: boolean): void {
  const isReset = response.headersSent && endsWithConnection;
  if (isReset && response.socket !== null) closeByReset(response.socket);
  else response.destroy();
}
