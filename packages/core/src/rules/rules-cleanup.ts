/** Deletes rows of old revisions: for each accepted edit, one old delta and the row of its edit. */

import type { ReadResult, RuleRevision } from '@tarragonspool/protocol';
import { parseDeltaRows } from './rules-catch-up.js';
import {
  getDeltaKey,
  getEditKey,
  takeCallId,
  type RulesAction,
  type RulesState,
} from './rules-state.js';

/** Number of revisions whose deltas and edits are retained: over a day at 33,000 edits a day. */
export const RETAINED_REVISIONS = 50_000;
/** Version of an edit's row, which is inserted once and never changed. */
const EDIT_ROW_VERSION = 1;

/** Reads the delta that is no longer retained after a new revision, if there is one. */
export function startCleanup(state: RulesState, acceptedRevision: RuleRevision): RulesAction[] {
  const revision = acceptedRevision - RETAINED_REVISIONS;
  if (revision < 1) return [];
  const callId = takeCallId(state);
  state.cleanupCallId = callId;
  return [{ kind: 'read-rows', callId, keys: [getDeltaKey(revision)] }];
}

/** Deletes the delta that was read, and the row of its edit. */
export function handleCleanupRows(state: RulesState, result: ReadResult): RulesAction[] {
  state.cleanupCallId = undefined;
  const [row] = result.kind === 'rows' ? result.rows : [];
  const [delta] = row === undefined ? [] : parseDeltaRows([row]);
  if (row === undefined || delta === undefined) return [];
  const callId = takeCallId(state);
  return [
    {
      kind: 'transact',
      callId,
      writes: [
        { kind: 'delete', key: row.key, ifVersion: row.version },
        { kind: 'delete', key: getEditKey(delta.editId), ifVersion: EDIT_ROW_VERSION },
      ],
    },
  ];
}
