/** Puts the gateway's parts together and starts and stops them. */

import { createServer, type Server } from 'node:http';
import { destination, pino } from 'pino';
import {
  applyUpstreamChanges,
  expireLapsed,
  startLapseWindow,
  type PoolEngine,
  type UpstreamChange,
} from '@tarragonspool/core';
import type { PoolMessage, ServiceName, UpstreamId, VmId } from '@tarragonspool/protocol';
import { makeRowRelay } from '../feeds/row-relay.js';
import { makeTableFeed, type FeedOptions, type TableFeed } from '../feeds/table-feed.js';
import type { Logger } from '../logging/logger.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import { makePoolTask } from '../pools/pool-task.js';
import { offer, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { runStages } from '../stages/stage-task.js';
import { applyCallerLimits, makeCallerListener } from './caller-listener.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import { applyConfiguration, makeGatewayState, type GatewayState } from './gateway-state.js';
import { startPeerLinks } from './peer-links.js';
import type { GatewayPorts, GatewaySettings, ListenAddress, RowChange } from './ports.js';
import { decodeMembers, MEMBERS_TABLE, runRegistration } from './registry.js';
import { startStop } from './stop.js';

const EXIT_INTERNAL = 70;
const POOL_TICK_MS = 25;
const LAPSE_CHECK_MS = 100;
const STORE_CHECK_MS = 100;
const FEED_HOLD_MS = 1_500;
const FEED_PAUSE_MS = 120;
const MEMBERS_HOLD_MS = 5_000;
const MEMBERS_PAUSE_MS = 500;
const MAX_LOG_BUFFER_BYTES = 1_048_576;

function makeGatewayLogger({ vmId }: GatewaySettings): Logger {
  // Lines are dropped rather than kept without bound when nobody reads them.
  const stream = destination({ dest: 1, sync: false, maxLength: MAX_LOG_BUFFER_BYTES });
  return pino({ level: 'info', base: { vmId } }, stream);
}

function listen(server: Server, { port, host }: ListenAddress): void {
  server.listen(port, host);
}

function applyConfigurationRow(state: GatewayState, server: Server, row: RowChange): void {
  const { configuration } = state.ports;
  if (row.key !== configuration.key || row.value === undefined) return;
  const next = configuration.decode(row.value);
  if (next === undefined) {
    state.logger.error({ version: row.version }, 'configuration: cannot be read, kept the last one');
    return;
  }
  if (!applyConfiguration(state, next)) return;
  applyCallerLimits(server, state);
  state.logger.info({ version: next.version, routes: next.routes.length }, 'configuration: in force');
}

function decodeUpstreamRow(state: GatewayState, row: RowChange): UpstreamChange {
  const upstreamId = row.key as UpstreamId;
  const { value } = row;
  const record = value && state.ports.upstreams.decode(row.key, value);
  if (value !== undefined && record === undefined) {
    state.logger.warn({ upstreamId }, 'upstreams: entry cannot be read');
  }
  return { upstreamId, record, isRemoved: value === undefined };
}

function listPoolEngines(state: GatewayState): ReadonlyMap<ServiceName, PoolEngine[]> {
  const pools = new Map<ServiceName, PoolEngine[]>();
  for (const service of state.configuration?.services.values() ?? []) {
    if (service.engine !== undefined) pools.set(service.name, []);
  }
  for (const record of state.upstreams.records.values()) {
    const engines = pools.get(record.service);
    const limits = state.configuration?.services.get(record.service)?.engine;
    if (engines === undefined || limits === undefined || record.stage === undefined) continue;
    const { upstreamId, stage, incarnation, isLeaving, slots } = record;
    const { kvCapacityTokens } = limits;
    engines.push({ upstreamId, stage, incarnation, isLeaving, slots, kvCapacityTokens });
  }
  return pools;
}

function publishEngines(state: GatewayState): void {
  for (const [service, engines] of listPoolEngines(state)) {
    offer(state.pools.inbox, { kind: 'engines', service, engines });
  }
}

function logUpstreams(state: GatewayState, changes: readonly UpstreamChange[]): void {
  for (const { upstreamId, record, isRemoved } of changes) {
    const before = state.upstreams.records.get(upstreamId);
    const isChanged =
      before?.isLeaving !== record?.isLeaving ||
      before?.stage !== record?.stage ||
      before?.incarnation !== record?.incarnation;
    if (isChanged) state.logger.info({ upstreamId, record, isRemoved }, 'upstreams: entry changed');
  }
}

function makeUpstreamFeed(state: GatewayState): TableFeed {
  const { store, upstreams } = state.ports;
  const options = { ...makeFeedOptions(state), table: upstreams.table };
  const handler = {
    onRows: (rows: readonly RowChange[]) => {
      const changes = rows.map((row) => decodeUpstreamRow(state, row));
      logUpstreams(state, changes);
      applyUpstreamChanges(state.upstreams, changes, getSteadyMs());
      state.hasUpstreams = true;
      publishEngines(state);
    },
    onAway: () => state.metrics.storeAway.inc(),
    onBack: () => {
      state.metrics.storeAway.dec();
      startLapseWindow(state.upstreams, getSteadyMs());
    },
  };
  return makeTableFeed(store, options, handler, state.logger);
}

function startLapseCheck(state: GatewayState): void {
  setInterval(() => {
    const gone = expireLapsed(state.upstreams, getSteadyMs());
    if (gone.length === 0) return;
    state.logger.info({ gone }, 'upstreams: entries did not come back');
    publishEngines(state);
  }, LAPSE_CHECK_MS);
}

function makeConfigurationFeed(state: GatewayState, server: Server): TableFeed {
  const { store, configuration } = state.ports;
  const options = { ...makeFeedOptions(state), table: configuration.table };
  const handler = {
    onRows: (rows: readonly RowChange[]) => {
      for (const row of rows) applyConfigurationRow(state, server, row);
      publishEngines(state);
    },
    onAway: () => state.metrics.storeAway.inc(),
    onBack: () => state.metrics.storeAway.dec(),
  };
  return makeTableFeed(store, options, handler, state.logger);
}

function makeFeedOptions({ takeFraction }: GatewayState): Omit<FeedOptions, 'table'> {
  return { holdMs: FEED_HOLD_MS, pauseMs: FEED_PAUSE_MS, takeFraction };
}

type StartTask = (name: string, body: () => Task) => void;
type PeerSender = { mesh: PeerMesh | undefined };

function makeMemberFeed(state: GatewayState, members: MemberList): TableFeed {
  const options = {
    table: MEMBERS_TABLE,
    holdMs: MEMBERS_HOLD_MS,
    pauseMs: MEMBERS_PAUSE_MS,
    takeFraction: state.takeFraction,
  };
  const handler = {
    onRows: () => {
      members.entryVms = decodeMembers(feed.cache.listRows());
    },
    onAway: () => undefined,
    onBack: () => undefined,
  };
  const feed: TableFeed = makeTableFeed(state.ports.store, options, handler, state.logger);
  return feed;
}

type MemberList = { entryVms: ReturnType<typeof decodeMembers> };

function chooseInformedPeer(state: GatewayState): VmId | undefined {
  const peers = state.pools.listInformedPeers();
  return peers[Math.floor(state.takeFraction() * peers.length)];
}

function startMembership(
  state: GatewayState,
  feeds: readonly TableFeed[],
  links: PeerSender,
  start: StartTask,
): void {
  const { settings, logger, metrics, pools } = state;
  const { host, port } = settings.peerListen;
  const self = { vmId: settings.vmId, peerAddress: `${host}:${port}` };
  const members: MemberList = { entryVms: [] };
  const relay = makeRowRelay({
    feeds,
    choosePeer: () => chooseInformedPeer(state),
    sendTo: (vmId, message) => links.mesh?.sendTo(vmId, message),
    logger,
  });
  const isStoreAway = (): boolean => feeds.some((feed) => feed.isAway());
  setInterval(
    () => offer(pools.inbox, { kind: 'store', isAway: isStoreAway() }),
    STORE_CHECK_MS,
  );
  start('membership', function* run() {
    const { store } = state.ports;
    const registration = yield* runRegistration(store, self, state.takeFraction, logger);
    const parts = { settings, registration, members, pools, relay, isStoreAway, metrics, logger };
    links.mesh = startPeerLinks(parts);
    yield* makeMemberFeed(state, members).run();
  });
}

function startReadyListener(state: GatewayState): Server {
  const { readyListen } = state.settings;
  const server = createServer((_incoming, response) => {
    const isReady = state.configuration !== undefined && state.hasUpstreams && !state.isLeaving;
    response.writeHead(isReady ? 200 : 503, { 'Content-Length': 0 });
    response.end();
  });
  listen(server, readyListen);
  return server;
}

function startMetricsListener(state: GatewayState): void {
  const { registry } = state.metrics;
  const server = createServer((_incoming, response) => {
    registry.metrics().then(
      (text) => {
        response.writeHead(200, { 'Content-Type': registry.contentType });
        response.end(text);
      },
      (error: unknown) => {
        state.logger.error({ err: error }, 'metrics: cannot be read');
        response.writeHead(500);
        response.end();
      },
    );
  });
  listen(server, state.settings.metricsListen);
}

function handleFatal(logger: Logger, error: unknown): void {
  logger.fatal({ err: error }, 'gateway: unexpected error');
  process.stderr.write(`9001 ${String(error)}\n`);
  setTimeout(() => process.exit(EXIT_INTERNAL), POOL_TICK_MS);
}

/** A running gateway. */
export type Gateway = {
  /** Takes settings that were read again; addresses stay as they were at the start. */
  readonly updateSettings: (settings: GatewaySettings) => void;
  readonly reportBadSettings: (errors: readonly string[]) => void;
};

/** Starts the gateway on a platform. */
export function startGateway(settings: GatewaySettings, ports: GatewayPorts): Gateway {
  const logger = makeGatewayLogger(settings);
  process.on('uncaughtException', (error) => handleFatal(logger, error));
  const links: PeerSender = { mesh: undefined };
  const takeFraction = Math.random;
  const sendTo = (vmId: VmId, message: PoolMessage): void => {
    links.mesh?.sendTo(vmId, message);
  };
  const broadcast = (message: PoolMessage): void => links.mesh?.broadcast(message);
  const pools = makePoolTask({ self: settings.vmId, takeFraction, sendTo, broadcast, logger });
  const metrics = makeGatewayMetrics();
  const startName = `${settings.vmId}-${process.hrtime.bigint().toString(36)}`;
  const parts = { settings, ports, logger, metrics, pools, takeFraction, startName };
  const state = makeGatewayState(parts);
  const start: StartTask = (name, body) =>
    startTask(name, body, (ended, error) => {
      if (error !== undefined) handleFatal(logger, error);
      else logger.info({ name: ended }, 'gateway: task ended');
    });
  start('pools', pools.run);
  setInterval(() => offer(pools.inbox, { kind: 'ticked' }), POOL_TICK_MS);
  const server = makeCallerListener(state);
  const feeds = [makeConfigurationFeed(state, server), makeUpstreamFeed(state)];
  for (const feed of feeds) start(`feed of ${feed.table}`, feed.run);
  startLapseCheck(state);
  startMembership(state, feeds, links, start);
  start('stages', () => runStages(state));
  listen(server, settings.callerListen);
  startReadyListener(state);
  startMetricsListener(state);
  logger.info({ settings }, 'gateway: started');
  process.on('SIGTERM', () => startStop(state, server, () => process.exit(0)));
  return {
    updateSettings: (next) => {
      state.settings = next;
      logger.info({ settings: next }, 'gateway: settings read again');
    },
    reportBadSettings: (errors) => {
      logger.error({ code: 8001, errors }, 'gateway: settings not valid, kept the last ones');
    },
  };
}
