/**
 * Rows of parts of prompts that were answered often, one for each scope, beside the rows of the VMs. A VM that
 * starts knows them to be sound.
 */

import type { PromptPartId, QuarantineScope } from '@tarragonspool/protocol';
import * as z from 'zod';
import { parseRow } from '../../json/parse-row.js';
import type { RowChange, RowWrite } from '../ports.js';
import { scopePart, splitScopes } from './quarantine-scope.js';

const KEY_PREFIX = 'sound-parts/';
const MAX_ID_LENGTH = 256;
const MAX_PARTS = 100;

const rowSchema = z.object({
  scope: z.string().min(1).max(MAX_ID_LENGTH),
  parts: z.array(z.string().min(1).max(MAX_ID_LENGTH)).max(MAX_PARTS),
});

/** Finds why a row of sound parts can't be used; undefined if it can, or is another row. */
export function findSoundRowFault({ key, value }: RowChange): string | undefined {
  if (!key.startsWith(KEY_PREFIX) || value === undefined) return undefined;
  const parsed = parseRow(rowSchema, value);
  return parsed.kind === 'unusable' ? parsed.reason : undefined;
}

/** Lists the sound parts that rows name, in their scopes; skips other and invalid rows. */
export function listStoredSound(rows: readonly RowChange[]): PromptPartId[] {
  const sound: PromptPartId[] = [];
  for (const { key, value } of rows) {
    if (!key.startsWith(KEY_PREFIX) || value === undefined) continue;
    const parsed = parseRow(rowSchema, value);
    if (parsed.kind === 'unusable') continue;
    const scope = parsed.value.scope as QuarantineScope;
    for (const part of parsed.value.parts) sound.push(scopePart(scope, part as PromptPartId));
  }
  return sound;
}

/** Lists the rows that lack sound parts; the latest parts stay. */
export function compareSoundRows(
  known: readonly PromptPartId[],
  rows: readonly RowChange[],
): RowWrite['put'] {
  const stored = splitScopes(listStoredSound(rows));
  const put: { key: string; value: Buffer }[] = [];
  for (const [scope, parts] of splitScopes(known)) {
    const before = stored.get(scope) ?? [];
    const added = parts.filter((part) => !before.includes(part));
    if (added.length === 0) continue;
    const row = { scope, parts: [...before, ...added].slice(-MAX_PARTS) };
    put.push({ key: `${KEY_PREFIX}${scope}`, value: Buffer.from(JSON.stringify(row)) });
  }
  return put;
}
