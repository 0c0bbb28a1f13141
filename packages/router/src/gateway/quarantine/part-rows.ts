/**
 * Rows of parts of prompts in quarantine, beside the rows of the VMs. They hold the time of day at which they
 * expire.
 */

import { createHash } from 'node:crypto';
import { PART_QUARANTINE_MS, type QuarantinedParts } from '@tarragonspool/core';
import type { PromptPartId, QuarantineScope } from '@tarragonspool/protocol';
import * as z from 'zod';
import { parseRow } from '../../json/parse-row.js';
import { getSteadyMs } from '../../time/steady-clock.js';
import type { RowChange, RowWrite } from '../ports.js';
import { scopePart, splitScopes } from './quarantine-scope.js';

const KEY_PREFIX = 'quarantined-parts/';
/** Clocks of VMs differ by less than this. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** Longest id of a part, in characters, and the most parts of a row. */
const MAX_PART_LENGTH = 256;
const MAX_PARTS = 128;

const rowSchema = z.object({
  /** Absent in rows of older versions, whose parts are refused in every scope. */
  scope: z.string().min(1).max(MAX_PART_LENGTH).optional(),
  parts: z.array(z.string().min(1).max(MAX_PART_LENGTH)).min(1).max(MAX_PARTS),
  expiresAt: z
    .number()
    .refine((at) => at <= Date.now() + PART_QUARANTINE_MS + MAX_CLOCK_SKEW_MS, 'too late'),
});

type StoredParts = {
  readonly key: string;
  readonly scope?: QuarantineScope;
  readonly parts: readonly PromptPartId[];
  /** Milliseconds since the epoch. */
  readonly expiresAt: number;
};

/** Names the row of parts in one scope. */
export function makePartKey(scope: QuarantineScope, parts: readonly PromptPartId[]): string {
  const text = `${scope}\n${parts.join()}`;
  return `${KEY_PREFIX}${createHash('sha256').update(text).digest('hex')}`;
}

/** Finds why a row of parts in quarantine can't be used; undefined if it can, or is another row. */
export function findPartRowFault({ key, value }: RowChange): string | undefined {
  if (!key.startsWith(KEY_PREFIX) || value === undefined) return undefined;
  const parsed = parseRow(rowSchema, value);
  return parsed.kind === 'unusable' ? parsed.reason : undefined;
}

/** Decodes the rows of parts in quarantine; skips other and invalid rows. */
function decodeRows(rows: readonly RowChange[]): StoredParts[] {
  const items: StoredParts[] = [];
  for (const { key, value } of rows) {
    if (!key.startsWith(KEY_PREFIX) || value === undefined) continue;
    const parsed = parseRow(rowSchema, value);
    if (parsed.kind === 'unusable') continue;
    items.push({ key, ...parsed.value } as unknown as StoredParts);
  }
  return items;
}

/**
 * Lists the parts in quarantine that rows name; they expire on the steady clock. A row without a scope counts in
 * all of them, unless another one names the same parts and a scope.
 */
export function listStoredParts(
  rows: readonly RowChange[],
  scopes: readonly QuarantineScope[],
): QuarantinedParts[] {
  const aheadMs = getSteadyMs() - Date.now();
  const stored = decodeRows(rows);
  const scoped = new Set(
    stored.filter(({ scope }) => scope !== undefined).map(({ parts }) => parts.join()),
  );
  return stored.flatMap((row) => {
    const isRepeated = row.scope === undefined && scoped.has(row.parts.join());
    const named = row.scope === undefined ? scopes : [row.scope];
    return (isRepeated ? [] : named).map((scope) => ({
      parts: row.parts.map((part) => scopePart(scope, part)),
      expiresAt: row.expiresAt + aheadMs,
      isFromOlder: row.scope === undefined,
    }));
  });
}

/** Names the scope of parts in quarantine, and the key of their row. */
function nameScope({ parts, expiresAt }: QuarantinedParts): Required<StoredParts>[] {
  return [...splitScopes(parts)].map(([scope, own]) => ({
    key: makePartKey(scope, own),
    scope,
    parts: own,
    expiresAt,
  }));
}

/** Lists what rows lack of the parts in quarantine, and the rows that are to go. */
export function comparePartRows(
  known: readonly QuarantinedParts[],
  lifted: ReadonlySet<string>,
  rows: readonly RowChange[],
): Pick<RowWrite, 'put' | 'remove'> {
  const stored = decodeRows(rows);
  const storedKeys = new Set(stored.map(({ key }) => key));
  const named = known.filter(({ isFromOlder }) => isFromOlder !== true).flatMap(nameScope);
  const missing = named.filter(({ key }) => !storedKeys.has(key));
  const behindMs = Date.now() - getSteadyMs();
  const put = missing.map(({ key, scope, parts, expiresAt }) => ({
    key,
    value: Buffer.from(JSON.stringify({ scope, parts, expiresAt: expiresAt + behindMs })),
  }));
  const isOver = ({ key, expiresAt }: StoredParts): boolean =>
    lifted.has(key) || expiresAt + MAX_CLOCK_SKEW_MS < Date.now();
  return { put, remove: stored.filter(isOver).map(({ key }) => key) };
}
