/** Load of one engine: occupied slots and prompts being prefilled. */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';
import type { MemoryForecast } from './engine-memory.js';
import type { SlotRequestId, SlotRequest, SlotAssignment, PoolEngine } from './pool-types.js';

/** A prompt that was sent to an engine and whose prefill has not been reported as complete. */
type PendingPrefill = {
  readonly run: SlotAssignment;
  /**
   * When it stops blocking other prompts: the VM that sent it may be suspended and report nothing.
   */
  readonly overdueAt: number;
};

/** An order to change the stage. */
type StageOrder = {
  readonly stage: EngineStage;
  readonly at: number;
  /** When the change is certainly complete. */
  readonly doneBy: number;
  /** How long it takes at most once the engine has no work; undefined if not reported. */
  readonly idleChangeMs: number | undefined;
  /** Since when the engine has no work from before the order; undefined while it has some. */
  idleSince: number | undefined;
};

/** One engine with the work that is assigned to it. */
export type EngineLoad = {
  engine: PoolEngine;
  /** Assignments of this engine's slots. */
  readonly runs: Map<SlotRequestId, SlotAssignment>;
  /** Prompts sent to this engine that are not prefilled yet. */
  readonly prefills: Map<SlotRequestId, PendingPrefill>;
  /** Time from which busy time is counted for the next prompt that completes. */
  prefillBusySince: number;
  /** When the prompts sent to this engine are expected to be prefilled. */
  prefillDoneAt: number;
  /**
   * Busy time in milliseconds and the prompt tokens prefilled in it, both decaying: this engine's
   * own speed.
   */
  prefillBusyMs: number;
  prefillTokens: number;
  /** Prompts prefilled so far. */
  prefillCount: number;
  /** Earliest start of the next local prefill on a decode engine with running answers. */
  localPrefillAllowedAt: number;
  /** The engine gets no new work before this time. */
  avoidUntil: number;
  /** Refusals and failures since the last success. */
  failures: number;
  /** The last order to change its stage. */
  ordered: StageOrder | undefined;
  /** Measured slot occupancy per expected token, relative to the pool's mean. */
  slowness: number;
  /**
   * Share of the KV cache that is assigned. An engine that refuses a request for lack of memory
   * shows that its answers use more than predicted, so the share shrinks and recovers slowly.
   */
  usableMemoryShare: number;
  /** Counts the changes of `runs`, so that a forecast made from them is known to be current. */
  runsVersion: number;
  /** The last memory forecast of the running answers. */
  memoryForecast: MemoryForecast | undefined;
};

/** Engine loads by upstream id. */
export type EngineLoads = Map<UpstreamId, EngineLoad>;

/** Highest share of the KV cache that is assigned. */
export const MAX_MEMORY_SHARE = 0.98;
/** Prompts at one prefill engine at a time: one is processed while the next arrives. */
export const MAX_PREFILLS = 2;
/**
 * Concurrent prompts slow each other, so the next is sent when the previous one has this time left.
 */
export const PREFILL_LEAD_MS = 60;
/** Factor on the earlier prefill totals of an engine at each new sample. */
const PREFILL_DECAY = 0.93;
/** Usual time between two events of an answer; a local prefill adds to it. */
const EVENT_INTERVAL_MS = 70;
/**
 * Cooldown after a local prefill, as a multiple of its duration: running answers proceed meanwhile.
 */
const COOLDOWN_FACTOR = 1;
const MIN_COOLDOWN_MS = 100;
/** Limit on the busy time counted for one prompt, as a multiple of its forecast. */
const MAX_SAMPLE_FACTOR = 3;
/**
 * Delay after the expected end at which a prompt is overdue: this multiple of its predicted
 * duration, but at least the minimum.
 */
const OVERDUE_PREFILL_FACTOR = 2;
const MIN_OVERDUE_PREFILL_MS = 250;
/** An engine that has not executed an order gets no other for this long, because it may ignore that too. */
const REPEAT_ORDER_MS = 30_000;
/** Weight, in tokens, of the pool's mean speed in the estimate of one engine. */
const PRIOR_TOKENS = 8_000;

/** Makes the load of an idle engine. */
export function makeEngineLoad(engine: PoolEngine): EngineLoad {
  return {
    engine,
    runs: new Map(),
    prefills: new Map(),
    prefillBusySince: 0,
    prefillDoneAt: 0,
    prefillBusyMs: 0,
    prefillTokens: 0,
    prefillCount: 0,
    localPrefillAllowedAt: 0,
    avoidUntil: 0,
    failures: 0,
    ordered: undefined,
    slowness: 1,
    usableMemoryShare: MAX_MEMORY_SHARE,
    runsVersion: 0,
    memoryForecast: undefined,
  };
}

/** Adds an answer to its decode engine. */
export function addRun(load: EngineLoad, assignment: SlotAssignment): void {
  load.runs.set(assignment.ask.askId, assignment);
  load.runsVersion += 1;
}

/** Removes an answer from its decode engine. */
export function removeRun(load: EngineLoad, slotRequestId: SlotRequestId): void {
  load.runs.delete(slotRequestId);
  load.runsVersion += 1;
}

/** Returns how many answers of the given mean size a decode engine can serve at a time. */
export function countUsableSlots(
  { engine, usableMemoryShare }: EngineLoad,
  meanTokens: number,
): number {
  const byMemory = (usableMemoryShare * engine.kvCapacityTokens) / Math.max(1, meanTokens);
  return Math.max(1, Math.min(engine.slots, Math.floor(byMemory)));
}

function hasWorkFromBefore({ runs, prefills }: EngineLoad, at: number): boolean {
  for (const { grantedAt } of runs.values()) if (grantedAt <= at) return true;
  for (const { run } of prefills.values()) if (run.grantedAt <= at) return true;
  return false;
}

/** Updates the time since which an engine has no work from before its order to change the stage. */
export function updateIdleTime(load: EngineLoad, now: number): void {
  const { ordered } = load;
  if (ordered === undefined) return;
  ordered.idleSince = hasWorkFromBefore(load, ordered.at) ? undefined : (ordered.idleSince ?? now);
}

/**
 * Computes when a change of stage is complete at the latest: an engine changes as soon as it has no
 * work, so one that still has its stage some time later does not execute the order.
 */
function computeChangeEnd({ doneBy, idleChangeMs, idleSince }: StageOrder): number {
  if (idleChangeMs === undefined || idleSince === undefined) return doneBy;
  return Math.min(doneBy, idleSince + idleChangeMs);
}

/** Whether an engine is changing to another stage. */
export function isChanging({ ordered, engine }: EngineLoad, now: number): boolean {
  if (ordered === undefined || ordered.stage === engine.stage) return false;
  return now < computeChangeEnd(ordered);
}

/** Whether an engine has not executed its last order, and gets no other for some time. */
export function isIgnoringOrders({ ordered, engine }: EngineLoad, now: number): boolean {
  if (ordered === undefined || ordered.stage === engine.stage) return false;
  const endAt = computeChangeEnd(ordered);
  return now >= endAt && now < endAt + REPEAT_ORDER_MS;
}

/** Whether an engine serves a stage, so that its capacity counts there. */
export function isServing(load: EngineLoad, stage: EngineStage, now: number): boolean {
  return load.engine.stage === stage && !load.engine.isLeaving && !isChanging(load, now);
}

/** Whether an engine may get a request at all, whatever its free capacity. */
export function isUsable(load: EngineLoad, slotRequest: SlotRequest, now: number): boolean {
  if (load.engine.isLeaving || load.avoidUntil > now || isChanging(load, now)) return false;
  return !slotRequest.excluded.includes(load.engine.upstreamId);
}

/**
 * Estimates the milliseconds that an engine needs per prompt token;
 * `poolPrefillMsPerToken` is the mean of its pool.
 */
export function estimateEnginePrefillMsPerToken(
  load: EngineLoad,
  poolPrefillMsPerToken: number,
): number {
  const busyMs = load.prefillBusyMs + PRIOR_TOKENS * poolPrefillMsPerToken;
  return busyMs / (load.prefillTokens + PRIOR_TOKENS);
}

/** Predicts when an engine would complete the prefill of one more prompt. */
export function predictPrefillEnd(
  load: EngineLoad,
  promptTokens: number,
  poolPrefillMsPerToken: number,
  now: number,
): number {
  const startAt = load.prefills.size === 0 ? now : Math.max(now, load.prefillDoneAt);
  return startAt + promptTokens * estimateEnginePrefillMsPerToken(load, poolPrefillMsPerToken);
}

/**
 * Adds a pending prompt without extending the engine's forecast, for example one that another VM
 * announced.
 */
export function addPrefill(
  load: EngineLoad,
  assignment: SlotAssignment,
  poolPrefillMsPerToken: number,
  now: number,
): void {
  const prefillMs =
    assignment.ask.promptTokens * estimateEnginePrefillMsPerToken(load, poolPrefillMsPerToken);
  const graceMs = Math.max(MIN_OVERDUE_PREFILL_MS, OVERDUE_PREFILL_FACTOR * prefillMs);
  const overdueAt = Math.max(now, load.prefillDoneAt) + graceMs;
  load.prefills.set(assignment.ask.askId, { run: assignment, overdueAt });
}

/** Adds a prompt that is being sent to an engine, and extends the engine's forecast. */
export function startPrefill(
  load: EngineLoad,
  assignment: SlotAssignment,
  poolPrefillMsPerToken: number,
  now: number,
): void {
  load.prefillDoneAt = predictPrefillEnd(
    load,
    assignment.ask.promptTokens,
    poolPrefillMsPerToken,
    now,
  );
  if (load.prefills.size === 0) load.prefillBusySince = now;
  addPrefill(load, assignment, poolPrefillMsPerToken, now);
}

/**
 * Removes a prompt that was not prefilled; the time spent on it is not counted in the engine's
 * speed.
 */
export function dropPrefill(load: EngineLoad, slotRequestId: SlotRequestId, now: number): void {
  if (load.prefills.delete(slotRequestId)) load.prefillBusySince = now;
}

/** Removes the prompts whose completion has not been reported by their overdue time. */
export function dropOverduePrefills(load: EngineLoad, now: number): void {
  for (const [slotRequestId, { overdueAt }] of load.prefills) {
    if (overdueAt <= now) dropPrefill(load, slotRequestId, now);
  }
}

/**
 * Whether a local prefill of this duration would make an answer miss a target that it still meets.
 */
function wouldMissTarget(assignment: SlotAssignment, prefillMs: number): boolean {
  return !assignment.isLate && EVENT_INTERVAL_MS + prefillMs > assignment.ask.pauseMs;
}

/**
 * Counts the answers that a local prefill of this duration would make miss their latency target.
 */
export function countTargetMisses(load: EngineLoad, prefillMs: number): number {
  let count = 0;
  for (const assignment of load.runs.values()) {
    if (wouldMissTarget(assignment, prefillMs)) count += 1;
  }
  return count;
}

/** Marks the answers that miss their latency target because of a local prefill of this duration. */
export function recordTargetMisses(load: EngineLoad, prefillMs: number): void {
  for (const assignment of load.runs.values()) {
    if (wouldMissTarget(assignment, prefillMs)) assignment.isLate = true;
  }
}

/** Delays the next local prefill on an engine, so that its answers proceed first. */
export function startLocalPrefillCooldown(load: EngineLoad, prefillMs: number, now: number): void {
  load.localPrefillAllowedAt = now + Math.max(MIN_COOLDOWN_MS, COOLDOWN_FACTOR * prefillMs);
}

/** Returns the milliseconds that a local prefill takes, including the cooldown after it. */
export function measureLocalPrefillCycleMs(prefillMs: number): number {
  return prefillMs + Math.max(MIN_COOLDOWN_MS, COOLDOWN_FACTOR * prefillMs);
}

/** Whether a decode engine may start a local prefill now. */
export function isReadyForLocalPrefill(load: EngineLoad, now: number): boolean {
  if (load.prefills.size > 0) return false;
  return load.runs.size === 0 || load.localPrefillAllowedAt <= now;
}

/** Completes the prefill of a prompt; returns the busy time counted for it, in milliseconds. */
export function endPrefill(
  load: EngineLoad,
  slotRequestId: SlotRequestId,
  poolPrefillMsPerToken: number,
  now: number,
): number {
  const pendingPrefill = load.prefills.get(slotRequestId);
  if (pendingPrefill === undefined) return 0;
  const { run: assignment } = pendingPrefill;
  load.prefills.delete(slotRequestId);
  // A delayed report shows the time of its delivery rather than the speed of the engine.
  const maxBusyMs =
    MAX_SAMPLE_FACTOR *
    assignment.ask.promptTokens *
    estimateEnginePrefillMsPerToken(load, poolPrefillMsPerToken);
  const busyMs = Math.min(maxBusyMs, now - load.prefillBusySince);
  load.prefillBusySince = now;
  load.prefillBusyMs = PREFILL_DECAY * load.prefillBusyMs + busyMs;
  load.prefillTokens = PREFILL_DECAY * load.prefillTokens + assignment.ask.promptTokens;
  load.prefillCount += 1;
  load.failures = 0;
  return busyMs;
}

/** Resets the measured prefill speed of an engine, which differs between stages. */
export function forgetPrefillSpeed(load: EngineLoad): void {
  load.prefillBusyMs = 0;
  load.prefillTokens = 0;
  load.prefillCount = 0;
}

/** Whether a prefill engine can accept one more prompt without building up a queue. */
export function hasPrefillRoom(load: EngineLoad, now: number): boolean {
  if (load.prefills.size === 0) return true;
  return load.prefills.size < MAX_PREFILLS && load.prefillDoneAt - now <= PREFILL_LEAD_MS;
}
