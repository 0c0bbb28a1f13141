/** HTTP listeners for readiness probes and metrics. */

import { createServer, type Server } from 'node:http';
import { closeSurplusConnections } from '../http/surplus-connections.js';
import { listenPatiently } from '../http/patient-listener.js';
import type { GatewayState } from './gateway-state.js';
import { HELD_KINDS } from '../intake/held-bytes.js';
import { updateUpstreamGauge } from './upstream-notices.js';

/** The platform asks once a second, and may keep some connections. */
const MAX_READY_CONNECTIONS = 64;
const MAX_METRICS_CONNECTIONS = 32;

/** Whether this VM knows what it serves, and what it must refuse. */
function hasKnowledge({ configuration, hasUpstreams, partGuard }: GatewayState): boolean {
  return configuration !== undefined && hasUpstreams && partGuard.hasCaughtUp();
}

/** Starts the readiness listener: answers 200 while this VM accepts new connections, else 503. */
export function startReadyListener(state: GatewayState): Server {
  const { readyListen } = state.settings;
  const server = createServer((_incoming, response) => {
    const isReady = hasKnowledge(state) && !state.isLeaving;
    response.writeHead(isReady ? 200 : 503, { 'Content-Length': 0 });
    response.end();
  });
  closeSurplusConnections(server, MAX_READY_CONNECTIONS);
  listenPatiently(server, readyListen, state.logger);
  return server;
}

/** Starts the listener that serves the metrics. */
export function startMetricsListener(state: GatewayState): void {
  const { registry } = state.metrics;
  const server = createServer((_incoming, response) => {
    updateUpstreamGauge(state);
    for (const kind of HELD_KINDS) {
      state.metrics.heldBytes.set({ kind }, state.heldBytes.countKind(kind));
    }
    registry.metrics().then(
      (text) => {
        response.writeHead(200, { 'Content-Type': registry.contentType });
        response.end(text);
      },
      (error: unknown) => {
        state.logger.error({ err: error }, 'metrics: cannot be collected');
        response.writeHead(500);
        response.end();
      },
    );
  });
  closeSurplusConnections(server, MAX_METRICS_CONNECTIONS);
  listenPatiently(server, state.settings.metricsListen, state.logger);
}
