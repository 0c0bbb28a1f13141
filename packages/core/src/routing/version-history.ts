/**
 * Which software versions of each service one VM has seen in the list of servers, and since when
 * without a gap. Every stream began at one of those that it has seen for as long as any stream lasts.
 * Times are milliseconds on the steady clock.
 */

import type { ServiceName, SoftwareVersion } from '@tarragonspool/protocol';
import type { UpstreamRecord } from './routing-types.js';

/** What one VM has seen. */
export type VersionHistory = {
  /** Since when the list was followed without a gap; undefined before it was first read. */
  observedSince: number | undefined;
  /** When each version was last listed, by service. */
  readonly listedAt: Map<ServiceName, Map<SoftwareVersion, number>>;
};

/** Makes the history of a VM that has read nothing yet. */
export function makeVersionHistory(): VersionHistory {
  return { observedSince: undefined, listedAt: new Map() };
}

/**
 * Records the versions that are listed now. Called before and after each change of the list, and
 * at intervals: a list that does not change is news too.
 */
export function recordVersions(
  history: VersionHistory,
  records: Iterable<UpstreamRecord>,
  now: number,
): void {
  history.observedSince ??= now;
  for (const { service, softwareVersion } of records) {
    const versions = history.listedAt.get(service) ?? new Map<SoftwareVersion, number>();
    versions.set(softwareVersion, now);
    history.listedAt.set(service, versions);
  }
}

/** Forgets what was observed: the list may have changed unseen. */
export function forgetObservation(history: VersionHistory, now: number): void {
  if (history.observedSince !== undefined) history.observedSince = now;
}

/** Lists the versions of a service that were listed since a time, as far as the list was followed. */
export function listSeenVersions(
  { listedAt }: VersionHistory,
  service: ServiceName,
  since: number,
): SoftwareVersion[] {
  const versions = [...(listedAt.get(service) ?? [])];
  return versions.filter(([, at]) => at >= since).map(([version]) => version);
}

/**
 * Lists the versions of a service that were listed within the horizon, in milliseconds; undefined if the
 * list was not followed for so long.
 */
export function listVersions(
  history: VersionHistory,
  service: ServiceName,
  horizonMs: number,
  now: number,
): SoftwareVersion[] | undefined {
  const { observedSince } = history;
  const start = now - horizonMs;
  const isFollowed = observedSince !== undefined && observedSince <= start;
  if (!isFollowed) return undefined;
  const versions = history.listedAt.get(service) ?? new Map<SoftwareVersion, number>();
  for (const [version, at] of versions) if (at < start) versions.delete(version);
  return [...versions.keys()];
}
