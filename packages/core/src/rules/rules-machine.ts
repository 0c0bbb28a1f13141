/** Distributes the rule file: polls the table, commits edits and exchanges revisions with peers. */

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { assertNever, type RuleRevision, type VmId } from '@tarragonspool/protocol';
import {
  applyDeltas,
  applyFile,
  confirmRules,
  handleCatchUpObject,
  handleCatchUpRows,
  startPoll,
} from './rules-catch-up.js';
import { handleCleanupRows } from './rules-cleanup.js';
import {
  addEdit,
  continueEdit,
  handleCommitResult,
  handleEditRows,
  handleSnapshotStored,
  startNextEdit,
} from './rules-edits.js';
import type { RulesAction, RulesEvent, RulesState } from './rules-state.js';

const POLL_INTERVAL_MS = 1_500;
const POLL_JITTER_MS = 1_000;
/** Shortest time between two requests to peers for newer rules. */
const RULES_REQUEST_INTERVAL_MS = 250;

/** Makes the state of a VM that has not read any rules yet; `seed` sets the jitter of its polls. */
export function makeRulesState(seed: number): RulesState {
  return {
    document: undefined,
    recentDeltas: [],
    admitUntil: 0,
    nextPollAt: 0,
    nextRulesRequestAt: 0,
    catchUp: undefined,
    running: undefined,
    cleanupCallId: undefined,
    waiting: [],
    nextCallId: 0,
    random: xoroshiro128plus(seed),
  };
}

/** Whether requests may be admitted: there are rules, and they were recently confirmed as current. */
export function isAdmitting(state: RulesState, now: number): boolean {
  return state.document !== undefined && now <= state.admitUntil;
}

function handleTicked(state: RulesState, now: number): RulesAction[] {
  if (state.catchUp !== undefined && now >= state.catchUp.deadline) state.catchUp = undefined;
  const actions = continueEdit(state, now);
  if (now < state.nextPollAt) return actions;
  state.nextPollAt = now + POLL_INTERVAL_MS + uniformFloat64(state.random) * POLL_JITTER_MS;
  return [...actions, ...startPoll(state, now)];
}

function handlePeerRevision(
  state: RulesState,
  vmId: VmId,
  revision: RuleRevision,
  now: number,
): RulesAction[] {
  const ownRevision = state.document?.revision;
  if (ownRevision !== undefined && revision <= ownRevision) {
    confirmRules(state, now);
    return [];
  }
  if (now < state.nextRulesRequestAt) return [];
  state.nextRulesRequestAt = now + RULES_REQUEST_INTERVAL_MS;
  return [{ kind: 'want-rules', vmId, afterRevision: ownRevision ?? (0 as RuleRevision) }];
}

function handleRulesRequest(
  state: RulesState,
  vmId: VmId,
  afterRevision: RuleRevision,
): RulesAction[] {
  const { document, recentDeltas } = state;
  if (document === undefined || document.revision <= afterRevision) return [];
  const deltas = recentDeltas.filter((delta) => delta.revision > afterRevision);
  const hasEveryDelta = afterRevision > 0 && deltas[0]?.revision === afterRevision + 1;
  if (hasEveryDelta) return [{ kind: 'send-deltas', vmId, deltas }];
  return [{ kind: 'send-file', vmId, document }];
}

function handleRows(
  state: RulesState,
  event: Extract<RulesEvent, { kind: 'rows-read' }>,
): RulesAction[] {
  const { callId, result, now } = event;
  const { catchUp, running } = state;
  if (state.cleanupCallId === callId) return handleCleanupRows(state, result);
  if (catchUp?.callId === callId) return handleCatchUpRows(state, catchUp, result, now);
  if (running !== undefined && running.phase.kind !== 'waiting') {
    if (running.phase.callId === callId) return handleEditRows(state, running, result, now);
  }
  return [];
}

function handleTransacted(
  state: RulesState,
  event: Extract<RulesEvent, { kind: 'transacted' }>,
): RulesAction[] {
  const { running } = state;
  if (running?.phase.kind !== 'committing') return [];
  if (running.phase.callId !== event.callId) return [];
  return handleCommitResult(state, running, event.result, event.now);
}

function dispatchEvent(state: RulesState, event: RulesEvent): RulesAction[] {
  const { now } = event;
  switch (event.kind) {
    case 'ticked':
      return handleTicked(state, now);
    case 'rows-read':
      return handleRows(state, event);
    case 'object-read':
      if (state.catchUp?.kind !== 'snapshot' || state.catchUp.callId !== event.callId) return [];
      return handleCatchUpObject(state, state.catchUp, event.text, now);
    case 'object-put': {
      const { running } = state;
      if (running?.phase.kind !== 'storing' || running.phase.callId !== event.callId) return [];
      return handleSnapshotStored(state, running, event.isStored, now);
    }
    case 'transacted':
      return handleTransacted(state, event);
    case 'peer-revision':
      return handlePeerRevision(state, event.vmId, event.revision, now);
    case 'peer-deltas':
      return applyDeltas(state, event.deltas);
    case 'peer-file':
      return applyFile(state, event.revision, event.text);
    case 'peer-wants':
      return handleRulesRequest(state, event.vmId, event.afterRevision);
    case 'edit-requested':
      return addEdit(state, event.edit);
    default:
      return assertNever(event);
  }
}

/** Applies one event to the state and returns the actions for the host. */
export function handleRulesEvent(state: RulesState, event: RulesEvent): RulesAction[] {
  const revisionBefore = state.document?.revision ?? 0;
  const actions = [...dispatchEvent(state, event), ...startNextEdit(state)];
  const revisionAfter = state.document?.revision ?? 0;
  if (revisionAfter >= revisionBefore) return actions;
  const detail = `the revision in force went back from ${revisionBefore} to ${revisionAfter}`;
  return [...actions, { kind: 'report-violation', invariant: 'rules-never-revert', detail }];
}
