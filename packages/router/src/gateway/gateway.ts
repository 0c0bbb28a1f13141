/** Creates the gateway's parts, connects them and starts and stops them. */

import { setTimeout as pause } from 'node:timers/promises';
import { destination, pino } from 'pino';
import {
  computeMaxStoreAgeMs,
  isKnownToLeave,
  makeUpstreamList,
  makeVersionHistory,
  type HeldLimits,
  type UpstreamList,
} from '@tarragonspool/core';
import type {
  PeerMessage,
  QuarantineScope,
  ServiceName,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { listenPatiently } from '../http/patient-listener.js';
import { makeGarbageCollector, makeMemoryWatch, measureMemoryUse } from '../intake/memory-watch.js';
import { findHeldLimits } from '../intake/request-sizes.js';
import type { Logger } from '../logging/logger.js';
import { makeFleetView } from '../peers/fleet-view.js';
import { makePoolTask } from '../pools/pool-task.js';
import { makeQuotaTask, QUOTA_TICK_MS } from '../quotas/quota-task.js';
import { runStages } from '../stages/stage-task.js';
import { offer, startTask } from '../tasks/tasks.js';
import { startAdaptiveTicker, type AdaptiveTicker } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { makeCallerListener } from './caller-listener.js';
import { makeContentGuard } from './quarantine/content-guard.js';
import { makeGatewayMetrics } from './gateway-metrics.js';
import { ASSUMED_VM_COUNT, makeGatewayState, type GatewayState } from './gateway-state.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { startLoadSharing } from './load-sharing.js';
import { startMembership, type PeerMeshHolder, type StartTask } from './membership.js';
import { makePartGuard } from './quarantine/part-guard.js';
import type { GatewayPorts, GatewaySettings } from './ports.js';
import { makeAnswerEnds } from '../answer-ends/answer-ends.js';
import { probeServer } from './probe-server.js';
import { makeQuarantineWakeups } from './quarantine/quarantine-rows.js';
import { listScopes } from './quarantine/quarantine-scope.js';
import { makeSavedStreams } from './saved-streams.js';
import { startServerAccess } from './server-access.js';
import { startMetricsListener, startReadyListener } from './side-listeners.js';
import { listPoolServices, makeConfigurationFeed, makeUpstreamFeed } from './state-feeds.js';
import { startShutdown } from './stop.js';
import {
  computeHorizonMs,
  listEarlierVersions,
  listUsedVersions,
  recordListedVersions,
} from './versions/service-versions.js';
import { makeStreamOriginBook } from './stream-origins.js';
import { makeVersionQuestions } from './versions/version-questions.js';

const EXIT_INTERNAL = 70;
const BYTES_PER_MB = 1_048_576;
const POOL_TICK_MS = 25;
/** Interval at which it is checked whether any tenant has a limit. */
const IDLE_QUOTA_TICK_MS = 200;
const IDLE_POOL_TICK_MS = 250;
const CONTENT_TICK_MS = 100;
const IDLE_CONTENT_TICK_MS = 5_000;
const EXIT_DELAY_MS = 25;
/** VMs that are told where the streams of a service began. */
const ORIGIN_HOMES = 3;
const ORIGIN_TICK_MS = 500;
const MAX_LOG_BUFFER_BYTES = 1_048_576;

function makeGatewayLogger({ vmId }: GatewaySettings): Logger {
  // Log lines are dropped once the buffer is full, so that memory stays bounded when nobody reads
  // them.
  const stream = destination({ dest: 1, sync: false, maxLength: MAX_LOG_BUFFER_BYTES });
  return pino({ level: 'info', base: { vmId } }, stream);
}

function handleFatal(logger: Logger, error: unknown): void {
  logger.fatal({ err: error }, 'gateway: unexpected error');
  process.stderr.write(`9001 ${String(error)}\n`);
  setTimeout(() => process.exit(EXIT_INTERNAL), EXIT_DELAY_MS);
}

/** Names a crash: the server and the start of its process, the same at all VMs. */
function makeCrashId(upstreamId: UpstreamId, { records }: UpstreamList): string {
  return `${upstreamId}/${records.get(upstreamId)?.incarnation ?? ''}`;
}

function findCrashedServer(crashId: string): UpstreamId {
  return crashId.slice(0, crashId.lastIndexOf('/')) as UpstreamId;
}

/** Holds a ticker that its subject wakes; undefined until it is started. */
type TickerHolder = { ticker: AdaptiveTicker | undefined };

/** A running gateway. */
export type Gateway = {
  /** Replaces the settings after a reload; listeners keep the addresses that they started with. */
  readonly updateSettings: (settings: GatewaySettings) => void;
  readonly reportBadSettings: (errors: readonly string[]) => void;
};

/** Starts the gateway with the ports of a platform. */
export function startGateway(settings: GatewaySettings, ports: GatewayPorts): Gateway {
  const logger = makeGatewayLogger(settings);
  process.on('uncaughtException', (error) => handleFatal(logger, error));
  const meshHolder: PeerMeshHolder = { mesh: undefined };
  const stateHolder: { state: GatewayState | undefined } = { state: undefined };
  const takeFraction = Math.random;
  const sendTo = (vmId: VmId, message: PeerMessage): void => {
    meshHolder.mesh?.sendTo(vmId, message);
  };
  const broadcast = (message: PeerMessage): void => meshHolder.mesh?.broadcast(message);
  const poolTicker: TickerHolder = { ticker: undefined };
  const onBusy = (): void => poolTicker.ticker?.wake();
  const { vmId: self } = settings;
  const pools = makePoolTask({ self, takeFraction, sendTo, broadcast, onBusy, logger });
  const metrics = makeGatewayMetrics();
  const processStartId = `${settings.vmId}-${process.hrtime.bigint().toString(36)}`;
  const quarantineWakeups = makeQuarantineWakeups();
  const upstreams = makeUpstreamList();
  const listServerScopes = (upstreamId: UpstreamId | undefined): QuarantineScope[] => {
    const service = upstreamId && upstreams.records.get(upstreamId)?.service;
    // A server that is not known says nothing of where its requests came from.
    if (upstreamId !== undefined && service === undefined) return [];
    return listScopes(stateHolder.state?.configuration, service);
  };
  const partGuard = makePartGuard({
    broadcast,
    listScopes: (crashId) =>
      listServerScopes(crashId === undefined ? undefined : findCrashedServer(crashId)),
    onChanged: (isOwnReport) => offer(quarantineWakeups, { isOwnReport }),
    logger,
  });
  const fleet = makeFleetView(settings.vmId, computeMaxStoreAgeMs(settings.changeWithinMs));
  const memoryWatch = makeMemoryWatch({
    getMemoryBytes: () => (stateHolder.state?.settings ?? settings).memoryMb * BYTES_PER_MB,
    measureUse: measureMemoryUse,
    collect: makeGarbageCollector(),
    onCollected: (kind) => metrics.collections.inc({ kind }),
  });
  const getHeldLimits = (): HeldLimits => {
    const { memoryMb } = stateHolder.state?.settings ?? settings;
    return findHeldLimits(memoryMb, stateHolder.state?.configuration);
  };
  const heldBytes = makeHeldBytes(getHeldLimits);
  const access = startServerAccess({
    beginBody: heldBytes.beginWholeBody,
    onRead: memoryWatch.recordTaken,
    settings,
    upstreams,
    fleet,
    meshHolder,
    takeFraction,
    decodeRequestId: ports.dialect.decodeRequestId,
    reportPath: ports.dialect.reportPath,
    onRelayedCount: (change) => {
      if (stateHolder.state !== undefined) stateHolder.state.openRequests += change;
    },
    metrics,
    logger,
  });
  const answerEnds = makeAnswerEnds({
    connections: access.connections,
    questions: access.endQuestions,
    isLeaving: (server) => isKnownToLeave(upstreams, server),
    hasStoodStill: access.hasStoodStill,
    logger,
  });
  const contentTicker: TickerHolder = { ticker: undefined };
  const contentGuard = makeContentGuard({
    probe: (upstreamId, crashId) =>
      probeServer({
        tryServer: () => access.tryServer(upstreamId),
        hasLeftList: () => makeCrashId(upstreamId, upstreams) !== crashId,
        pause,
        getNow: getSteadyMs,
      }),
    broadcast: (items) => broadcast({ kind: 'suspects', items }),
    takeFraction,
    getCrashId: (upstreamId) => makeCrashId(upstreamId, upstreams),
    listScopes: listServerScopes,
    onCrash: partGuard.recordCrash,
    onChanged: (isOwnReport) => offer(quarantineWakeups, { isOwnReport }),
    onBusy: () => contentTicker.ticker?.wake(),
    logger,
  });
  contentTicker.ticker = startAdaptiveTicker({
    busyMs: CONTENT_TICK_MS,
    idleMs: IDLE_CONTENT_TICK_MS,
    isBusy: contentGuard.isBusy,
    onTick: contentGuard.tick,
  });
  const versions = makeVersionHistory();
  const savedStreams = makeSavedStreams({
    store: ports.store,
    keyPrefix: `${self}/`,
    startId: processStartId,
    isWriter: (service) => fleet.listHubsOf(service, getSteadyMs())[0] === self,
    onRead: (records) => stateHolder.state?.streamOrigins.recordSaved(records),
    getNow: getSteadyMs,
    takeFraction,
    logger,
  });
  const versionQuestions = makeVersionQuestions({ ports, logger });
  const streamOrigins = makeStreamOriginBook({
    self,
    listHomes: (service) => fleet.listHubsOf(service, getSteadyMs()).slice(0, ORIGIN_HOMES),
    sendTo: (vmId, message) => meshHolder.mesh?.sendTo(vmId, message) ?? false,
    listServices: () => {
      const configuration = stateHolder.state?.configuration;
      return configuration === undefined ? [] : listPoolServices(configuration);
    },
    listUsedVersions: (service) =>
      stateHolder.state && listUsedVersions(stateHolder.state, service),
    listEarlierVersions: (service) =>
      stateHolder.state && listEarlierVersions(stateHolder.state, service),
    save: savedStreams.add,
    isSavedRead: savedStreams.isRead,
    readUsed: versionQuestions.ask,
    getHorizonMs: () => computeHorizonMs(stateHolder.state),
    logger,
  });
  startAdaptiveTicker({
    busyMs: ORIGIN_TICK_MS,
    idleMs: ORIGIN_TICK_MS,
    isBusy: () => false,
    onTick: () => {
      if (stateHolder.state !== undefined) {
        recordListedVersions(stateHolder.state);
        offer(stateHolder.state.versionWakeups, true);
      }
      streamOrigins.tick();
    },
  });
  const quotas = makeQuotaTask(
    {
      self,
      start: processStartId,
      getDirectory: () => stateHolder.state?.configuration?.tenants,
      getBounds: () => (stateHolder.state?.settings ?? settings).quotaBounds,
      countListedVms: () => stateHolder.state?.listedVmCount ?? ASSUMED_VM_COUNT,
      // No service has this name, so that the first ranking is found, which keeps the quotas of all tenants.
      getRanking: () => fleet.findRankingName('' as ServiceName),
      sendTo: (to, message) => meshHolder.mesh?.sendTo(to, message),
      broadcast,
      takeFraction,
      metrics: {
        countRefused: () => metrics.quotaRefused.inc(),
        setBelowZero: (count) => metrics.quotasBelowZero.set(count),
        setOutOfContact: (isOut) => metrics.quotaOutOfContact.set(isOut ? 1 : 0),
      },
      logger,
    },
    getSteadyMs(),
  );
  const sharedLoads = startLoadSharing({
    self,
    sendTo,
    broadcast,
    getState: () => stateHolder.state,
    findOwner: pools.findOwner,
    countLiveVms: pools.countLiveVms,
    metrics,
    logger,
  });
  const parts = {
    settings,
    ports,
    access,
    answerEnds,
    memoryWatch,
    upstreams,
    logger,
    metrics,
    pools,
    quotas,
    contentGuard,
    heldBytes,
    getUnparsedLimit: () => getHeldLimits().unparsedBytes,
    partGuard,
    sharedLoads,
    quarantineWakeups,
    broadcast,
    fleet,
    versions,
    streamOrigins,
    takeFraction,
    processStartId,
  };
  const state = makeGatewayState(parts);
  stateHolder.state = state;
  const start: StartTask = (name, body) =>
    startTask(name, body, (ended, error) => {
      if (error !== undefined) handleFatal(logger, error);
      else logger.info({ name: ended }, 'gateway: task ended');
    });
  start('saved streams', savedStreams.run);
  start('version questions', versionQuestions.run);
  start('pools', pools.run);
  poolTicker.ticker = startAdaptiveTicker({
    busyMs: POOL_TICK_MS,
    idleMs: IDLE_POOL_TICK_MS,
    isBusy: pools.isBusy,
    onTick: () => offer(pools.inbox, { kind: 'ticked' }),
  });
  startAdaptiveTicker({
    busyMs: QUOTA_TICK_MS,
    idleMs: IDLE_QUOTA_TICK_MS,
    isBusy: quotas.isInUse,
    onTick: () => quotas.tick(getSteadyMs()),
  });
  const server = makeCallerListener(state);
  const feeds = [makeConfigurationFeed(state, server), makeUpstreamFeed(state)];
  for (const feed of feeds) start(`feed of ${feed.table}`, feed.run);
  startMembership(state, feeds, meshHolder, start);
  start('stages', () => runStages(state));
  listenPatiently(server, settings.callerListen, logger);
  startReadyListener(state);
  startMetricsListener(state);
  logger.info({ settings }, 'gateway: started');
  process.on('SIGTERM', () => startShutdown(state, server, () => process.exit(0)));
  return {
    updateSettings: (next) => {
      state.settings = next;
      logger.info({ settings: next }, 'gateway: settings read again');
    },
    reportBadSettings: (errors) => {
      logger.error(
        { code: 8001, errors },
        'gateway: settings are not valid; the previous ones stay in place',
      );
    },
  };
}
