/** Brings the rules in force up to the revision that the table or a peer has, if it is greater. */

import {
  parseRuleDelta,
  parseRulesCurrentRow,
  type ReadResult,
  type RuleDelta,
  type RuleRevision,
  type RulesCurrentRow,
  type TableRow,
} from '@tarragonspool/protocol';
import {
  applyDelta,
  buildDocument,
  buildEmptyDocument,
  type RuleDocument,
} from './rule-document.js';
import {
  getDeltaKey,
  getSnapshotKey,
  RULES_CURRENT_KEY,
  takeCallId,
  type CatchUp,
  type RulesAction,
  type RulesState,
} from './rules-state.js';

/** Time for which a VM may admit requests after confirming its rules, in milliseconds. */
export const ADMIT_WITHOUT_CONTACT_MS = 4_000;
/** Largest number of deltas that are read at once or retained for sending to peers. */
export const MAX_DELTA_BATCH = 64;
const CALL_TIMEOUT_MS = 4_000;

/** Replaces the rules in force if the document has a greater revision; ignores it otherwise. */
export function putInForce(state: RulesState, document: RuleDocument): RulesAction[] {
  const current = state.document;
  if (current !== undefined && document.revision <= current.revision) return [];
  state.document = document;
  return [{ kind: 'put-in-force', document }];
}

/** Records that the rules in force were current at `now`, which extends the time for admitting requests. */
export function confirmRules(state: RulesState, now: number): void {
  state.admitUntil = Math.max(state.admitUntil, now + ADMIT_WITHOUT_CONTACT_MS);
}

/** Starts to read the row that names the revision in force, unless a catch-up is in progress. */
export function startPoll(state: RulesState, now: number): RulesAction[] {
  if (state.catchUp !== undefined) return [];
  const callId = takeCallId(state);
  state.catchUp = { kind: 'current', callId, deadline: now + CALL_TIMEOUT_MS };
  return [{ kind: 'read-rows', callId, keys: [RULES_CURRENT_KEY] }];
}

/** Applies consecutive deltas in order of revision. Skips those already applied; stops at a gap. */
export function applyDeltas(state: RulesState, deltas: readonly RuleDelta[]): RulesAction[] {
  let { document } = state;
  if (document === undefined) return [];
  for (const delta of deltas) {
    if (delta.revision <= document.revision) continue;
    const next = applyDelta(document, delta);
    if (next === undefined) break;
    document = next;
    state.recentDeltas.push(delta);
    if (state.recentDeltas.length > MAX_DELTA_BATCH) state.recentDeltas.shift();
  }
  return putInForce(state, document);
}

/**
 * Puts a whole rule file in force if its revision is greater. Clears the recent deltas, because they
 * are not contiguous with the new document.
 */
export function applyFile(state: RulesState, revision: RuleRevision, text: string): RulesAction[] {
  if (state.document !== undefined && revision <= state.document.revision) return [];
  const built = buildDocument(text, revision);
  if (built.kind === 'errors') return [];
  state.recentDeltas = [];
  return putInForce(state, built.document);
}

function readDeltas(state: RulesState, revision: RuleRevision, now: number): RulesAction[] {
  const from = state.document?.revision ?? 0;
  const to = Math.min(revision, from + MAX_DELTA_BATCH);
  const keys: string[] = [];
  for (let next = from + 1; next <= to; next += 1) keys.push(getDeltaKey(next));
  const callId = takeCallId(state);
  state.catchUp = { kind: 'deltas', callId, deadline: now + CALL_TIMEOUT_MS };
  return [{ kind: 'read-rows', callId, keys }];
}

function readSnapshot(
  state: RulesState,
  snapshot: NonNullable<RulesCurrentRow['snapshot']>,
  now: number,
): RulesAction[] {
  const { revision, checksum, editId } = snapshot;
  const callId = takeCallId(state);
  state.catchUp = { kind: 'snapshot', callId, deadline: now + CALL_TIMEOUT_MS, revision, checksum };
  return [{ kind: 'read-object', callId, key: getSnapshotKey(editId) }];
}

/** Reads the snapshot or deltas that are missing, given the row that names the revision in force. */
export function continueCatchUp(
  state: RulesState,
  row: RulesCurrentRow | undefined,
  now: number,
): RulesAction[] {
  state.catchUp = undefined;
  if (row === undefined) {
    const actions = state.document === undefined ? putInForce(state, buildEmptyDocument()) : [];
    confirmRules(state, now);
    return actions;
  }
  const own = state.document?.revision ?? 0;
  if (state.document !== undefined && row.revision <= own) {
    confirmRules(state, now);
    return [];
  }
  const { snapshot } = row;
  if (snapshot !== undefined && snapshot.revision > own) return readSnapshot(state, snapshot, now);
  const actions = state.document === undefined ? putInForce(state, buildEmptyDocument()) : [];
  return [...actions, ...readDeltas(state, row.revision, now)];
}

/** Finds and parses the row that names the revision in force, if it is among the rows read. */
export function findCurrentRow(
  rows: readonly TableRow[],
): { readonly row: RulesCurrentRow; readonly version: number } | undefined {
  for (const { key, value, version } of rows) {
    if (key !== RULES_CURRENT_KEY) continue;
    const row = parseRulesCurrentRow(value);
    return row === undefined ? undefined : { row, version };
  }
  return undefined;
}

/** Parses delta rows and sorts them by revision; leaves out rows that do not parse. */
export function parseDeltaRows(rows: readonly TableRow[]): RuleDelta[] {
  const deltas: RuleDelta[] = [];
  for (const { value } of rows) {
    const delta = parseRuleDelta(value);
    if (delta !== undefined) deltas.push(delta);
  }
  return deltas.sort((one, other) => one.revision - other.revision);
}

/** Handles the rows that a catch-up read. Polls again after deltas that were applied. */
export function handleCatchUpRows(
  state: RulesState,
  catchUp: CatchUp,
  result: ReadResult,
  now: number,
): RulesAction[] {
  state.catchUp = undefined;
  if (result.kind === 'unavailable') return [];
  if (catchUp.kind === 'current') {
    return continueCatchUp(state, findCurrentRow(result.rows)?.row, now);
  }
  const actions = applyDeltas(state, parseDeltaRows(result.rows));
  if (actions.length === 0) return [];
  return [...actions, ...startPoll(state, now)];
}

/** Handles the snapshot that a catch-up read; ignores one whose checksum differs from the row. */
export function handleCatchUpObject(
  state: RulesState,
  catchUp: Extract<CatchUp, { kind: 'snapshot' }>,
  text: string | undefined,
  now: number,
): RulesAction[] {
  state.catchUp = undefined;
  if (text === undefined) return [];
  const built = buildDocument(text, catchUp.revision);
  if (built.kind === 'errors' || built.document.checksum !== catchUp.checksum) return [];
  return [...applyFile(state, catchUp.revision, text), ...startPoll(state, now)];
}
