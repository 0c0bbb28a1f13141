/** Which software versions a service had for as long as any stream lasts. */

import {
  forgetObservation,
  listSeenVersions,
  listVersions,
  recordVersions,
  type RoutingConfiguration,
  type UpstreamList,
  type VersionHistory,
} from '@tarragonspool/core';
import type { ServiceName, SoftwareVersion } from '@tarragonspool/protocol';
import { getSteadyMs, measureClockOffsetMs } from '../../time/steady-clock.js';
import {
  listRegisteredVersions,
  listVersionsAtStart,
  type VersionRegistry,
} from './version-registry.js';

/** State from which the longest time of streams is computed. */
export type HorizonState = { readonly configuration: RoutingConfiguration | undefined };

/** What this VM has seen of versions, in lists and in rows. */
export type VersionHistoryState = {
  readonly versions: VersionHistory;
  readonly versionRegistry: VersionRegistry;
};

/** State from which the versions that streams may have are derived. */
export type UsedVersionsState = HorizonState &
  VersionHistoryState & {
    readonly storeKnown: { readonly isRecent: boolean; readonly judgedAt: number };
    readonly hasBeenSuspended: () => boolean;
  };

/** The list of servers, and the history that their versions are recorded in. */
export type ListedVersionsState = Pick<VersionHistoryState, 'versions'> & {
  readonly upstreams: Pick<UpstreamList, 'records'>;
  readonly hasUpstreams: boolean;
};

/** No stream is resumed later than this after its beginning, or than two timeouts of its route. */
const MIN_HORIZON_MS = 30_000;
const HORIZON_TIMEOUTS = 2;
/** What this VM knows of the store is judged at intervals; an older judgement does not count. */
const MAX_JUDGEMENT_AGE_MS = 1_000;

/** Computes the longest time from a stream's beginning to its last resumption, in milliseconds. */
export function computeHorizonMs(state: HorizonState | undefined): number {
  const routes = state?.configuration?.routes ?? [];
  const streams = routes.filter(({ kind }) => kind === 'stream');
  const timeouts = streams.map(({ timeoutMs }) => HORIZON_TIMEOUTS * timeoutMs);
  return Math.max(MIN_HORIZON_MS, ...timeouts);
}

/** A change of the clocks' difference by more than this shows a suspended machine, or a set clock. */
const MAX_OFFSET_CHANGE_MS = 300;

/** A process that does not check for longer than this was stopped; it checks twice a second. */
const MAX_CHECK_INTERVAL_MS = 2_000;
/** Rows that changed unseen are read within this time. */
const READ_WITHIN_MS = 7_000;
/** A VM has been told within this time after its start of what began since. */
const START_TIME_MS = 5_000;

/**
 * Makes the check whether this machine may have been suspended, in which the steady clock stands, or this
 * process stopped.
 */
export function makeSuspensionCheck(
  measureOffsetMs = measureClockOffsetMs,
  getNow = getSteadyMs,
): () => boolean {
  let offsetMs = measureOffsetMs();
  let checkedAt = getNow();
  return () => {
    const before = { offsetMs, checkedAt };
    offsetMs = measureOffsetMs();
    checkedAt = getNow();
    const isStopped = checkedAt - before.checkedAt > MAX_CHECK_INTERVAL_MS;
    return isStopped || Math.abs(offsetMs - before.offsetMs) > MAX_OFFSET_CHANGE_MS;
  };
}

/** Forgets what was seen of versions: lists and rows may have changed unseen. */
export function forgetVersionHistory(state: VersionHistoryState, now: number): void {
  forgetObservation(state.versions, now);
  state.versionRegistry.unsureUntil = now + READ_WITHIN_MS;
}

/** Records which versions are listed now; called at intervals that are short against the horizon. */
export function recordListedVersions({
  versions,
  upstreams,
  hasUpstreams,
}: ListedVersionsState): void {
  if (hasUpstreams) recordVersions(versions, upstreams.records.values(), getSteadyMs());
}

/**
 * Lists the software versions at which streams of a service began that may still be resumed; undefined
 * if this VM may not have seen all.
 */
export function listUsedVersions(
  state: UsedVersionsState,
  service: ServiceName,
): readonly SoftwareVersion[] | undefined {
  const now = getSteadyMs();
  const { versions, storeKnown } = state;
  if (state.hasBeenSuspended()) forgetVersionHistory(state, now);
  if (!storeKnown.isRecent || now - storeKnown.judgedAt > MAX_JUDGEMENT_AGE_MS) return undefined;
  const horizonMs = computeHorizonMs(state);
  const listed = listVersions(versions, service, horizonMs, now) ?? [];
  if (listed.length > 0) return listed;
  const registered = listRegisteredVersions(state.versionRegistry, service, now);
  if (registered === undefined) return undefined;
  const seen = listSeenVersions(versions, service, now - horizonMs);
  const all = new Set([...registered, ...seen]);
  return all.size === 0 ? undefined : [...all];
}

/**
 * Lists the versions of streams that began before this VM could be told of them; undefined if that may
 * be any. What has a row at its start is all that there was before.
 */
export function listEarlierVersions(
  state: UsedVersionsState,
  service: ServiceName,
): readonly SoftwareVersion[] | undefined {
  const { versionRegistry } = state;
  const { start } = versionRegistry;
  const isStarting = start === undefined || getSteadyMs() - start.readAt < START_TIME_MS;
  return isStarting
    ? listVersionsAtStart(versionRegistry, service)
    : listUsedVersions(state, service);
}
