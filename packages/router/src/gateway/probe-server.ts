/** Finds out whether the process of a server has ended. */

import type { PathAnswer } from '@tarragonspool/protocol';

/** Dependencies of a probe. */
export type ServerProbeParts = {
  readonly tryServer: () => Promise<PathAnswer>;
  /** Whether the platform's list shows that the process has ended: it names another start, or none. */
  readonly hasLeftList: () => boolean;
  readonly pause: (ms: number) => Promise<void>;
  readonly getNow: () => number;
};

const INTERVAL_MS = 200;
/** A server that crashed is back, and listed with its new start, within some seconds. */
const MAX_UNKNOWN_MS = 5_000;
/** A server that takes connections again may be listed a little later. */
const MAX_LISTING_MS = 1_000;

/** Waits for the list to show a new start of a server that takes connections. */
async function awaitNewStart(parts: ServerProbeParts): Promise<boolean> {
  const deadline = parts.getNow() + MAX_LISTING_MS;
  while (parts.getNow() < deadline) {
    if (parts.hasLeftList()) return true;
    // eslint-disable-next-line no-await-in-loop -- one look after the other
    await parts.pause(INTERVAL_MS);
  }
  return false;
}

/**
 * Returns whether the process of a server lives. Where no connection to any server opens, this VM may be cut off,
 * or all servers have crashed: the server's next start tells. It is taken for alive if nothing does.
 */
export async function probeServer(parts: ServerProbeParts): Promise<boolean> {
  const deadline = parts.getNow() + MAX_UNKNOWN_MS;
  for (let isFirst = true; parts.getNow() < deadline; isFirst = false) {
    if (parts.hasLeftList()) return false;
    // eslint-disable-next-line no-await-in-loop -- one attempt after the other
    const answer = await parts.tryServer();
    if (answer === 'not-opened') return false;
    // eslint-disable-next-line no-await-in-loop -- returned at once
    if (answer === 'opened') return isFirst || !(await awaitNewStart(parts));
    // eslint-disable-next-line no-await-in-loop -- as above
    await parts.pause(INTERVAL_MS);
  }
  return true;
}
