/** Puts the daemon's parts together and starts and stops them. */

import type { Server } from 'node:http';
import { flushClaims } from '../claims/claim-ledger.js';
import type { Logger } from '../logging/logger.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import type { Settings } from '../settings/settings.js';
import { runGracefulStop } from '../shutdown/graceful-stop.js';
import { startTask } from '../tasks/tasks.js';
import { startControllers, type StartTask } from './controllers.js';
import { makeDaemonState, type DaemonState } from './daemon-state.js';
import { sendHeartbeat, startPeers } from './peer-dispatch.js';
import { makeDaemonCallerServer, makeDaemonOperatorServer } from './servers.js';

/** A running daemon. */
export type Daemon = {
  /** Stops without cutting requests; calls back when the last one ended. */
  readonly stop: (onStopped: () => void) => void;
};

const HEARTBEAT_INTERVAL_MS = 250;
const FLUSH_TIMEOUT_MS = 10_000;

function listen(server: Server, address: { readonly host: string; readonly port: number }): void {
  server.listen(address.port, address.host);
}

function stopDaemon(
  state: DaemonState,
  mesh: PeerMesh,
  server: Server,
  onStopped: () => void,
): void {
  const { settings, logger, inboxes } = state;
  const heartbeat = (): void => sendHeartbeat(state, mesh);
  const parts = {
    server,
    noticeMs: settings.drainNoticeMs,
    onLeaving: () => {
      state.isLeaving = true;
      logger.info('daemon: leaving');
      heartbeat();
    },
    flush: () => flushClaims(inboxes.claims, Date.now() + FLUSH_TIMEOUT_MS),
    onStopped: () => {
      mesh.close();
      logger.info('daemon: stopped');
      onStopped();
    },
  };
  startTask(
    'graceful stop',
    () => runGracefulStop(parts),
    (name, error) => {
      if (error === undefined) return;
      logger.fatal({ name, err: error }, 'daemon: task ended');
      process.exit(1);
    },
  );
}

/** Starts the daemon. */
export function startDaemon(settings: Settings, logger: Logger): Daemon {
  const state = makeDaemonState(settings, logger, Date.now());
  const start: StartTask = (name, body) =>
    startTask(name, body, (ended, error) => {
      logger.fatal({ name: ended, err: error }, 'daemon: task ended');
      process.exit(1);
    });
  const mesh = startPeers(state);
  const allocation = startControllers(state, mesh, start);
  setInterval(() => sendHeartbeat(state, mesh), HEARTBEAT_INTERVAL_MS);
  const callerServer = makeDaemonCallerServer(state);
  listen(callerServer, settings.callerListen);
  listen(makeDaemonOperatorServer(state, allocation), settings.operatorListen);
  logger.info({ callers: settings.callerListen }, 'daemon: started');
  return { stop: (onStopped) => stopDaemon(state, mesh, callerServer, onStopped) };
}
