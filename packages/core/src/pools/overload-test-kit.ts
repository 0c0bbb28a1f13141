/**
 * Simulation of callers that send more than the engines of a pool can start: engines of different
 * speed, answers of other lengths than expected, and callers that come back after a refusal.
 */

import type { UpstreamId } from '@tarragonspool/protocol';
import { handlePoolEvent, type PoolAction, type PoolEngine, type PoolEvent } from './index.js';
import { buildEngine, buildPool, buildSlotRequest } from './pool-test-kit.js';

/** A caller of one stream. */
export type Caller = {
  readonly arrivesAt: number;
  readonly tenant: string | undefined;
  readonly rank: number;
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly actualTokens: number;
  readonly contentKey: string;
};

/** What became of a caller's stream. */
export type Outcome = 'on-time' | 'late' | 'given-up' | 'waited-in-vain';

/** How a simulation ended. */
export type OverloadResult = {
  readonly outcomes: ReadonlyMap<Caller, Outcome>;
  /** When each attempt of a caller arrived. */
  readonly attempts: readonly number[];
  /** Streams that were granted a slot in time for their target, and missed it. */
  readonly missedTarget: number;
  /** How long refused attempts had waited. */
  readonly refusedAfterMs: readonly number[];
};

/** Engines with their speed relative to the usual one. */
export type SimulatedEngine = { readonly engine: PoolEngine; readonly speed: number };

/** Latency target for the first event, from the first attempt of a caller. */
export const TARGET_MS = 1_100;
/** Time in which a caller wants the first event, from its first attempt. */
export const CALLER_TIMEOUT_MS = 14_000;
/** Callers wait no longer after a refusal than this share of the time that they have left. */
const RETRY_SHARE = 1 / 3;
/** Callers with less time left than this give up. */
const MIN_TIME_LEFT_MS = 200;
const PREFILL_MS_PER_TOKEN = 0.018;
const DECODE_MS_PER_TOKEN = 0.58;
const TRANSFER_MS = 40;
const TICK_MS = 25;

/** Returns a function that returns seeded random numbers in [0, 1). */
export function makeRandom(seed: number): () => number {
  let value = seed;
  return () => {
    value = (value * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return value / 2 ** 32;
  };
}

/** Builds callers that arrive at random times at a rate per second; half outlast their estimate. */
export function buildCallers(
  random: () => number,
  { fromMs, toMs, perSecond }: { fromMs: number; toMs: number; perSecond: number },
  { tenant, rank = 0 }: { tenant?: string; rank?: number } = {},
): Caller[] {
  const callers: Caller[] = [];
  for (let at = fromMs; ;) {
    at -= (Math.log(1 - random()) * 1_000) / perSecond;
    if (at >= toMs) return callers;
    const promptTokens = Math.round(2_000 + 6_000 * random());
    const expectedTokens = Math.round(3_000 + 6_000 * random());
    const actualTokens = expectedTokens * (0.5 + random());
    const contentKey = `${tenant ?? ''}-${rank}-${at}`;
    const sizes = { promptTokens, expectedTokens, actualTokens };
    callers.push({ arrivesAt: at, tenant, rank, contentKey, ...sizes });
  }
}

/** Builds a fleet of decode engines of different speed, limited by memory, and prefill engines. */
export function buildFleet(prefillCount: number, decodeCount: number): SimulatedEngine[] {
  const speeds = [1, 0.55, 1.2, 1, 0.9, 1.2];
  const getSpeed = (index: number): number => speeds[index % speeds.length] ?? 1;
  const fleet: SimulatedEngine[] = [];
  for (let index = 0; index < prefillCount; index += 1) {
    fleet.push({ engine: buildEngine(`p${index}`, { stage: 'prefill' }), speed: getSpeed(index) });
  }
  for (let index = 0; index < decodeCount; index += 1) {
    // Slots bind: how memory limits them is tested with the memory forecasts, and these engines never run out of it.
    const engine = buildEngine(`d${index}`, { slots: 7, kvCapacityTokens: 400_000 });
    fleet.push({ engine, speed: getSpeed(index) });
  }
  return fleet;
}

type Attempt = { readonly caller: Caller; readonly askedAt: number };
type Due = { readonly at: number; readonly perform: (now: number) => void };

/** Plays callers at a pool until all of them have been served or have given up. */
export function runOverload(
  fleet: readonly SimulatedEngine[],
  callers: readonly Caller[],
  seed = 1,
): OverloadResult {
  const state = buildPool(fleet.map(({ engine }) => engine));
  const random = makeRandom(seed);
  Object.assign(state, { takeFraction: random });
  const speeds = new Map(fleet.map(({ engine, speed }) => [engine.upstreamId, speed]));
  const busyUntil = new Map<UpstreamId, number>();
  const outcomes = new Map<Caller, Outcome>();
  const open = new Map<string, Attempt>();
  const attempts: number[] = [];
  const refusedAfterMs: number[] = [];
  let missedTarget = 0;
  const due: Due[] = [];

  function schedule(at: number, perform: (now: number) => void): void {
    let low = 0;
    let high = due.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((due[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    due.splice(low, 0, { at, perform });
  }

  /** Performs actions; the functions that it calls hand events to the pool in turn. */
  const perform: { actions: (actions: readonly PoolAction[], now: number) => void } = {
    actions: () => undefined,
  };

  function apply(event: PoolEvent, now: number): void {
    perform.actions(handlePoolEvent(state, event, now), now);
  }

  function serve(action: Extract<PoolAction, { kind: 'grant' }>, now: number): void {
    const { askId, promptTokens } = action.ask;
    const attempt = open.get(askId);
    if (attempt === undefined) return;
    open.delete(askId);
    const { caller } = attempt;
    const reader = action.prefill ?? action.decode;
    const readFrom = Math.max(now, busyUntil.get(reader) ?? 0);
    const prefillMs = (promptTokens * PREFILL_MS_PER_TOKEN) / (speeds.get(reader) ?? 1);
    const prefilledAt = readFrom + prefillMs;
    busyUntil.set(reader, prefilledAt);
    const eventAt = prefilledAt + TRANSFER_MS;
    const isOnTime = eventAt <= caller.arrivesAt + TARGET_MS;
    if (!isOnTime && state.runs.get(askId)?.isLate === false) missedTarget += 1;
    const lateOutcome = eventAt <= caller.arrivesAt + CALLER_TIMEOUT_MS ? 'late' : 'waited-in-vain';
    outcomes.set(caller, isOnTime ? 'on-time' : lateOutcome);
    const decodeMs = (caller.actualTokens * DECODE_MS_PER_TOKEN) / (speeds.get(action.decode) ?? 1);
    schedule(prefilledAt, (at) => apply({ kind: 'prefilled', askId }, at));
    schedule(eventAt + decodeMs, (at) => apply({ kind: 'ended', askId, didFinish: true }, at));
  }

  function send(caller: Caller, now: number): void {
    attempts.push(now);
    const { promptTokens, expectedTokens, contentKey, tenant, rank } = caller;
    const ask = buildSlotRequest(now, {
      aimAt: now + TARGET_MS,
      patienceEndsAt: caller.arrivesAt + CALLER_TIMEOUT_MS,
      promptTokens,
      outputTokens: expectedTokens,
      contentKey,
      rank,
      ...(tenant === undefined ? {} : { tenant }),
    });
    open.set(ask.askId, { caller, askedAt: now });
    apply({ kind: 'asked', ask }, now);
  }

  function refuse(action: Extract<PoolAction, { kind: 'refuse' }>, now: number): void {
    const attempt = open.get(action.ask.askId);
    if (attempt === undefined) return;
    open.delete(action.ask.askId);
    const { caller, askedAt } = attempt;
    refusedAfterMs.push(now - askedAt);
    const leftMs = caller.arrivesAt + CALLER_TIMEOUT_MS - now;
    if (leftMs <= MIN_TIME_LEFT_MS) {
      outcomes.set(caller, action.reason === 'waited-too-long' ? 'waited-in-vain' : 'given-up');
      return;
    }
    const delayMs = Math.min(action.retryAfterMs, RETRY_SHARE * leftMs);
    schedule(now + delayMs, (at) => send(caller, at));
  }

  perform.actions = (actions, now) => {
    for (const action of actions) {
      if (action.kind === 'grant') serve(action, now);
      else refuse(action, now);
    }
  };

  for (const caller of callers) schedule(caller.arrivesAt, (at) => send(caller, at));
  const lastAt = Math.max(...callers.map(({ arrivesAt }) => arrivesAt)) + 2 * CALLER_TIMEOUT_MS;
  for (let at = 0; at < lastAt; at += TICK_MS) {
    schedule(at, (now) => apply({ kind: 'ticked' }, now));
  }
  for (let next = due.pop(); next !== undefined && next.at <= lastAt; next = due.pop()) {
    next.perform(next.at);
  }
  for (const { caller } of open.values()) outcomes.set(caller, 'waited-in-vain');
  return { outcomes, attempts, missedTarget, refusedAfterMs };
}

/** Counts the callers with each outcome. */
export function countOutcomes(
  { outcomes }: OverloadResult,
  isCounted: (caller: Caller) => boolean = () => true,
): Record<Outcome, number> {
  const counts = { 'on-time': 0, late: 0, 'given-up': 0, 'waited-in-vain': 0 };
  for (const [caller, outcome] of outcomes) if (isCounted(caller)) counts[outcome] += 1;
  return counts;
}
