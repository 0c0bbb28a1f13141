/** Stops a gateway: not ready at once, still serving, then connections closed between requests. */

import type { Server } from 'node:http';
import { offer, startTask, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayState } from './gateway-state.js';

/** The balancer asks each second and takes a VM out after two misses. */
const NOTICE_MS = 2_600;
const CHECK_INTERVAL_MS = 50;
/** Time left before the kill when what is still open is given up. */
const KILL_MARGIN_MS = 400;

function* runStop(state: GatewayState, server: Server): Task {
  const lastAt = getSteadyMs() + state.settings.stopWithinMs - KILL_MARGIN_MS;
  offer(state.pools.inbox, { kind: 'stops', at: lastAt });
  yield* waitMs(NOTICE_MS);
  server.close();
  server.closeIdleConnections();
  while (state.openRequests > 0 && getSteadyMs() < lastAt) {
    yield* waitMs(CHECK_INTERVAL_MS);
    server.closeIdleConnections();
  }
  state.logger.info({ openRequests: state.openRequests }, 'gateway: stopped');
}

/** Starts the stop; calls back when nothing is open or time is up. */
export function startStop(state: GatewayState, server: Server, onStopped: () => void): void {
  if (state.isLeaving) return;
  state.isLeaving = true;
  state.refuseStreamsAt = getSteadyMs() + NOTICE_MS;
  state.logger.info({ openRequests: state.openRequests }, 'gateway: leaving');
  startTask(
    'stop',
    () => runStop(state, server),
    (_name, error) => {
      if (error !== undefined) state.logger.error({ err: error }, 'gateway: stop failed');
      onStopped();
    },
  );
}
