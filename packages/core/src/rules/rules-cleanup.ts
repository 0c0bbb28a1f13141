/** Deletes what older revisions left behind: one old delta and edit for each new one. */

import type { ReadResult, RuleRevision } from '@tarragonspool/protocol';
import { parseDeltaRows } from './rules-catch-up.js';
import {
  getDeltaKey,
  getEditKey,
  takeCallId,
  type RulesAction,
  type RulesState,
} from './rules-state.js';

/** Revisions whose deltas and edits are kept: over a day at 33,000 edits a day. */
export const RETAINED_REVISIONS = 50_000;
/** An edit's row is inserted once and never changed. */
const EDIT_ROW_VERSION = 1;

/** Reads the delta that a new revision pushes out, if there is one. */
export function startCleanup(state: RulesState, accepted: RuleRevision): RulesAction[] {
  const revision = accepted - RETAINED_REVISIONS;
  if (revision < 1) return [];
  const callId = takeCallId(state);
  state.cleanupCallId = callId;
  return [{ kind: 'read-rows', callId, keys: [getDeltaKey(revision)] }];
}

/** Deletes the delta that was read, together with its edit's row. */
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
