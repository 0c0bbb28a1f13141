/**
 * Follows the operator's configuration and the list of servers, and updates the gateway's state.
 */

import type { Server } from 'node:http';
import {
  applyUpstreamChanges,
  dropLapsed,
  RARE_CHANGE_PAUSE_SHARE,
  READER_ANSWER_SHARE,
  READER_HOLD_SHARE,
  READER_PAUSE_SHARE,
  recordVersions,
  forgetObservation,
  startGracePeriod,
  type RoutingConfiguration,
  type UpstreamChange,
} from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import {
  makeTableFeed,
  type FeedOptions,
  type RowOrigin,
  type TableFeed,
} from '../feeds/table-feed.js';
import { makeUnusableRowRecorder, type RecordUnusableRow } from '../feeds/unusable-rows.js';
import { offer } from '../tasks/tasks.js';
import { startAdaptiveTicker } from '../tasks/timers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { applyCallerLimits } from './caller-listener.js';
import { applyConfiguration, recordStoreEra, type GatewayState } from './gateway-state.js';
import { computeMaxBackoffMs } from './membership.js';
import { notifyPoolsOfEngines } from './pool-engines.js';
import type { RowChange } from './ports.js';
import { forgetVersionHistory } from './versions/service-versions.js';

const LAPSE_CHECK_INTERVAL_MS = 100;
const IDLE_LAPSE_CHECK_MS = 1_000;
/** Faults of one version that are logged, so that the line stays short. */
const MAX_LOGGED_FAULTS = 20;
/** A silent connection shows within this time also where changes may take long. */
const MAX_HOLD_MS = 1_500;

function makeFeedOptions(state: GatewayState, pauseShare: number): Omit<FeedOptions, 'table'> {
  const { settings, takeFraction, fleet, metrics } = state;
  const { changeWithinMs } = settings;
  return {
    isAgeBounded: true,
    holdMs: Math.min(MAX_HOLD_MS, Math.round(READER_HOLD_SHARE * changeWithinMs)),
    answerMs: READER_ANSWER_SHARE * changeWithinMs,
    pauseMs: pauseShare * changeWithinMs,
    getMaxBackoffMs: () => computeMaxBackoffMs(fleet, getSteadyMs()),
    takeFraction,
    metrics,
  };
}

/** Lists the services whose engines are assigned by pools. */
export function listPoolServices({ services }: RoutingConfiguration): ServiceName[] {
  const withEngines = [...services.values()].filter(({ engine }) => engine !== undefined);
  return withEngines.map(({ name }) => name);
}

function applyConfigurationRow(
  state: GatewayState,
  server: Server,
  row: RowChange,
  origin: RowOrigin,
): void {
  const { configuration } = state.ports;
  if (row.key !== configuration.key || row.value === undefined) return;
  const decoded = configuration.decode(row.value);
  if (decoded.kind === 'unusable') {
    state.metrics.unusableRows.inc({ table: configuration.table });
    state.logger.error(
      { position: row.position, reason: decoded.reason },
      'configuration: stored value cannot be decoded; the last valid one stays in force',
    );
    return;
  }
  const next = decoded.value;
  if (!applyConfiguration(state, next)) return;
  state.fleet.setServices(listPoolServices(next));
  applyCallerLimits(server, state);
  state.logger.info(
    { version: next.version, routes: next.routes.length, position: row.position, origin },
    'configuration: new version in force',
  );
  const { faults = [] } = decoded;
  if (faults.length === 0) return;
  state.logger.warn(
    { version: next.version, faults: faults.slice(0, MAX_LOGGED_FAULTS), count: faults.length },
    'configuration: parts of the new version cannot be used and are left out',
  );
}

/** Decodes one row of the list; one that names no usable server takes nothing from the others. */
function decodeUpstreamRow(
  { ports: { upstreams } }: GatewayState,
  row: RowChange,
  recordUnusable: RecordUnusableRow,
): UpstreamChange {
  const upstreamId = row.key as UpstreamId;
  if (row.value === undefined) return { upstreamId, record: undefined, isRemoved: true };
  const decoded = upstreams.decode(row.key, row.value);
  if (decoded.kind === 'usable') return { upstreamId, record: decoded.value, isRemoved: false };
  recordUnusable(row, decoded.reason);
  return { upstreamId, record: undefined, isRemoved: false };
}

function logUpstreams(
  state: GatewayState,
  changes: readonly UpstreamChange[],
  origin: RowOrigin,
): void {
  for (const { upstreamId, record, isRemoved } of changes) {
    const before = state.upstreams.records.get(upstreamId);
    const isChanged =
      before?.isLeaving !== record?.isLeaving ||
      before?.stage !== record?.stage ||
      before?.softwareVersion !== record?.softwareVersion ||
      before?.incarnation !== record?.incarnation;
    if (!isChanged) continue;
    state.logger.info({ upstreamId, record, isRemoved, origin }, 'upstreams: entry changed');
  }
}

function removeLapsed(state: GatewayState): void {
  const droppedIds = dropLapsed(state.upstreams, getSteadyMs());
  if (droppedIds.length === 0) return;
  state.logger.info(
    { gone: droppedIds },
    'upstreams: lapsed entries were not renewed and are removed',
  );
  notifyPoolsOfEngines(state);
}

/**
 * Makes the feed of the list of servers. Entries that lapsed during an outage of the store and were
 * not renewed after it are removed.
 */
export function makeUpstreamFeed(state: GatewayState): TableFeed {
  const { store, upstreams } = state.ports;
  const isBusy = (): boolean => state.upstreams.lapsedUntil.size > 0;
  const lapseCheck = startAdaptiveTicker({
    busyMs: LAPSE_CHECK_INTERVAL_MS,
    idleMs: IDLE_LAPSE_CHECK_MS,
    isBusy,
    onTick: () => removeLapsed(state),
  });
  const { table } = upstreams;
  // The pause batches the heartbeats of servers, which change the list all the time.
  const options = { ...makeFeedOptions(state, READER_PAUSE_SHARE), table };
  const recordUnusable = makeUnusableRowRecorder({ ...state, table });
  const handler = {
    onRows: (rows: readonly RowChange[], origin: RowOrigin) => {
      const changes = rows.map((row) => decodeUpstreamRow(state, row, recordUnusable));
      logUpstreams(state, changes, origin);
      const now = getSteadyMs();
      recordVersions(state.versions, state.upstreams.records.values(), now);
      applyUpstreamChanges(state.upstreams, changes, now);
      recordVersions(state.versions, state.upstreams.records.values(), now);
      if (isBusy()) lapseCheck.wake();
      state.hasUpstreams = true;
      offer(state.versionWakeups, true);
      notifyPoolsOfEngines(state);
    },
    onAway: () => state.metrics.storeAway.inc(),
    onBack: () => {
      state.metrics.storeAway.dec();
      startGracePeriod(state.upstreams, getSteadyMs());
      forgetObservation(state.versions, getSteadyMs());
    },
    // Servers write their entries again, as after an outage.
    onRestored: () => {
      startGracePeriod(state.upstreams, getSteadyMs());
      forgetVersionHistory(state, getSteadyMs());
    },
    onFirstEra: () => undefined,
  };
  return makeTableFeed(store, options, handler, state.logger);
}

/** Makes the feed of the operator's configuration. */
export function makeConfigurationFeed(state: GatewayState, server: Server): TableFeed {
  const { store, configuration } = state.ports;
  const { table } = configuration;
  const options = { ...makeFeedOptions(state, RARE_CHANGE_PAUSE_SHARE), table };
  const handler = {
    onRows: (rows: readonly RowChange[], origin: RowOrigin) => {
      for (const row of rows) applyConfigurationRow(state, server, row, origin);
      notifyPoolsOfEngines(state);
    },
    onAway: () => state.metrics.storeAway.inc(),
    onBack: () => state.metrics.storeAway.dec(),
    // The operator writes the configuration again; until then the last one stays in force.
    onRestored: (era: number) => recordStoreEra(state, era, getSteadyMs()),
    onFirstEra: (era: number) => recordStoreEra(state, era, getSteadyMs()),
  };
  return makeTableFeed(store, options, handler, state.logger);
}
