/**
 * Which software versions of each service one VM has seen in the list of servers, and since when
 * without a gap. Where it has seen one only for longer than any stream lasts, every stream began there.
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

/** Records the versions that are listed now. Called before and after each change of the list. */
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

/**
 * Finds the only version of a service that was listed within the horizon, in milliseconds; undefined if
 * there were several, or if the list was not followed for so long.
 */
export function findOnlyVersion(
  { observedSince, listedAt }: VersionHistory,
  service: ServiceName,
  horizonMs: number,
  now: number,
): SoftwareVersion | undefined {
  const start = now - horizonMs;
  if (observedSince === undefined || observedSince > start) return undefined;
  const versions = listedAt.get(service);
  if (versions === undefined) return undefined;
  let only: SoftwareVersion | undefined;
  for (const [version, at] of versions) {
    if (at < start) versions.delete(version);
    else if (only === undefined) only = version;
    else return undefined;
  }
  return only;
}
