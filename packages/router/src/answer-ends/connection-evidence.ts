/** Waits for what the connections of this VM to a server tell of the end of an answer. */

import { getSteadyMs } from '../time/steady-clock.js';
import {
  ARRIVAL_MS,
  type ConnectionEvidence,
  type OpenEvidence,
  type ServerConnections,
} from './server-connections.js';

/** A moment, and the server that it is about. */
export type EndMoment = {
  readonly address: string;
  readonly at: number;
  /** The request whose answer ended; undefined if another VM asks. */
  readonly requestId: string | undefined;
};

/** Each turn of the loop reads a part of what has arrived on a connection. */
const READ_TURNS = 3;
const CHECK_INTERVAL_MS = 25;

/** Waits until what has arrived is read: the last bytes of a process that died are followed by the end. */
async function finishReading(): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn += 1) {
    // eslint-disable-next-line no-await-in-loop -- one turn after the other
    await new Promise(setImmediate);
  }
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits until more of another answer comes, until none can come any more, or for a time after the moment. */
export async function awaitEvidence(
  connections: Pick<ServerConnections, 'collectEvidence'>,
  { address, at, requestId }: EndMoment,
  withinMs: number,
): Promise<ConnectionEvidence> {
  const collect = async (): Promise<OpenEvidence> => {
    await finishReading();
    return connections.collectEvidence(address, at, requestId);
  };
  await pause(Math.max(0, at + ARRIVAL_MS - getSteadyMs()));
  let evidence = await collect();
  while (!evidence.isHeard && evidence.canBeHeard && getSteadyMs() < at + withinMs) {
    // eslint-disable-next-line no-await-in-loop -- looked at again until it tells
    await pause(CHECK_INTERVAL_MS);
    // eslint-disable-next-line no-await-in-loop -- as above
    evidence = await collect();
  }
  return evidence;
}
