/** The pool as a state machine: one event in, a list of actions out. */

import {
  assertNever,
  type EngineFailure,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import { buildRefusal, findRefusal, refuseCut, refuseOverdue } from './admission.js';
import {
  addReading,
  dropOverduePrefills,
  dropPrefill,
  endPrefill,
  forgetPrefills,
  makeEngineLoad,
  startRest,
} from './engine-load.js';
import { isInTime, grantWaiting } from './placing.js';
import {
  applyEarlierAttempt,
  countFreshArrival,
  forgetRefused,
  measurePrefillMsPerToken,
  recordHold,
  recordPrefill,
  recordSelfRead,
  recordSize,
  type PoolState,
} from './pool-state.js';
import type { AskId, PlaceAsk, PlaceRun, PoolAction, PoolEngine, PoolEvent } from './pool-types.js';

/** After a refusal for want of room, the engine's own queue empties within this time. */
const FULL_PAUSE_MS = 250;
/** A single lost answer says little; an engine that is down fails again and again. */
const BROKEN_PAUSE_MS = 150;
/** Streams tell of silence again and again while it lasts. */
const SILENT_PAUSE_MS = 750;
/** Each prompt that such an engine reads is read in vain. */
const HANDLE_LOST_PAUSE_MS = 2_000;
/** Pauses double with each failure in a row, up to this. */
const MAX_PAUSE_MS = 3_000;
/** A run that nobody ended is forgotten after this multiple of its forecast. */
const FORGET_FACTOR = 3;
const MIN_FORGET_MS = 5_000;

function removeRun(state: PoolState, askId: AskId, now: number): PlaceRun | undefined {
  const run = state.runs.get(askId);
  if (run === undefined) return undefined;
  state.runs.delete(askId);
  state.engines.get(run.decode)?.runs.delete(askId);
  const reader = run.prefill && state.engines.get(run.prefill);
  if (reader) dropPrefill(reader, askId, now);
  return run;
}

function dropEngine(state: PoolState, upstreamId: UpstreamId, now: number): void {
  const load = state.engines.get(upstreamId);
  if (load === undefined) return;
  state.engines.delete(upstreamId);
  for (const askId of load.runs.keys()) removeRun(state, askId, now);
}

function updateEngines(state: PoolState, engines: readonly PoolEngine[], now: number): void {
  const listed = new Set(engines.map(({ upstreamId }) => upstreamId));
  for (const upstreamId of [...state.engines.keys()]) {
    if (!listed.has(upstreamId)) dropEngine(state, upstreamId, now);
  }
  for (const engine of engines) {
    const known = state.engines.get(engine.upstreamId);
    if (known !== undefined && known.engine.incarnation === engine.incarnation) {
      if (known.engine.stage !== engine.stage) forgetPrefills(known);
      known.engine = engine;
      continue;
    }
    // The same id with another start: nothing that ran before is there any more.
    dropEngine(state, engine.upstreamId, now);
    state.engines.set(engine.upstreamId, makeEngineLoad(engine));
  }
}

function hasEngines(state: PoolState): boolean {
  for (const { engine } of state.engines.values()) {
    if (engine.stage === 'decode' && !engine.isLeaving) return true;
  }
  return false;
}

function handleAsked(state: PoolState, ask: PlaceAsk, now: number): PoolAction[] {
  if (!hasEngines(state)) return [buildRefusal(state, ask, 'no-engine', now)];
  applyEarlierAttempt(state, ask, now);
  if (isInTime(state, ask, now)) countFreshArrival(state, now);
  recordSize(state, ask);
  const waiting = { ask, askedAt: now };
  state.waiting.set(ask.askId, waiting);
  const actions = [...refuseCut(state, now), ...grantWaiting(state, now)];
  if (!state.waiting.has(ask.askId)) return actions;
  const reason = findRefusal(state, waiting, now);
  if (reason === undefined) return actions;
  state.waiting.delete(ask.askId);
  return [...actions, buildRefusal(state, ask, reason, now)];
}

function handlePrefilled(state: PoolState, askId: AskId, now: number): void {
  const run = state.runs.get(askId);
  if (run?.prefill === undefined) return;
  const load = state.engines.get(run.prefill);
  run.prefill = undefined;
  // A prompt that was overdue has been taken off: when it was read is not known.
  if (load === undefined || !load.prefills.has(askId)) return;
  const busyMs = endPrefill(load, askId, measurePrefillMsPerToken(state), now);
  const { promptTokens } = run.ask;
  if (load.engine.stage === 'prefill') {
    recordPrefill(state, promptTokens, busyMs);
    return;
  }
  // A decode engine reads between its own tokens: its time says nothing of prefill engines.
  const readMs = now - run.grantedAt;
  recordSelfRead(state, promptTokens, readMs);
  startRest(load, readMs, now);
}

function handleEnded(state: PoolState, askId: AskId, didFinish: boolean, now: number): void {
  const run = removeRun(state, askId, now);
  if (run === undefined || !didFinish) return;
  const load = state.engines.get(run.decode);
  if (load === undefined) return;
  load.failures = 0;
  recordHold(state, run, load, now);
}

/** How long an engine gets no new work after a failure. */
function computePauseMs(failure: EngineFailure, earlierFailures: number): number {
  switch (failure) {
    case 'silent':
      return SILENT_PAUSE_MS;
    case 'handle-lost':
      return HANDLE_LOST_PAUSE_MS;
    case 'full':
      return Math.min(MAX_PAUSE_MS, FULL_PAUSE_MS * 2 ** earlierFailures);
    case 'broken':
      return Math.min(MAX_PAUSE_MS, BROKEN_PAUSE_MS * 2 ** earlierFailures);
    default:
      return assertNever(failure);
  }
}

function handleEngineFailed(
  state: PoolState,
  upstreamId: UpstreamId,
  failure: EngineFailure,
  now: number,
): void {
  const load = state.engines.get(upstreamId);
  if (load === undefined) return;
  load.avoidUntil = Math.max(load.avoidUntil, now + computePauseMs(failure, load.failures));
  if (failure === 'full' || failure === 'broken') load.failures += 1;
}

/** Takes a VM's whole list: what is not on it has ended. */
function adoptRuns(state: PoolState, vmId: VmId, runs: readonly PlaceRun[], now: number): void {
  const listed = new Set(runs.map(({ ask }) => ask.askId));
  for (const [askId, run] of state.runs) {
    if (run.ask.vmId === vmId && !listed.has(askId)) removeRun(state, askId, now);
  }
  for (const run of runs) {
    const { askId } = run.ask;
    const load = state.engines.get(run.decode);
    if (load === undefined || state.runs.has(askId)) continue;
    state.waiting.delete(askId);
    state.runs.set(askId, run);
    load.runs.set(askId, run);
    const reader = run.prefill && state.engines.get(run.prefill);
    if (reader) addReading(reader, run, measurePrefillMsPerToken(state), now);
  }
}

function dropRunsOf(state: PoolState, vmId: VmId, now: number): void {
  for (const [askId, run] of state.runs) {
    if (run.ask.vmId === vmId) removeRun(state, askId, now);
  }
  for (const [askId, { ask }] of state.waiting) {
    if (ask.vmId === vmId) state.waiting.delete(askId);
  }
}

function forgetOldRuns(state: PoolState, now: number): void {
  for (const [askId, run] of state.runs) {
    const forecastMs = run.expectedEndAt - run.grantedAt;
    const limitMs = Math.max(MIN_FORGET_MS, FORGET_FACTOR * forecastMs);
    if (now - run.grantedAt > limitMs) removeRun(state, askId, now);
  }
}

/** Handles one event and returns what the host must do. */
export function handlePoolEvent(state: PoolState, event: PoolEvent, now: number): PoolAction[] {
  switch (event.kind) {
    case 'engines-listed':
      updateEngines(state, event.engines, now);
      return grantWaiting(state, now);
    case 'asked':
      return handleAsked(state, event.ask, now);
    case 'withdrawn':
      state.waiting.delete(event.askId);
      removeRun(state, event.askId, now);
      return grantWaiting(state, now);
    case 'prefilled':
      handlePrefilled(state, event.askId, now);
      return grantWaiting(state, now);
    case 'ended':
      handleEnded(state, event.askId, event.didFinish, now);
      return grantWaiting(state, now);
    case 'engine-failed':
      handleEngineFailed(state, event.upstreamId, event.failure, now);
      return [];
    case 'engine-ordered': {
      const { stage, doneBy } = event;
      const load = state.engines.get(event.upstreamId);
      if (load !== undefined) load.ordered = { stage, doneBy };
      return [];
    }
    case 'runs-announced':
      adoptRuns(state, event.vmId, event.runs, now);
      return grantWaiting(state, now);
    case 'vm-restarted':
      dropRunsOf(state, event.vmId, now);
      return grantWaiting(state, now);
    case 'ticked':
      for (const load of state.engines.values()) dropOverduePrefills(load, now);
      forgetOldRuns(state, now);
      forgetRefused(state, now);
      return [...refuseCut(state, now), ...grantWaiting(state, now), ...refuseOverdue(state, now)];
    default:
      return assertNever(event);
  }
}
