/** Distributes the rule file: polls, edits, and exchange with peers. */

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
  continueEdit,
  handleEditCommitted,
  handleEditRows,
  handleEditStored,
  requestEdit,
  startNextEdit,
} from './rules-edits.js';
import type { RulesAction, RulesEvent, RulesState } from './rules-state.js';

const POLL_INTERVAL_MS = 1_500;
const POLL_SPREAD_MS = 1_000;
const WANTED_INTERVAL_MS = 250;

/** Makes the state of a VM that has read no rules yet. */
export function makeRulesState(seed: number): RulesState {
  return {
    document: undefined,
    recentDeltas: [],
    admitUntil: 0,
    nextPollAt: 0,
    nextWantedAt: 0,
    catchUp: undefined,
    running: undefined,
    cleanupCallId: undefined,
    waiting: [],
    nextCallId: 0,
    random: xoroshiro128plus(seed),
  };
}

/** Whether requests may be admitted: rules are known, and were lately known to be current. */
export function isAdmitting(state: RulesState, now: number): boolean {
  return state.document !== undefined && now <= state.admitUntil;
}

function handleTicked(state: RulesState, now: number): RulesAction[] {
  if (state.catchUp !== undefined && now >= state.catchUp.deadline) state.catchUp = undefined;
  const actions = continueEdit(state, now);
  if (now < state.nextPollAt) return actions;
  state.nextPollAt = now + POLL_INTERVAL_MS + uniformFloat64(state.random) * POLL_SPREAD_MS;
  return [...actions, ...startPoll(state, now)];
}

function handlePeerRevision(
  state: RulesState,
  vmId: VmId,
  revision: RuleRevision,
  now: number,
): RulesAction[] {
  const own = state.document?.revision;
  if (own !== undefined && revision <= own) {
    confirmRules(state, now);
    return [];
  }
  if (now < state.nextWantedAt) return [];
  state.nextWantedAt = now + WANTED_INTERVAL_MS;
  return [{ kind: 'want-rules', vmId, afterRevision: own ?? (0 as RuleRevision) }];
}

function handlePeerWants(
  state: RulesState,
  vmId: VmId,
  afterRevision: RuleRevision,
): RulesAction[] {
  const { document, recentDeltas } = state;
  if (document === undefined || document.revision <= afterRevision) return [];
  const deltas = recentDeltas.filter((delta) => delta.revision > afterRevision);
  const isWhole = afterRevision > 0 && deltas[0]?.revision === afterRevision + 1;
  if (isWhole) return [{ kind: 'send-deltas', vmId, deltas }];
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
  return handleEditCommitted(state, running, event.result, event.now);
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
      return handleEditStored(state, running, event.isStored, now);
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
      return handlePeerWants(state, event.vmId, event.afterRevision);
    case 'edit-requested':
      return requestEdit(state, event.edit);
    default:
      return assertNever(event);
  }
}

/** Decides what to do about one event. */
export function handleRulesEvent(state: RulesState, event: RulesEvent): RulesAction[] {
  const before = state.document?.revision ?? 0;
  const actions = [...dispatchEvent(state, event), ...startNextEdit(state)];
  const after = state.document?.revision ?? 0;
  if (after >= before) return actions;
  const detail = `revision went from ${before} to ${after}`;
  return [...actions, { kind: 'report-violation', invariant: 'rules-never-revert', detail }];
}
