/**
 * Rows of contents in quarantine, beside the rows of the VMs. They hold the time of day at which they expire, and
 * the digest and scope of the content.
 */

import { createHash } from 'node:crypto';
import { QUARANTINE_TTL_MS } from '@tarragonspool/core';
import type {
  Fingerprint,
  QuarantineScope,
  SuspectRecord,
  UpstreamId,
} from '@tarragonspool/protocol';
import * as z from 'zod';
import { parseRow } from '../../json/parse-row.js';
import { getSteadyMs } from '../../time/steady-clock.js';
import type { RowChange, RowWrite } from '../ports.js';

const KEY_PREFIX = 'quarantined-contents/';
/** Clocks of VMs differ by less than this. */
const MAX_CLOCK_SKEW_MS = 60_000;
const MAX_ID_LENGTH = 300;
const MAX_CRASH_IDS = 16;

const id = z.string().min(1).max(MAX_ID_LENGTH);
const rowSchema = z.object({
  scope: id,
  fingerprint: id,
  crashes: z.number().int().min(2),
  lastUpstream: id,
  crashIds: z.array(id).min(1).max(MAX_CRASH_IDS),
  expiresAt: z
    .number()
    .refine((at) => at <= Date.now() + QUARANTINE_TTL_MS + MAX_CLOCK_SKEW_MS, 'too late'),
});

/** A content in quarantine, as peers and rows name it: by its digest and its scope. */
export type NamedContent = SuspectRecord & { readonly scope: QuarantineScope };

/** Names the row of a content. */
export function makeContentKey({
  scope,
  fingerprint,
}: {
  readonly scope: QuarantineScope;
  readonly fingerprint: Fingerprint;
}): string {
  return `${KEY_PREFIX}${createHash('sha256').update(`${scope}\n${fingerprint}`).digest('hex')}`;
}

/** Finds why a row of a content can't be used; undefined if it can, or is another row. */
export function findContentRowFault({ key, value }: RowChange): string | undefined {
  if (!key.startsWith(KEY_PREFIX) || value === undefined) return undefined;
  const parsed = parseRow(rowSchema, value);
  return parsed.kind === 'unusable' ? parsed.reason : undefined;
}

type StoredContent = { readonly key: string; readonly record: NamedContent };

/** Decodes the rows of contents in quarantine, with the time of day; skips other and invalid rows. */
function decodeRows(rows: readonly RowChange[]): StoredContent[] {
  const stored: StoredContent[] = [];
  for (const { key, value } of rows) {
    if (!key.startsWith(KEY_PREFIX) || value === undefined) continue;
    const parsed = parseRow(rowSchema, value);
    if (parsed.kind === 'unusable') continue;
    const { scope, fingerprint, lastUpstream, ...rest } = parsed.value;
    const record = {
      ...rest,
      scope: scope as QuarantineScope,
      fingerprint: fingerprint as Fingerprint,
      lastUpstream: lastUpstream as UpstreamId,
    };
    stored.push({ key, record });
  }
  return stored;
}

/** Lists the contents in quarantine that rows name; they expire on the steady clock. */
export function listStoredContents(rows: readonly RowChange[]): NamedContent[] {
  const aheadMs = getSteadyMs() - Date.now();
  return decodeRows(rows).map(({ record }) => ({
    ...record,
    expiresAt: record.expiresAt + aheadMs,
  }));
}

/** Lists what rows lack of the contents in quarantine, and the rows that are to go. */
export function compareContentRows(
  known: readonly NamedContent[],
  lifted: ReadonlySet<string>,
  rows: readonly RowChange[],
): Pick<RowWrite, 'put' | 'remove'> {
  const stored = decodeRows(rows);
  const storedKeys = new Set(stored.map(({ key }) => key));
  const behindMs = Date.now() - getSteadyMs();
  const put: { key: string; value: Buffer }[] = [];
  for (const content of known) {
    const key = makeContentKey(content);
    if (storedKeys.has(key)) continue;
    const { scope, fingerprint, crashes, lastUpstream, crashIds } = content;
    const expiresAt = content.expiresAt + behindMs;
    const row = { scope, fingerprint, crashes, lastUpstream, crashIds, expiresAt };
    put.push({ key, value: Buffer.from(JSON.stringify(row)) });
  }
  const isOver = ({ key, record }: StoredContent): boolean =>
    lifted.has(key) || record.expiresAt + MAX_CLOCK_SKEW_MS < Date.now();
  return { put, remove: stored.filter(isOver).map(({ key }) => key) };
}
