/**
 * Stops the caller interface without cutting a request: give notice, stop listening, wait for every
 * request's own end, flush.
 */

import type { Server } from 'node:http';
import { awaitPromise, makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';

/** What a graceful stop works with. */
export type GracefulStopParts = {
  readonly server: Server;
  /** How long the balancer needs to see that this VM is not ready, in milliseconds. */
  readonly noticeMs: number;
  /** Tells peers and the balancer. */
  readonly onLeaving: () => void;
  /** Finishes work behind answers that were already sent. */
  readonly flush: () => Promise<void>;
  readonly onStopped: () => void;
};

const KEEP_ALIVE_SHARE = 0.5;

/**
 * Returns how long an idle connection may be kept, in milliseconds: less than the notice, so that
 * none is idle, and none can be about to carry a request, when listening ends.
 */
export function getKeepAliveMs(noticeMs: number): number {
  return Math.floor(noticeMs * KEEP_ALIVE_SHARE);
}

function* waitForServer(server: Server): Task {
  const closed = makeChannel<true>(1);
  server.close(() => offer(closed, true));
  yield* receive(closed);
}

/** Runs once, to the end of the last request. */
export function* runGracefulStop(parts: GracefulStopParts): Task {
  parts.onLeaving();
  yield* waitMs(parts.noticeMs);
  yield* waitForServer(parts.server);
  yield* awaitPromise(parts.flush());
  parts.onStopped();
}
