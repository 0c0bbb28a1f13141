/**
 * Chooses which engine of a pool should change its stage, to reach the split between prefill and
 * decode that starts most answers per second. A change must bring a minimum gain, because it takes
 * the engine out of service for seconds.
 */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';

/** An engine as the plan sees it. */
export type PlannedEngine = {
  readonly upstreamId: UpstreamId;
  readonly stage: EngineStage;
  /** Requests that the engine is working on. */
  readonly requestCount: number;
  /** Time for the same work, relative to the mean of its stage; undefined until it is measured. */
  readonly slowness: number | undefined;
  /** Whether the engine is still changing to this stage and cannot get another order. */
  readonly isChanging: boolean;
  /** Whether it has not executed its last order and gets no other for some time. */
  readonly isIgnoringOrders?: boolean;
};

/** Demand of an average request. */
export type RequestNeeds = {
  /** Milliseconds that a prefill engine needs for a prompt. */
  readonly prefillMs: number;
  /** Milliseconds that a slot is occupied. */
  readonly occupancyMs: number;
  /** Requests that one decode engine can serve at a time, limited by slots and memory. */
  readonly slotsPerEngine: number;
};

/** A change of one engine to another stage. */
export type StageChange = { readonly upstreamId: UpstreamId; readonly stage: EngineStage };

/**
 * A change whose gain outweighs the time that it takes; an urgent one need not wait for
 * measurements.
 */
export type WantedChange = StageChange & { readonly isUrgent: boolean };

const MS_PER_S = 1_000;
/** Planned share of time that a prefill engine is busy. */
const PREFILL_UTILIZATION = 0.95;
/**
 * A local prefill takes this multiple of the time, because it runs between the engine's own tokens.
 */
const LOCAL_PREFILL_FACTOR = 2;
/**
 * Share of answers with local prefills that meet their target: when engines slow down, pauses get
 * too long.
 */
const LOCAL_PREFILL_ON_TIME_SHARE = 0.25;
/**
 * Minimum gain, as a factor on the start rate, that outweighs the time for a change to each stage.
 */
const MIN_GAIN = { decode: 1.15, prefill: 1.3 } as const;
/** Gain that holds whatever speeds will be measured for the engines. */
const URGENT_GAIN = 1.7;
/**
 * Share of the rate that is deducted for each request that an engine has to complete before a
 * change.
 */
const LOAD_COST = 0.004;

function sumSpeeds(engines: readonly PlannedEngine[], stage: EngineStage): number {
  let speed = 0;
  for (const engine of engines) {
    if (engine.stage === stage) speed += 1 / (engine.slowness ?? 1);
  }
  return speed;
}

/** Predicts how many answers per second the engines can start in their stages. */
export function predictStartRate(engines: readonly PlannedEngine[], demand: RequestNeeds): number {
  const { prefillMs, occupancyMs, slotsPerEngine } = demand;
  const prefill = sumSpeeds(engines, 'prefill');
  const decode = sumSpeeds(engines, 'decode');
  if (prefill === 0) {
    const engineMs = occupancyMs / slotsPerEngine + LOCAL_PREFILL_FACTOR * prefillMs;
    return (LOCAL_PREFILL_ON_TIME_SHARE * MS_PER_S * decode) / engineMs;
  }
  const prefillRate = (PREFILL_UTILIZATION * MS_PER_S * prefill) / prefillMs;
  const slotRate = (MS_PER_S * decode * slotsPerEngine) / occupancyMs;
  return Math.min(prefillRate, slotRate);
}

/** Returns the engines with one of them in another stage. */
export function applyChange(
  engines: readonly PlannedEngine[],
  { upstreamId, stage }: StageChange,
): PlannedEngine[] {
  return engines.map((engine) =>
    engine.upstreamId === upstreamId ? { ...engine, stage } : engine,
  );
}

function isMeasured(engines: readonly PlannedEngine[]): boolean {
  return engines.every(({ slowness }) => slowness !== undefined);
}

/** Whether an engine is the only one that serves its stage, while others are changing to it. */
function isOnlyServing(engines: readonly PlannedEngine[], engine: PlannedEngine): boolean {
  const others = engines.filter((other) => other !== engine && other.stage === engine.stage);
  return others.length > 0 && others.every(({ isChanging }) => isChanging);
}

/**
 * Finds the next change; undefined if no change gains enough, or the engines are not measured yet.
 */
export function findStageChange(
  engines: readonly PlannedEngine[],
  demand: RequestNeeds,
): WantedChange | undefined {
  if (engines.length < 2) return undefined;
  const currentRate = predictStartRate(engines, demand);
  let best: WantedChange | undefined;
  let bestScore = 0;
  for (const engine of engines) {
    if (engine.isChanging || engine.isIgnoringOrders === true) continue;
    if (isOnlyServing(engines, engine)) continue;
    const stage = engine.stage === 'prefill' ? 'decode' : 'prefill';
    const change = { upstreamId: engine.upstreamId, stage } as const;
    const rate = predictStartRate(applyChange(engines, change), demand);
    // An engine completes its work before it changes, so the least loaded of equal engines is
    // chosen.
    const score = rate * (1 - LOAD_COST * engine.requestCount);
    if (score <= bestScore || rate <= MIN_GAIN[stage] * currentRate) continue;
    best = { ...change, isUrgent: rate >= URGENT_GAIN * currentRate };
    bestScore = score;
  }
  return best?.isUrgent === true || isMeasured(engines) ? best : undefined;
}
