/**
 * Carries one edit at a time through the table. The edit's own row makes a retry idempotent: a lost
 * answer is settled by reading it back.
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
  findCurrentRow,
  followCurrentRow,
  MAX_DELTAS,
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
const MAX_DELTA_CHARACTERS = 65_536;
const MAX_WAITING_EDITS = 16;
const RETRY_INTERVAL_MS = 250;
const MAX_EXPLAINED_LINES = 20;

function makeRefusal(name: Refusal['name'], detail: string, ran: Refusal['ran'] = 'not-run') {
  return { kind: 'refused', refusal: { name, ran, detail } } as const satisfies EditOutcome;
}

function endEdit(state: RulesState, running: RunningEdit, outcome: EditOutcome): RulesAction[] {
  state.running = undefined;
  return [{ kind: 'answer-edit', editId: running.edit.editId, outcome }];
}

function readForEdit(state: RulesState, running: RunningEdit): RulesAction[] {
  const callId = takeCallId(state);
  running.phase = { kind: 'reading', callId };
  return [
    { kind: 'read-rows', callId, keys: [RULES_CURRENT_KEY, getEditKey(running.edit.editId)] },
  ];
}

/** Starts the next waiting edit unless one is under way. */
export function startNextEdit(state: RulesState): RulesAction[] {
  if (state.running !== undefined) return [];
  const edit = state.waiting.shift();
  if (edit === undefined) return [];
  const running: RunningEdit = { edit, phase: { kind: 'waiting', retryAt: 0 }, isUnsettled: false };
  state.running = running;
  return readForEdit(state, running);
}

/** Takes an operator's edit, or refuses it when the file is bad or too many wait. */
export function requestEdit(state: RulesState, edit: RuleEdit): RulesAction[] {
  const { editId } = edit;
  const built = buildDocument(edit.text, edit.baseRevision);
  if (built.kind === 'errors') {
    const lines: string[] = [];
    for (const { line, found, expected } of built.errors.slice(0, MAX_EXPLAINED_LINES)) {
      lines.push(`line ${line}: found "${found}"; expected ${expected}`);
    }
    const outcome = makeRefusal('rule-syntax', lines.join('\n'));
    return [{ kind: 'answer-edit', editId, outcome }];
  }
  if (state.waiting.length >= MAX_WAITING_EDITS) {
    const outcome = makeRefusal('rules-unavailable', 'too many edits wait');
    return [{ kind: 'answer-edit', editId, outcome }];
  }
  state.waiting.push(edit);
  return [];
}

function explainDeltas(deltas: readonly RuleDelta[]): string {
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
  return lines.slice(0, MAX_EXPLAINED_LINES).join('\n');
}

function readExplanation(
  state: RulesState,
  running: RunningEdit,
  current: RuleRevision,
): RulesAction[] {
  const from = Math.max(running.edit.baseRevision, current - MAX_DELTAS);
  const keys: string[] = [];
  for (let next = from + 1; next <= current; next += 1) keys.push(getDeltaKey(next));
  const callId = takeCallId(state);
  running.phase = { kind: 'explaining', callId, current };
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
  replaced: EditId | undefined,
): RulesAction[] {
  const callId = takeCallId(state);
  running.phase = { kind: 'committing', callId, delta, document, replaced };
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
  if (built.kind === 'errors') return endEdit(state, running, makeRefusal('rule-syntax', ''));
  const { document } = built;
  const delta = buildDelta(edit, base, document.checksum, now);
  const kept = current?.row.snapshot;
  const isSnapshotDue =
    delta.change.kind === 'snapshot' || revision - (kept?.revision ?? 0) >= SNAPSHOT_INTERVAL;
  if (!isSnapshotDue) {
    const writes = buildWrites(delta, current, kept);
    return commitEdit(state, running, delta, document, writes, undefined);
  }
  const { editId } = edit;
  const snapshot = { revision, editId, checksum: document.checksum };
  const writes = buildWrites(delta, current, snapshot);
  const callId = takeCallId(state);
  const replaced = kept?.editId;
  running.phase = { kind: 'storing', callId, delta, document, writes, replaced };
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

function waitToRetry(running: RunningEdit, now: number): RulesAction[] {
  running.phase = { kind: 'waiting', retryAt: now + RETRY_INTERVAL_MS };
  return [];
}

function handleEditRead(
  state: RulesState,
  running: RunningEdit,
  rows: readonly TableRow[],
  now: number,
): RulesAction[] {
  const { edit } = running;
  const accepted = findEditRevision(edit, rows);
  if (accepted !== undefined) {
    return endEdit(state, running, { kind: 'accepted', revision: accepted });
  }
  const current = findCurrentRow(rows);
  // Rows of one read may be from different moments: the row in force may already name this edit.
  if (current?.row.editId === edit.editId) {
    return endEdit(state, running, { kind: 'accepted', revision: current.row.revision });
  }
  const revision = current?.row.revision ?? (0 as RuleRevision);
  if (revision !== edit.baseRevision) return readExplanation(state, running, revision);
  const base = state.document;
  if (base === undefined || base.revision < revision) {
    const actions = state.catchUp === undefined ? followCurrentRow(state, current?.row, now) : [];
    return [...waitToRetry(running, now), ...actions];
  }
  if (base.revision > revision) return waitToRetry(running, now);
  return prepareCommit(state, running, base, current, now);
}

/** Takes rows that the running edit asked for. */
export function handleEditRows(
  state: RulesState,
  running: RunningEdit,
  result: ReadResult,
  now: number,
): RulesAction[] {
  if (result.kind === 'unavailable') return waitToRetry(running, now);
  if (running.phase.kind === 'explaining') {
    const deltas = parseDeltaRows(result.rows);
    const own = deltas.find((delta) => delta.editId === running.edit.editId);
    if (own !== undefined) {
      return endEdit(state, running, { kind: 'accepted', revision: own.revision });
    }
    const explained = explainDeltas(deltas);
    const detail = `revision ${running.phase.current} is in force\n${explained}`;
    return endEdit(state, running, makeRefusal('stale-revision', detail));
  }
  return handleEditRead(state, running, result.rows, now);
}

/** Takes the result of storing the running edit's snapshot. */
export function handleEditStored(
  state: RulesState,
  running: RunningEdit,
  isStored: boolean,
  now: number,
): RulesAction[] {
  const { phase } = running;
  if (phase.kind !== 'storing') return [];
  if (!isStored) return waitToRetry(running, now);
  const { delta, document, writes, replaced } = phase;
  return commitEdit(state, running, delta, document, writes, replaced);
}

/** Deletes a snapshot that no row names any more; a VM that was reading it polls again. */
function deleteSnapshot(replaced: EditId | undefined): RulesAction[] {
  return replaced === undefined ? [] : [{ kind: 'delete-object', key: getSnapshotKey(replaced) }];
}

/** Takes the result of committing the running edit. */
export function handleEditCommitted(
  state: RulesState,
  running: RunningEdit,
  result: TransactResult,
  now: number,
): RulesAction[] {
  const { phase } = running;
  if (phase.kind !== 'committing') return [];
  const { delta, document, replaced } = phase;
  switch (result.kind) {
    case 'committed': {
      const spread: RulesAction =
        delta.change.kind === 'hunks'
          ? { kind: 'broadcast-deltas', deltas: [delta] }
          : { kind: 'broadcast-file', document };
      const isNext = document.revision === (state.document?.revision ?? 0) + 1;
      if (isNext && delta.change.kind === 'hunks') state.recentDeltas.push(delta);
      else state.recentDeltas = [];
      const inForce = putInForce(state, document);
      const outcome = { kind: 'accepted', revision: delta.revision } as const;
      return [
        ...inForce,
        spread,
        ...endEdit(state, running, outcome),
        ...startCleanup(state, delta.revision),
        ...deleteSnapshot(replaced),
      ];
    }
    case 'conflict':
      return readForEdit(state, running);
    case 'lost':
      running.isUnsettled = true;
      return waitToRetry(running, now);
    default:
      return waitToRetry(running, now);
  }
}

/** Retries the running edit when it is due, and gives up at its deadline. */
export function continueEdit(state: RulesState, now: number): RulesAction[] {
  const { running } = state;
  if (running === undefined) return [];
  if (now >= running.edit.deadline) {
    const outcome = running.isUnsettled
      ? makeRefusal('edit-unsettled', 'apply again with the same edit id', 'unknown')
      : makeRefusal('rules-unavailable', 'the platform did not answer in time');
    // A commit that is under way may still take effect.
    const isCommitting = running.phase.kind === 'committing';
    const unsettled = makeRefusal('edit-unsettled', 'apply again with the same edit id', 'unknown');
    return endEdit(state, running, isCommitting ? unsettled : outcome);
  }
  if (running.phase.kind !== 'waiting' || now < running.phase.retryAt) return [];
  return readForEdit(state, running);
}
