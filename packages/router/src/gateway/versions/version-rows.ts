/**
 * Keeps in the store, beside the rows of the VMs, at which software versions streams may have begun. VMs
 * that start know it from there, also after the loss of all VMs. An engine of a version without a row
 * begins no stream while others can. A row is marked before it is removed, so that a VM that has not heard
 * of the mark begins no stream at a version without a row.
 */

import { createHash } from 'node:crypto';
import type { ServiceName, SoftwareVersion, StorePosition } from '@tarragonspool/protocol';
import * as z from 'zod';
import { parseJson } from '../../json/parse-json.js';
import type { RowChange, RowWrite } from '../ports.js';

const KEY_PREFIX = 'engine-version/';

const rowSchema = z.object({
  service: z.string(),
  softwareVersion: z.string(),
  isRetired: z.boolean(),
});

/** A version of a service's engines, as its row in the store says. */
export type VersionRow = {
  readonly service: ServiceName;
  readonly softwareVersion: SoftwareVersion;
  /** No server had it for longer than a stream can be resumed; new ones need a new row. */
  readonly isRetired: boolean;
  readonly position: StorePosition;
};

/** A version of a service's engines. */
export type EngineVersion = Pick<VersionRow, 'service' | 'softwareVersion'>;

/** Names the row of a version. */
export function makeVersionKey({ service, softwareVersion }: EngineVersion): string {
  const name = JSON.stringify([service, softwareVersion]);
  return `${KEY_PREFIX}${createHash('sha256').update(name).digest('hex')}`;
}

/** Decodes the rows of versions by their keys; skips other and invalid rows. */
export function decodeVersionRows(rows: readonly RowChange[]): ReadonlyMap<string, VersionRow> {
  const decoded = new Map<string, VersionRow>();
  for (const { key, value, position } of rows) {
    if (!key.startsWith(KEY_PREFIX) || value === undefined) continue;
    const parsed = rowSchema.safeParse(parseJson(value));
    if (parsed.success) decoded.set(key, { ...parsed.data, position } as VersionRow);
  }
  return decoded;
}

/** What one VM has seen of versions. */
export type SeenVersions = {
  /** Versions of servers that are listed now. */
  readonly listed: readonly EngineVersion[];
  /** Whether a version had no server for longer than a stream can be resumed. */
  readonly isUnused: (version: EngineVersion) => boolean;
  /** Since when this VM has seen the rows that are marked, by key. */
  readonly retiredSince: ReadonlyMap<string, number>;
  /** Rows marked before this time are removed. */
  readonly removeBefore: number;
};

function encodeRow(key: string, { service, softwareVersion }: EngineVersion, isRetired: boolean) {
  const value = JSON.stringify({ service, softwareVersion, isRetired });
  return { key, value: Buffer.from(value) };
}

/** Builds the write of the rows of listed versions that lack one; undefined if none does. */
export function buildMissingWrite(
  rows: ReadonlyMap<string, VersionRow>,
  listed: readonly EngineVersion[],
): RowWrite | undefined {
  const put = new Map<string, RowWrite['put'][number]>();
  for (const version of listed) {
    const key = makeVersionKey(version);
    if (rows.get(key)?.isRetired !== false) put.set(key, encodeRow(key, version, false));
  }
  return put.size === 0 ? undefined : { expected: [], put: [...put.values()], remove: [] };
}

/**
 * Builds the write that marks one row of a version that is no longer used, or removes one that has been
 * marked for long; undefined if there is none.
 */
export function buildEndingWrite(
  rows: ReadonlyMap<string, VersionRow>,
  { listed, isUnused, retiredSince, removeBefore }: SeenVersions,
): RowWrite | undefined {
  const listedKeys = new Set(listed.map(makeVersionKey));
  for (const [key, row] of rows) {
    if (listedKeys.has(key)) continue;
    const expected = [{ key, position: row.position }];
    const retiredAt = retiredSince.get(key) ?? Infinity;
    if (row.isRetired && retiredAt < removeBefore) return { expected, put: [], remove: [key] };
    if (!row.isRetired && isUnused(row)) {
      return { expected, put: [encodeRow(key, row, true)], remove: [] };
    }
  }
  return undefined;
}
