/** Reads the latest edits of the rule file from the table. */

import { getDeltaKey, parseDeltaRows } from '@tarragonspool/core';
import type { TableClient } from '@tarragonspool/platform';
import type { RuleDelta, RuleRevision } from '@tarragonspool/protocol';

const HISTORY_LENGTH = 50;
const CALL_TIMEOUT_MS = 2_000;

/** Reads the latest edits, oldest first; undefined while the table is away. */
export async function readRuleHistory(
  table: TableClient,
  revision: RuleRevision,
): Promise<readonly RuleDelta[] | undefined> {
  const keys: string[] = [];
  for (let next = Math.max(1, revision - HISTORY_LENGTH + 1); next <= revision; next += 1) {
    keys.push(getDeltaKey(next));
  }
  const result = await table.readRows(keys, Date.now() + CALL_TIMEOUT_MS);
  return result.kind === 'rows' ? parseDeltaRows(result.rows) : undefined;
}
