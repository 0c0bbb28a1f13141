/**
 * Commits rule edits to the table, one at a time. Each edit inserts a row of its own, which makes a
 * retry idempotent: after a lost answer the machine reads that row to learn whether the edit was
 * committed.
 */

import type {
  EditId,
  ReadResult,
  Refusal,
  RuleDelta,
  RuleRevision,
  RulesCurrentRow,
  TableRow,
  TableWrite,
  TransactResult,
} from '@tarragonspool/protocol';
import { compareLines } from './line-diff.js';
import { buildDocument, renderDocument, type RuleDocument } from './rule-document.js';
import { splitRuleFile } from './rule-file.js';
import {
  continueCatchUp,
  findCurrentRow,
  MAX_DELTA_BATCH,
  parseDeltaRows,
  putInForce,
} from './rules-catch-up.js';
import { startCleanup } from './rules-cleanup.js';
import {
  getDeltaKey,
  getEditKey,
  getSnapshotKey,
  RULES_CURRENT_KEY,
  takeCallId,
  type EditOutcome,
  type RuleEdit,
  type RulesAction,
  type RulesState,
  type RunningEdit,
} from './rules-state.js';

/** A snapshot of the whole file is stored at least this often, in revisions. */
export const SNAPSHOT_INTERVAL = 64;
/** Largest hunks, as JSON, that a delta stores; a larger change is stored as a snapshot. */
const MAX_DELTA_CHARACTERS = 65_536;
const MAX_QUEUED_EDITS = 16;
const RETRY_INTERVAL_MS = 250;
/** Largest number of lines in the detail of a refusal. */
const MAX_DETAIL_LINES = 20;

function makeRefusal(name: Refusal['name'], detail: string, ran: Refusal['ran'] = 'not-run') {
  return { kind: 'refused', refusal: { name, ran, detail } } as const satisfies EditOutcome;
}

function endEdit(state: RulesState, running: RunningEdit, outcome: EditOutcome): RulesAction[] {
  state.running = undefined;
  return [{ kind: 'answer-edit', editId: running.edit.editId, outcome }];
}

function readEditRows(state: RulesState, running: RunningEdit): RulesAction[] {
  const callId = takeCallId(state);
  running.phase = { kind: 'reading', callId };
  return [
    { kind: 'read-rows', callId, keys: [RULES_CURRENT_KEY, getEditKey(running.edit.editId)] },
  ];
}

/** Starts the next waiting edit unless one is in progress. */
export function startNextEdit(state: RulesState): RulesAction[] {
  if (state.running !== undefined) return [];
  const edit = state.waiting.shift();
  if (edit === undefined) return [];
  const running: RunningEdit = { edit, phase: { kind: 'waiting', retryAt: 0 }, isUnsettled: false };
  state.running = running;
  return readEditRows(state, running);
}

/** Queues an operator's edit, or refuses it if the file has syntax errors or the queue is full. */
export function addEdit(state: RulesState, edit: RuleEdit): RulesAction[] {
  const { editId } = edit;
  const built = buildDocument(edit.text, edit.baseRevision);
  if (built.kind === 'errors') {
    const lines: string[] = [];
    for (const { line, found, expected } of built.errors.slice(0, MAX_DETAIL_LINES)) {
      lines.push(`line ${line}: found "${found}"; expected ${expected}`);
    }
    const outcome = makeRefusal('rule-syntax', lines.join('\n'));
    return [{ kind: 'answer-edit', editId, outcome }];
  }
  if (state.waiting.length >= MAX_QUEUED_EDITS) {
    const outcome = makeRefusal('rules-unavailable', 'too many edits wait to be committed');
    return [{ kind: 'answer-edit', editId, outcome }];
  }
  state.waiting.push(edit);
  return [];
}

function formatDeltas(deltas: readonly RuleDelta[]): string {
  const lines: string[] = [];
  for (const { revision, author, change } of deltas) {
    lines.push(`revision ${revision} by ${author}:`);
    if (change.kind === 'snapshot') lines.push('  the whole file changed');
    else {
      for (const { removed, added } of change.hunks) {
        for (const line of removed) lines.push(`- ${line}`);
        for (const line of added) lines.push(`+ ${line}`);
      }
    }
  }
  return lines.slice(0, MAX_DETAIL_LINES).join('\n');
}

function readNewerDeltas(
  state: RulesState,
  running: RunningEdit,
  current: RuleRevision,
): RulesAction[] {
  const from = Math.max(running.edit.baseRevision, current - MAX_DELTA_BATCH);
  const keys: string[] = [];
  for (let next = from + 1; next <= current; next += 1) keys.push(getDeltaKey(next));
  const callId = takeCallId(state);
  running.phase = { kind: 'reading-newer-deltas', callId, current };
  return [{ kind: 'read-rows', callId, keys }];
}

function buildDelta(edit: RuleEdit, base: RuleDocument, checksum: string, now: number): RuleDelta {
  const oldLines = base.lines.map((line) => line.text);
  const hunks = compareLines(oldLines, splitRuleFile(edit.text));
  const isSmall = JSON.stringify(hunks).length <= MAX_DELTA_CHARACTERS;
  return {
    revision: (base.revision + 1) as RuleRevision,
    editId: edit.editId,
    author: edit.author,
    acceptedAt: now,
    checksum,
    change: isSmall ? { kind: 'hunks', hunks } : { kind: 'snapshot' },
  };
}

function buildWrites(
  delta: RuleDelta,
  current: { readonly row: RulesCurrentRow; readonly version: number } | undefined,
  snapshot: RulesCurrentRow['snapshot'],
): TableWrite[] {
  const { revision, editId } = delta;
  const row: RulesCurrentRow = {
    revision,
    editId,
    ...(snapshot === undefined ? {} : { snapshot }),
  };
  const value = JSON.stringify(row);
  const write: TableWrite =
    current === undefined
      ? { kind: 'insert', key: RULES_CURRENT_KEY, value }
      : { kind: 'update', key: RULES_CURRENT_KEY, value, ifVersion: current.version };
  return [
    write,
    { kind: 'insert', key: getDeltaKey(revision), value: JSON.stringify(delta) },
    { kind: 'insert', key: getEditKey(editId), value: JSON.stringify({ revision }) },
  ];
}

function commitEdit(
  state: RulesState,
  running: RunningEdit,
  delta: RuleDelta,
  document: RuleDocument,
  writes: readonly TableWrite[],
  replacedEditId: EditId | undefined,
): RulesAction[] {
  const callId = takeCallId(state);
  running.phase = { kind: 'committing', callId, delta, document, replacedEditId };
  return [{ kind: 'transact', callId, writes }];
}

function prepareCommit(
  state: RulesState,
  running: RunningEdit,
  base: RuleDocument,
  current: { readonly row: RulesCurrentRow; readonly version: number } | undefined,
  now: number,
): RulesAction[] {
  const { edit } = running;
  const revision = (base.revision + 1) as RuleRevision;
  const built = buildDocument(edit.text, revision);
  // `addEdit` has already refused a text with errors, so this is not expected.
  if (built.kind === 'errors') return endEdit(state, running, makeRefusal('rule-syntax', ''));
  const { document } = built;
  const delta = buildDelta(edit, base, document.checksum, now);
  const storedSnapshot = current?.row.snapshot;
  const isSnapshotDue =
    delta.change.kind === 'snapshot' ||
    revision - (storedSnapshot?.revision ?? 0) >= SNAPSHOT_INTERVAL;
  if (!isSnapshotDue) {
    const writes = buildWrites(delta, current, storedSnapshot);
    return commitEdit(state, running, delta, document, writes, undefined);
  }
  const { editId } = edit;
  const snapshot = { revision, editId, checksum: document.checksum };
  const writes = buildWrites(delta, current, snapshot);
  const callId = takeCallId(state);
  const replacedEditId = storedSnapshot?.editId;
  running.phase = { kind: 'storing', callId, delta, document, writes, replacedEditId };
  const text = renderDocument(document);
  return [{ kind: 'put-object', callId, key: getSnapshotKey(editId), text }];
}

function findEditRevision(edit: RuleEdit, rows: readonly TableRow[]): RuleRevision | undefined {
  const key = getEditKey(edit.editId);
  for (const row of rows) {
    if (row.key === key) return (JSON.parse(row.value) as { revision: RuleRevision }).revision;
  }
  return undefined;
}

function scheduleRetry(running: RunningEdit, now: number): RulesAction[] {
  running.phase = { kind: 'waiting', retryAt: now + RETRY_INTERVAL_MS };
  return [];
}

/** Continues the edit in progress, given the current row and the edit's own row. */
function continueEditFromRows(
  state: RulesState,
  running: RunningEdit,
  rows: readonly TableRow[],
  now: number,
): RulesAction[] {
  const { edit } = running;
  const acceptedRevision = findEditRevision(edit, rows);
  if (acceptedRevision !== undefined) {
    return endEdit(state, running, { kind: 'accepted', revision: acceptedRevision });
  }
  const current = findCurrentRow(rows);
  // A read of several rows is not atomic: the current row may name this edit although the row of the
  // edit was read before the commit.
  if (current?.row.editId === edit.editId) {
    return endEdit(state, running, { kind: 'accepted', revision: current.row.revision });
  }
  const revision = current?.row.revision ?? (0 as RuleRevision);
  if (revision !== edit.baseRevision) return readNewerDeltas(state, running, revision);
  const base = state.document;
  if (base === undefined || base.revision < revision) {
    const actions = state.catchUp === undefined ? continueCatchUp(state, current?.row, now) : [];
    return [...scheduleRetry(running, now), ...actions];
  }
  if (base.revision > revision) return scheduleRetry(running, now);
  return prepareCommit(state, running, base, current, now);
}

/** Handles the rows that the edit in progress read. */
export function handleEditRows(
  state: RulesState,
  running: RunningEdit,
  result: ReadResult,
  now: number,
): RulesAction[] {
  if (result.kind === 'unavailable') return scheduleRetry(running, now);
  if (running.phase.kind === 'reading-newer-deltas') {
    const deltas = parseDeltaRows(result.rows);
    const ownDelta = deltas.find((delta) => delta.editId === running.edit.editId);
    if (ownDelta !== undefined) {
      return endEdit(state, running, { kind: 'accepted', revision: ownDelta.revision });
    }
    const newerEdits = formatDeltas(deltas);
    const detail = `revision ${running.phase.current} is in force\n${newerEdits}`;
    return endEdit(state, running, makeRefusal('stale-revision', detail));
  }
  return continueEditFromRows(state, running, result.rows, now);
}

/** Commits the edit in progress once its snapshot is stored; retries the edit if it was not. */
export function handleSnapshotStored(
  state: RulesState,
  running: RunningEdit,
  isStored: boolean,
  now: number,
): RulesAction[] {
  const { phase } = running;
  if (phase.kind !== 'storing') return [];
  if (!isStored) return scheduleRetry(running, now);
  const { delta, document, writes, replacedEditId } = phase;
  return commitEdit(state, running, delta, document, writes, replacedEditId);
}

/** Deletes a snapshot that no row refers to any more. A VM that was reading it polls again. */
function deleteSnapshot(replacedEditId: EditId | undefined): RulesAction[] {
  return replacedEditId === undefined
    ? []
    : [{ kind: 'delete-object', key: getSnapshotKey(replacedEditId) }];
}

/** Handles the result of committing the edit in progress. */
export function handleCommitResult(
  state: RulesState,
  running: RunningEdit,
  result: TransactResult,
  now: number,
): RulesAction[] {
  const { phase } = running;
  if (phase.kind !== 'committing') return [];
  const { delta, document, replacedEditId } = phase;
  switch (result.kind) {
    case 'committed': {
      const broadcast: RulesAction =
        delta.change.kind === 'hunks'
          ? { kind: 'broadcast-deltas', deltas: [delta] }
          : { kind: 'broadcast-file', document };
      const isNextRevision = document.revision === (state.document?.revision ?? 0) + 1;
      if (isNextRevision && delta.change.kind === 'hunks') state.recentDeltas.push(delta);
      else state.recentDeltas = [];
      const inForceActions = putInForce(state, document);
      const outcome = { kind: 'accepted', revision: delta.revision } as const;
      return [
        ...inForceActions,
        broadcast,
        ...endEdit(state, running, outcome),
        ...startCleanup(state, delta.revision),
        ...deleteSnapshot(replacedEditId),
      ];
    }
    case 'conflict':
      return readEditRows(state, running);
    case 'lost':
      running.isUnsettled = true;
      return scheduleRetry(running, now);
    default:
      return scheduleRetry(running, now);
  }
}

/** Retries the edit in progress when its retry is due, and refuses it at its deadline. */
export function continueEdit(state: RulesState, now: number): RulesAction[] {
  const { running } = state;
  if (running === undefined) return [];
  if (now >= running.edit.deadline) {
    const outcome = running.isUnsettled
      ? makeRefusal(
          'edit-unsettled',
          'the edit may have been committed; apply it again with the same edit id',
          'unknown',
        )
      : makeRefusal(
          'rules-unavailable',
          'the platform did not answer before the deadline of the edit',
        );
    // A commit that is in progress may still take effect.
    const isCommitting = running.phase.kind === 'committing';
    const unsettled = makeRefusal(
      'edit-unsettled',
      'the edit may have been committed; apply it again with the same edit id',
      'unknown',
    );
    return endEdit(state, running, isCommitting ? unsettled : outcome);
  }
  if (running.phase.kind !== 'waiting' || now < running.phase.retryAt) return [];
  return readEditRows(state, running);
}
