/**
 * Decides which engine of a pool should change its stage: the split between prefill and decode that
 * starts most answers a second, with hysteresis because a change takes the engine out for seconds.
 */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';

/** An engine as the plan counts it. */
export type PlannedEngine = {
  readonly upstreamId: UpstreamId;
  readonly stage: EngineStage;
  /** Requests that it works on. */
  readonly load: number;
  /** Its time for the same work, relative to its stage's mean; undefined until it is measured. */
  readonly slowness: number | undefined;
  /** Whether it is on its way to this stage and cannot be ordered again. */
  readonly isChanging: boolean;
};

/** What the pool needs for one request, in milliseconds of one engine. */
export type PoolDemand = {
  /** Time to read a prompt. */
  readonly prefillMs: number;
  /** Time that a place is held. */
  readonly holdMs: number;
  /** Places of one decode engine, by slots and by memory. */
  readonly placesPerEngine: number;
};

/** A change of one engine. */
export type StageChange = { readonly upstreamId: UpstreamId; readonly stage: EngineStage };

/** A change that is worth its time; an urgent one need not wait for measurements. */
export type WantedChange = StageChange & { readonly isUrgent: boolean };

const MS_PER_S = 1_000;
/** A prefill engine is planned to be busy for this share of its time. */
const PREFILL_LOAD = 0.95;
/** A decode engine that reads prompts itself takes twice the time, between its own tokens. */
const SELF_READ_FACTOR = 2;
/** Part of such answers that is on time: engines slow down at times, and then pauses are too long. */
const SELF_READ_YIELD = 0.25;
/** Gain that is worth the time that an engine needs for the change. */
const LEAST_GAIN = { decode: 1.15, prefill: 1.3 } as const;
/** Gain that is clear whatever the measured speeds of engines turn out to be. */
const URGENT_GAIN = 1.7;
/** Part of the gain that each request on an engine costs while it ends. */
const LOAD_COST = 0.004;

function sumSpeeds(engines: readonly PlannedEngine[], stage: EngineStage): number {
  let speed = 0;
  for (const engine of engines) {
    if (engine.stage === stage) speed += 1 / (engine.slowness ?? 1);
  }
  return speed;
}

/** Predicts how many answers a second the engines can start with their stages. */
export function predictStartRate(engines: readonly PlannedEngine[], demand: PoolDemand): number {
  const { prefillMs, holdMs, placesPerEngine } = demand;
  const prefill = sumSpeeds(engines, 'prefill');
  const decode = sumSpeeds(engines, 'decode');
  if (prefill === 0) {
    const engineMs = holdMs / placesPerEngine + SELF_READ_FACTOR * prefillMs;
    return (SELF_READ_YIELD * MS_PER_S * decode) / engineMs;
  }
  const readRate = (PREFILL_LOAD * MS_PER_S * prefill) / prefillMs;
  const placeRate = (MS_PER_S * decode * placesPerEngine) / holdMs;
  return Math.min(readRate, placeRate);
}

function applyChange(
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

/** Finds the next change; undefined if the split is good enough, or not measured yet. */
export function findStageChange(
  engines: readonly PlannedEngine[],
  demand: PoolDemand,
): WantedChange | undefined {
  if (engines.length < 2) return undefined;
  const currentRate = predictStartRate(engines, demand);
  let best: WantedChange | undefined;
  let bestWorth = 0;
  for (const engine of engines) {
    if (engine.isChanging) continue;
    const stage = engine.stage === 'prefill' ? 'decode' : 'prefill';
    const change = { upstreamId: engine.upstreamId, stage } as const;
    const rate = predictStartRate(applyChange(engines, change), demand);
    // Its work has to end first, so among equal engines the one with the least changes.
    const worth = rate * (1 - LOAD_COST * engine.load);
    if (worth <= bestWorth || rate <= LEAST_GAIN[stage] * currentRate) continue;
    best = { ...change, isUrgent: rate >= URGENT_GAIN * currentRate };
    bestWorth = worth;
  }
  return best?.isUrgent === true || isMeasured(engines) ? best : undefined;
}
