/** Writes the store's rows of software versions as servers come and go. */

import { listVersions, type VersionHistory } from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import type { Logger } from '../../logging/logger.js';
import type { FleetView } from '../../peers/fleet-view.js';
import { awaitPromise, receive, type Channel, type Task } from '../../tasks/tasks.js';
import { getSteadyMs } from '../../time/steady-clock.js';
import { notifyPoolsOfEngines, type PoolEnginesState } from '../pool-engines.js';
import type { GatewaySettings, RowStore, RowWrite } from '../ports.js';
import { MEMBERS_TABLE } from '../registry.js';
import { computeHorizonMs } from './service-versions.js';
import { recordRegistered } from './version-registry.js';
import {
  buildEndingWrite,
  buildMissingWrite,
  makeVersionKey,
  type EngineVersion,
} from './version-rows.js';

/** State that the rows are compared with, and the store that they are written to. */
export type VersionWritesState = PoolEnginesState & {
  readonly settings: Pick<GatewaySettings, 'vmId'>;
  readonly ports: { readonly store: Pick<RowStore, 'write'> };
  readonly fleet: Pick<FleetView, 'listHubsOf'>;
  readonly versions: VersionHistory;
  readonly storeKnown: { readonly isRecent: boolean };
  readonly logger: Logger;
};

const CALL_TIMEOUT_MS = 1_500;
/** Each VM of a service's ranking waits so much longer than the one before it. */
const RANK_DELAY_MS = 300;
const UNRANKED_DELAY_MS = 2_000;
/** The feed shows a row within this time after it was written. */
const SHOWN_WITHIN_MS = 3_000;

/** When this VM first missed a row, and when it wrote one, by key. */
type WriteTimes = {
  readonly missedAt: Map<string, number>;
  readonly writtenAt: Map<string, number>;
};

/** Lists the versions of the engines that are listed now. */
function listListedVersions({ configuration, upstreams }: PoolEnginesState): EngineVersion[] {
  const versions = new Map<string, EngineVersion>();
  for (const { service, softwareVersion } of upstreams.records.values()) {
    if (configuration?.services.get(service)?.engine === undefined) continue;
    versions.set(`${service} ${softwareVersion}`, { service, softwareVersion });
  }
  return [...versions.values()];
}

function findRank(
  { fleet, settings }: VersionWritesState,
  service: ServiceName,
  now: number,
): number {
  return fleet.listHubsOf(service, now).indexOf(settings.vmId);
}

/** Lists the versions whose rows this VM is to write: the first of the ranking at once, others later. */
function listDueVersions(
  state: VersionWritesState,
  listed: readonly EngineVersion[],
  { missedAt, writtenAt }: WriteTimes,
  now: number,
): EngineVersion[] {
  const rows = state.versionRegistry.rows ?? new Map();
  return listed.filter((version) => {
    const key = makeVersionKey(version);
    if (rows.get(key)?.isRetired === false) {
      missedAt.delete(key);
      return false;
    }
    const since = missedAt.get(key) ?? now;
    missedAt.set(key, since);
    if (now - (writtenAt.get(key) ?? -Infinity) < SHOWN_WITHIN_MS) return false;
    const rank = findRank(state, version.service, now);
    return now - since >= (rank < 0 ? UNRANKED_DELAY_MS : rank * RANK_DELAY_MS);
  });
}

/** Builds the write that ends the row of a version without servers, on the first VM of the ranking. */
function buildOwnEndingWrite(
  state: VersionWritesState,
  listed: readonly EngineVersion[],
  now: number,
): RowWrite | undefined {
  const { rows, retiredSince } = state.versionRegistry;
  if (rows === undefined) return undefined;
  const horizonMs = computeHorizonMs(state);
  const isUnused = ({ service, softwareVersion }: EngineVersion): boolean => {
    if (findRank(state, service, now) !== 0) return false;
    const seen = listVersions(state.versions, service, horizonMs, now);
    return seen !== undefined && seen.length > 0 && !seen.includes(softwareVersion);
  };
  const seen = { listed, isUnused, retiredSince, removeBefore: now - horizonMs };
  return buildEndingWrite(rows, seen);
}

/** Keeps the rows; looks again whenever it is woken. */
export function* runVersionWrites(state: VersionWritesState, wakeups: Channel<true>): Task {
  const { ports, logger, versionRegistry } = state;
  const times: WriteTimes = { missedAt: new Map(), writtenAt: new Map() };
  for (;;) {
    const wakeup = yield* receive(wakeups);
    if (wakeup === undefined) return;
    if (versionRegistry.rows === undefined || !state.storeKnown.isRecent) continue;
    const now = getSteadyMs();
    const listed = listListedVersions(state);
    const due = listDueVersions(state, listed, times, now);
    const write =
      buildMissingWrite(versionRegistry.rows, due) ?? buildOwnEndingWrite(state, listed, now);
    if (write === undefined) continue;
    const call = { table: MEMBERS_TABLE, write, timeoutMs: CALL_TIMEOUT_MS };
    const outcome = yield* awaitPromise(ports.store.write(call));
    const { put, remove } = write;
    logger.info({ due, put: put.length, remove, outcome }, 'versions: rows written to the store');
    if (outcome.kind !== 'ok' || due.length === 0) continue;
    for (const version of due) times.writtenAt.set(makeVersionKey(version), now);
    recordRegistered(versionRegistry, due);
    notifyPoolsOfEngines(state);
  }
}
