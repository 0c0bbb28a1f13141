/**
 * What one VM knows of the store's rows of software versions: at which of them streams may begin, and at
 * which they may have begun. Times are milliseconds on the steady clock.
 */

import type { ServiceName, SoftwareVersion } from '@tarragonspool/protocol';
import type { RowChange } from '../ports.js';
import {
  decodeVersionRows,
  makeVersionKey,
  type EngineVersion,
  type VersionRow,
} from './version-rows.js';

type VersionRows = ReadonlyMap<string, VersionRow>;

/** Rows as they were read, and what this VM has seen of them. */
export type VersionRegistry = {
  /** Undefined before the first reading. */
  rows: VersionRows | undefined;
  /** The first reading, before this VM served a request. */
  start: { readonly rows: VersionRows; readonly readAt: number } | undefined;
  /** Versions whose rows are not marked, by key; a restore of the store takes none away. */
  readonly registered: Map<string, EngineVersion>;
  /** Since when each marked row has been seen, by key. */
  readonly retiredSince: Map<string, number>;
  /** Until then rows may have changed unseen. */
  unsureUntil: number;
};

/** Makes the registry of a VM that has read nothing yet. */
export function makeVersionRegistry(): VersionRegistry {
  return {
    rows: undefined,
    start: undefined,
    registered: new Map(),
    retiredSince: new Map(),
    unsureUntil: -Infinity,
  };
}

/** Records that versions have rows that are not marked. */
export function recordRegistered(
  { registered }: VersionRegistry,
  versions: readonly EngineVersion[],
): void {
  for (const version of versions) registered.set(makeVersionKey(version), version);
}

/** Applies the rows as they are now. */
export function applyVersionRows(
  registry: VersionRegistry,
  changes: readonly RowChange[],
  now: number,
): void {
  const rows = decodeVersionRows(changes);
  const { registered, retiredSince } = registry;
  for (const [key, row] of rows) {
    if (!row.isRetired) {
      recordRegistered(registry, [row]);
      retiredSince.delete(key);
      continue;
    }
    registered.delete(key);
    if (!retiredSince.has(key)) retiredSince.set(key, now);
  }
  for (const key of retiredSince.keys()) if (!rows.has(key)) retiredSince.delete(key);
  registry.rows = rows;
  registry.start ??= { rows, readAt: now };
}

/** Whether streams may begin at a version even if all VMs are lost. */
export function isRegistered({ registered }: VersionRegistry, version: EngineVersion): boolean {
  return registered.has(makeVersionKey(version));
}

function listOfService(versions: Iterable<EngineVersion>, service: ServiceName): SoftwareVersion[] {
  const ofService = [...versions].filter((version) => version.service === service);
  return ofService.map(({ softwareVersion }) => softwareVersion);
}

/** Lists the versions of a service that have rows; undefined if that is not known. */
export function listRegisteredVersions(
  { rows, registered, unsureUntil }: VersionRegistry,
  service: ServiceName,
  now: number,
): SoftwareVersion[] | undefined {
  if (rows === undefined || now < unsureUntil) return undefined;
  return listOfService([...rows.values(), ...registered.values()], service);
}

/** Lists the versions of a service that had rows at the first reading; undefined before. */
export function listVersionsAtStart(
  { start }: VersionRegistry,
  service: ServiceName,
): SoftwareVersion[] | undefined {
  return start && listOfService(start.rows.values(), service);
}
