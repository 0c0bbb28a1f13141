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
  /** Requests that it works on; the least loaded one changes. */
  readonly load: number;
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

const MS_PER_S = 1_000;
/** A prefill engine is planned to be busy for this share of its time. */
const PREFILL_LOAD = 0.95;
/** A decode engine that reads prompts itself takes twice the time, between its own tokens. */
const SELF_READ_FACTOR = 2;
/** Part of such answers that is on time: all others of the engine pause while it reads. */
const SELF_READ_YIELD = 0.25;
/** Gain that is worth the time that an engine needs for the change. */
const LEAST_GAIN = 1.2;

/** Predicts how many answers a second a split can start. */
export function predictStartRate(prefill: number, decode: number, demand: PoolDemand): number {
  const { prefillMs, holdMs, placesPerEngine } = demand;
  if (decode === 0) return 0;
  if (prefill === 0) {
    const engineMs = holdMs / placesPerEngine + SELF_READ_FACTOR * prefillMs;
    return (SELF_READ_YIELD * MS_PER_S * decode) / engineMs;
  }
  const readRate = (PREFILL_LOAD * MS_PER_S * prefill) / prefillMs;
  const placeRate = (MS_PER_S * decode * placesPerEngine) / holdMs;
  return Math.min(readRate, placeRate);
}

function findBestPrefill(total: number, current: number, demand: PoolDemand): number {
  let best = current;
  let bestRate = predictStartRate(current, total - current, demand);
  for (let prefill = 1; prefill < total; prefill += 1) {
    const rate = predictStartRate(prefill, total - prefill, demand);
    if (rate <= bestRate) continue;
    best = prefill;
    bestRate = rate;
  }
  const currentRate = predictStartRate(current, total - current, demand);
  return bestRate >= LEAST_GAIN * currentRate ? best : current;
}

function findLeastLoaded(
  engines: readonly PlannedEngine[],
  stage: EngineStage,
): PlannedEngine | undefined {
  let least: PlannedEngine | undefined;
  for (const engine of engines) {
    if (engine.stage !== stage) continue;
    if (least === undefined || engine.load < least.load) least = engine;
  }
  return least;
}

/** Finds the next change; undefined if the split is good enough. */
export function findStageChange(
  engines: readonly PlannedEngine[],
  demand: PoolDemand,
): StageChange | undefined {
  const total = engines.length;
  if (total < 2) return undefined;
  const current = engines.filter(({ stage }) => stage === 'prefill').length;
  const best = findBestPrefill(total, current, demand);
  if (best === current) return undefined;
  const [from, to] = best < current ? (['prefill', 'decode'] as const) : (['decode', 'prefill'] as const);
  const engine = findLeastLoaded(engines, from);
  return engine && { upstreamId: engine.upstreamId, stage: to };
}
