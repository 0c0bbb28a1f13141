/** State machine of a pool: handles one event at a time and returns a list of actions. */

import {
  assertNever,
  type EngineFailure,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import {
  buildRefusal,
  findRefusal,
  hasDecodeEngine,
  refuseExpired,
  refuseUnservable,
  refuseInterrupted,
  refuseWithoutEngine,
} from './admission.js';
import {
  addPrefill,
  addRun,
  dropOverduePrefills,
  dropPrefill,
  endPrefill,
  forgetPrefillSpeed,
  makeEngineLoad,
  removeRun,
  startLocalPrefillCooldown,
  updateIdleTime,
} from './engine-load.js';
import { recordMemoryRefusal, recordMemoryReleased } from './engine-memory.js';
import { forgetLocalPrefillSpeed, recordLocalPrefill } from './local-prefill-speed.js';
import { grantWaiting } from './placing.js';
import { countOnTimeArrival } from './rank-rates.js';
import {
  applyEarlierAttempt,
  forgetRefused,
  measurePoolMemory,
  measurePrefillMsPerToken,
  recordOccupancy,
  recordPrefill,
  recordRequestSize,
  type PoolState,
} from './pool-state.js';
import { canMeetTarget } from './service-order.js';
import { predictPendingEnd } from './slot-forecast.js';
import { countTenantArrival, recordTenantEnd, removeIdleTenants } from './tenant-shares.js';
import type {
  SlotRequestId,
  SlotRequest,
  SlotAssignment,
  PoolAction,
  PoolEngine,
  PoolEvent,
} from './pool-types.js';

/** How long an engine that refused a request as full is avoided, so that its queue can empty. */
const FULL_AVOID_MS = 250;
/** The same if the memory of its answers explains the refusal; some of them end meanwhile. */
const MEMORY_AVOID_MS = 100;
/**
 * How long an engine is avoided after a failed request; short, because one failure does not show
 * that it is down. An engine that is down fails repeatedly.
 */
const BROKEN_AVOID_MS = 150;
/**
 * How long a silent engine is avoided; its streams report it again as long as it sends nothing.
 */
const SILENT_AVOID_MS = 750;
/**
 * How long an engine that loses KV cache handles is avoided; each prefill on it would be wasted.
 */
const HANDLE_LOST_AVOID_MS = 2_000;
/** The time doubles with each consecutive failure, up to this limit. */
const MAX_AVOID_MS = 3_000;
/** An assignment whose end was never reported is removed after this multiple of its forecast. */
const FORGET_FACTOR = 3;
const MIN_FORGET_MS = 5_000;

function removeAssignment(
  state: PoolState,
  slotRequestId: SlotRequestId,
  now: number,
): SlotAssignment | undefined {
  const assignment = state.runs.get(slotRequestId);
  if (assignment === undefined) return undefined;
  state.runs.delete(slotRequestId);
  recordTenantEnd(state.tenants, assignment, now);
  const load = state.engines.get(assignment.decode);
  if (load !== undefined) removeRun(load, slotRequestId);
  const prefillLoad = assignment.prefill && state.engines.get(assignment.prefill);
  if (prefillLoad) dropPrefill(prefillLoad, slotRequestId, now);
  return assignment;
}

function dropEngine(state: PoolState, upstreamId: UpstreamId, now: number): void {
  const load = state.engines.get(upstreamId);
  if (load === undefined) return;
  state.engines.delete(upstreamId);
  for (const slotRequestId of load.runs.keys()) removeAssignment(state, slotRequestId, now);
}

function updateEngines(state: PoolState, engines: readonly PoolEngine[], now: number): void {
  const listed = new Set(engines.map(({ upstreamId }) => upstreamId));
  for (const upstreamId of [...state.engines.keys()]) {
    if (!listed.has(upstreamId)) dropEngine(state, upstreamId, now);
  }
  for (const engine of engines) {
    const known = state.engines.get(engine.upstreamId);
    if (known !== undefined && known.engine.incarnation === engine.incarnation) {
      if (known.engine.stage !== engine.stage) forgetPrefillSpeed(known);
      known.engine = engine;
      continue;
    }
    // The engine's process has restarted under the same id, so its earlier work is gone.
    dropEngine(state, engine.upstreamId, now);
    state.engines.set(engine.upstreamId, makeEngineLoad(engine));
  }
}

function handleRequested(state: PoolState, slotRequest: SlotRequest, now: number): PoolAction[] {
  if (!hasDecodeEngine(state, slotRequest)) {
    return [buildRefusal(state, slotRequest, 'no-engine', now)];
  }
  const isRetry = state.firstSeenAt.has(slotRequest.contentKey);
  applyEarlierAttempt(state, slotRequest, now);
  const isOnTime = canMeetTarget(state, slotRequest, now);
  // A retry of a refused caller is no further arrival.
  if (isOnTime && !isRetry) {
    countOnTimeArrival(state.ranks, slotRequest.rank, now);
    countTenantArrival(state.tenants, slotRequest, now);
  }
  recordRequestSize(state, slotRequest);
  const waiting = { ask: slotRequest, askedAt: now, wasOnTime: isOnTime, decidedAt: now };
  state.waiting.set(slotRequest.askId, waiting);
  const actions = [...refuseInterrupted(state, now), ...grantWaiting(state, now)];
  if (!state.waiting.has(slotRequest.askId)) return actions;
  const reason = findRefusal(state, slotRequest, now);
  if (reason === undefined) return actions;
  state.waiting.delete(slotRequest.askId);
  return [...actions, buildRefusal(state, slotRequest, reason, now)];
}

function handlePrefilled(state: PoolState, slotRequestId: SlotRequestId, now: number): void {
  const assignment = state.runs.get(slotRequestId);
  if (assignment?.prefill === undefined) return;
  const load = state.engines.get(assignment.prefill);
  assignment.prefill = undefined;
  // An overdue prompt has been removed already, and its completion time is not known.
  if (load === undefined || !load.prefills.has(slotRequestId)) return;
  const busyMs = endPrefill(load, slotRequestId, measurePrefillMsPerToken(state), now);
  const { promptTokens } = assignment.ask;
  if (load.engine.stage === 'prefill') {
    // An error in the forecast of one prompt would otherwise stay as long as the engine is busy.
    load.prefillDoneAt = predictPendingEnd(load, measurePrefillMsPerToken(state), now);
    recordPrefill(state, promptTokens, busyMs);
    return;
  }
  // A decode engine prefills between its own tokens, so its time is no sample for prefill engines.
  const prefillMs = now - assignment.grantedAt;
  recordLocalPrefill(state, promptTokens, prefillMs, now);
  startLocalPrefillCooldown(load, prefillMs, now);
}

function handleEnded(
  state: PoolState,
  { askId: slotRequestId, didFinish, progress }: Extract<PoolEvent, { kind: 'ended' }>,
  now: number,
): void {
  const assignment = removeAssignment(state, slotRequestId, now);
  if (assignment === undefined || !didFinish) return;
  const load = state.engines.get(assignment.decode);
  if (load === undefined) return;
  load.failures = 0;
  const view = measurePoolMemory(state, now);
  recordMemoryReleased(state.memory, load, assignment, progress, view);
  recordOccupancy(state, assignment, load, now);
}

/** Computes how many milliseconds an engine gets no new work after a failure. */
function computeAvoidMs(failure: EngineFailure, earlierFailures: number): number {
  switch (failure) {
    case 'silent':
      return SILENT_AVOID_MS;
    case 'handle-lost':
      return HANDLE_LOST_AVOID_MS;
    case 'full':
      return Math.min(MAX_AVOID_MS, FULL_AVOID_MS * 2 ** earlierFailures);
    case 'broken':
      return Math.min(MAX_AVOID_MS, BROKEN_AVOID_MS * 2 ** earlierFailures);
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
  if (failure === 'full' && recordMemoryRefusal(load, measurePoolMemory(state, now))) {
    load.avoidUntil = Math.max(load.avoidUntil, now + MEMORY_AVOID_MS);
    return;
  }
  load.avoidUntil = Math.max(load.avoidUntil, now + computeAvoidMs(failure, load.failures));
  if (failure === 'full' || failure === 'broken') load.failures += 1;
}

/** Replaces a VM's assignments by its complete list; those that are not listed have ended. */
function adoptAssignments(
  state: PoolState,
  vmId: VmId,
  assignments: readonly SlotAssignment[],
  now: number,
): void {
  const listed = new Set(assignments.map(({ ask: slotRequest }) => slotRequest.askId));
  for (const [id, assignment] of state.runs) {
    if (assignment.ask.vmId === vmId && !listed.has(id)) removeAssignment(state, id, now);
  }
  for (const assignment of assignments) {
    const { askId: slotRequestId } = assignment.ask;
    const load = state.engines.get(assignment.decode);
    if (load === undefined || state.runs.has(slotRequestId)) continue;
    state.waiting.delete(slotRequestId);
    state.runs.set(slotRequestId, assignment);
    addRun(load, assignment);
    const prefillLoad = assignment.prefill && state.engines.get(assignment.prefill);
    if (prefillLoad) addPrefill(prefillLoad, assignment, measurePrefillMsPerToken(state), now);
  }
}

function dropAssignmentsOf(state: PoolState, vmId: VmId, now: number): void {
  for (const [slotRequestId, assignment] of state.runs) {
    if (assignment.ask.vmId === vmId) removeAssignment(state, slotRequestId, now);
  }
  for (const [slotRequestId, { ask: slotRequest }] of state.waiting) {
    if (slotRequest.vmId === vmId) state.waiting.delete(slotRequestId);
  }
}

function forgetOldAssignments(state: PoolState, now: number): void {
  for (const [slotRequestId, assignment] of state.runs) {
    const forecastMs = assignment.expectedEndAt - assignment.grantedAt;
    const limitMs = Math.max(MIN_FORGET_MS, FORGET_FACTOR * forecastMs);
    if (now - assignment.grantedAt > limitMs) removeAssignment(state, slotRequestId, now);
  }
}

/** Handles one event and returns the actions that the host must perform. */
export function handlePoolEvent(state: PoolState, event: PoolEvent, now: number): PoolAction[] {
  state.forecast = undefined;
  switch (event.kind) {
    case 'engines-listed':
      updateEngines(state, event.engines, now);
      return [...refuseWithoutEngine(state, now), ...grantWaiting(state, now)];
    case 'asked':
      return handleRequested(state, event.ask, now);
    case 'withdrawn':
      state.waiting.delete(event.askId);
      removeAssignment(state, event.askId, now);
      return grantWaiting(state, now);
    case 'prefilled':
      handlePrefilled(state, event.askId, now);
      return grantWaiting(state, now);
    case 'ended':
      handleEnded(state, event, now);
      return grantWaiting(state, now);
    case 'engine-failed':
      handleEngineFailed(state, event.upstreamId, event.failure, now);
      return [];
    case 'engine-ordered': {
      const { stage, doneBy, idleChangeMs } = event;
      const load = state.engines.get(event.upstreamId);
      if (load === undefined) return [];
      load.ordered = { stage, at: now, doneBy, idleChangeMs, idleSince: undefined };
      updateIdleTime(load, now);
      return [];
    }
    case 'runs-announced':
      adoptAssignments(state, event.vmId, event.runs, now);
      return grantWaiting(state, now);
    case 'vm-restarted':
      dropAssignmentsOf(state, event.vmId, now);
      return grantWaiting(state, now);
    case 'ticked':
      for (const load of state.engines.values()) {
        dropOverduePrefills(load, now);
        updateIdleTime(load, now);
      }
      forgetLocalPrefillSpeed(state, now);
      forgetOldAssignments(state, now);
      forgetRefused(state, now);
      removeIdleTenants(state.tenants, now);
      return [
        ...refuseInterrupted(state, now),
        ...grantWaiting(state, now),
        ...refuseUnservable(state, now),
        ...refuseExpired(state, now),
      ];
    default:
      return assertNever(event);
  }
}
