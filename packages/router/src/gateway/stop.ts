/**
 * Shuts a gateway down: it reports not ready at once, serves on until the balancer has noticed, then
 * closes connections between requests.
 */

import type { Server } from 'node:http';
import { Server as NetServer } from 'node:net';
import { offer, startTask, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { CallerReply } from './caller-reply.js';
import type { GatewayState } from './gateway-state.js';

/** The balancer probes readiness every second and removes a VM after two failed probes. */
const BALANCER_NOTICE_MS = 2_600;
const CHECK_INTERVAL_MS = 50;
/** Requests that are still open this long before the process is killed are abandoned. */
const KILL_MARGIN_MS = 400;
/** Time for answers that are broken off to tell their callers. */
const BREAK_OFF_MS = 300;
/** Other VMs serve what this one has not read. */
const LEAVING_RETRY_AFTER_MS = 200;

/** The end of the process would close the connections, and some answers would look complete. */
function endStopped({ unreadReplies }: GatewayState, reply: CallerReply): void {
  if (unreadReplies.has(reply)) reply.refuse('not-ready', LEAVING_RETRY_AFTER_MS);
  else if (reply.getState() === 'open') reply.refuse('outcome-unknown');
  else reply.breakOff('stopped');
}

/** Takes no new connections. The HTTP server's own `close` would also end connections between requests. */
function stopListening(server: Server): void {
  NetServer.prototype.close.call(server);
}

/**
 * Closes connections between requests. Node counts one as such whose answer has ended but waits for its
 * caller to read, so none is closed while there is such an answer.
 */
function closeIdle({ openReplies }: GatewayState, server: Server): void {
  for (const reply of openReplies) {
    if (reply.getState() === 'ended') return;
  }
  server.closeIdleConnections();
}

function* runShutdown(state: GatewayState, server: Server): Task {
  const closeAt = getSteadyMs() + state.settings.stopWithinMs - KILL_MARGIN_MS;
  offer(state.pools.inbox, { kind: 'stops', at: closeAt });
  yield* waitMs(BALANCER_NOTICE_MS);
  stopListening(server);
  closeIdle(state, server);
  while (state.openRequests > 0 && getSteadyMs() < closeAt) {
    yield* waitMs(CHECK_INTERVAL_MS);
    closeIdle(state, server);
  }
  const { openRequests } = state;
  for (const reply of state.openReplies) endStopped(state, reply);
  const brokenOffBy = getSteadyMs() + BREAK_OFF_MS;
  while (state.openRequests > 0 && getSteadyMs() < brokenOffBy) yield* waitMs(CHECK_INTERVAL_MS);
  state.logger.info({ openRequests }, 'gateway: stopped');
}

/** Starts the shutdown; calls `onStopped` when no request is open or the time is up. */
export function startShutdown(state: GatewayState, server: Server, onStopped: () => void): void {
  if (state.isLeaving) return;
  state.isLeaving = true;
  state.refuseStreamsAfter = getSteadyMs() + BALANCER_NOTICE_MS;
  state.logger.info({ openRequests: state.openRequests }, 'gateway: leaving; shutdown started');
  startTask(
    'stop',
    () => runShutdown(state, server),
    (_name, error) => {
      if (error !== undefined) state.logger.error({ err: error }, 'gateway: stop task failed');
      onStopped();
    },
  );
}
