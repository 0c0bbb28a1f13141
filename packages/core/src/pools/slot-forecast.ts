/**
 * Forecast of when decode slots and prefill engines become free, from the expected ends of the
 * running answers and of the prompts that are being prefilled. The ends of answers are spread as
 * those of recent ones were, see answer-ends.ts; the n-th slot becomes free when the expected
 * number of ends comes to n.
 */

import { listEndTimes } from './answer-ends.js';
import {
  MAX_PREFILLS,
  PREFILL_LEAD_MS,
  countUsableSlots,
  estimateEnginePrefillMsPerToken,
  isChanging,
  measureLocalPrefillCycleMs,
  type EngineLoad,
} from './engine-load.js';
import { hasFreeSlot } from './engine-memory.js';
import {
  SHORT_AVOID_MS,
  estimateAnswerTokens,
  hasLimitedPrefill,
  measurePoolMemory,
  measurePrefillMsPerToken,
  predictFirstEventMs,
  predictOccupancyMs,
  type PoolState,
} from './pool-state.js';
import { findPermitTime } from '../routing/request-permits.js';
import type { SlotRequest, SlotAssignment } from './pool-types.js';

/** An engine that prefills prompts, one after the other. */
type PrefillForecast = {
  /** When it can take the next prompt. */
  freeAt: number;
  readonly msPerToken: number;
  /** Whether it is a decode engine, which pauses between two prompts. */
  readonly isLocal: boolean;
  /** Shortest time between two prompts, from the limit that the engine may have named. */
  readonly paceMs: number;
};

/** When slots and prefill engines become free; each predicted start takes some of them. */
export type SlotForecast = {
  /** When the slots that are free or occupied now become free, in order. */
  readonly slotTimes: number[];
  /** The same for slots that predicted starts have taken, in order. */
  readonly laterSlotTimes: number[];
  readonly prefills: PrefillForecast[];
  /** How long a predicted start occupies its slot, in milliseconds. */
  readonly occupancyMs: number;
};

const MS_PER_S = 1_000;
/** The forecast reaches four mean occupancies ahead, in steps of a 40th of one. */
const STEPS_PER_OCCUPANCY = 40;
const STEP_COUNT = 161;
/** The n-th slot is expected to be free when n less a half have become free on average. */
const MEDIAN = 0.5;
/**
 * Answers by which an engine may exceed the number that its memory allows on average; the average
 * is rounded down, and the answers that it has may be smaller.
 */
const SURPLUS_TOLERANCE = 1;
/** Time constant at which arrivals are expected to return to their usual rate after a burst. */
const BURST_MS = 3_000;
/** Shortest time after which a slot is expected to be free again; bounds the length of the list. */
const MIN_CYCLE_MS = 50;
/** Arrivals on time can wait this long for a slot, so that a short lack of slots does no harm. */
const WAITING_MS = 400;

/** Whether an engine may serve a request, now or after a short while. */
function canServe(load: EngineLoad, slotRequest: SlotRequest, now: number): boolean {
  const { engine } = load;
  if (engine.isLeaving || isChanging(load, now)) return false;
  return !slotRequest.excluded.includes(engine.upstreamId);
}

/** Finds when an engine takes its next request, whatever its free capacity. */
function findOpenTime({ permits, keepsPermits }: PoolState, load: EngineLoad, now: number): number {
  const openAt = Math.max(now, load.avoidUntil);
  if (load.engine.requestsPerSecond === undefined) return openAt;
  return keepsPermits ? Math.max(openAt, findPermitTime(permits, load.engine, now)) : Infinity;
}

function computePaceMs({ engine }: EngineLoad): number {
  return engine.requestsPerSecond === undefined ? 0 : MS_PER_S / engine.requestsPerSecond;
}

function countFreeSlotsFor(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
): number {
  const endsAt =
    now + predictFirstEventMs(state, slotRequest) + predictOccupancyMs(state, slotRequest, load);
  const extra: SlotAssignment = {
    ask: slotRequest,
    decode: load.engine.upstreamId,
    prefill: undefined,
    grantedAt: now,
    isLate: false,
    expectedEndAt: endsAt,
  };
  if (!hasFreeSlot(load, extra, measurePoolMemory(state, now))) return 0;
  return Math.max(1, countUsableSlots(load, estimateAnswerTokens(state)) - load.runs.size);
}

/** Expected number of slots that become free until the end of each step from now. */
type FreeCounts = {
  readonly counts: Float64Array;
  /** Expected ends of one engine's answers by step. */
  readonly ends: Float64Array;
  readonly stepMs: number;
};

/**
 * Adds the slots of one engine. The first ends free no slot while more answers run than its memory
 * is expected to allow, and a limit that it named bounds how many it starts.
 */
function addFreeSlots(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
  { counts, ends, stepMs }: FreeCounts,
): void {
  const free = countFreeSlotsFor(state, load, slotRequest, now);
  const usable = countUsableSlots(load, estimateAnswerTokens(state));
  const surplus = Math.max(0, load.runs.size + free - usable - SURPLUS_TOLERANCE);
  ends.fill(0);
  for (const run of load.runs.values()) {
    listEndTimes(state.endRatios, run, now, (at, probability) => {
      const step = Math.max(0, Math.ceil((at - now) / stepMs));
      const index = Math.min(STEP_COUNT - 1, step);
      ends[index] = (ends[index] ?? 0) + probability;
    });
  }
  const openInMs = findOpenTime(state, load, now) - now;
  const ratePerMs = (load.engine.requestsPerSecond ?? Infinity) / MS_PER_S;
  let ended = 0;
  for (let step = 0; step < STEP_COUNT; step += 1) {
    ended += ends[step] ?? 0;
    const openMs = step * stepMs - openInMs;
    if (openMs < 0) continue;
    const limit = ratePerMs === Infinity ? Infinity : 1 + openMs * ratePerMs;
    counts[step] = (counts[step] ?? 0) + Math.min(limit, free + Math.max(0, ended - surplus));
  }
}

/** Lists when each slot is expected to be free, in order. */
function listSlotTimes({ counts, stepMs }: FreeCounts, now: number): number[] {
  const times: number[] = [];
  let before = 0;
  for (const [step, count] of counts.entries()) {
    while (times.length + MEDIAN <= count) {
      const share = step === 0 ? 1 : (times.length + MEDIAN - before) / (count - before);
      times.push(now + Math.max(0, step - 1 + share) * stepMs);
    }
    before = count;
  }
  return times;
}

/** Predicts when the prompts at a prefill engine that has just completed one are all prefilled. */
export function predictPendingEnd(
  load: EngineLoad,
  poolPrefillMsPerToken: number,
  now: number,
): number {
  let tokens = 0;
  for (const { run } of load.prefills.values()) tokens += run.ask.promptTokens;
  return now + tokens * estimateEnginePrefillMsPerToken(load, poolPrefillMsPerToken);
}

/**
 * Predicts when a prefill engine has room for one more prompt. A prompt past its expected end is
 * expected to take as long again as it is late, but no longer than until it is overdue.
 */
function predictPrefillRoom(load: EngineLoad, msPerToken: number, now: number): number {
  const pending = [...load.prefills.values()];
  const [first] = pending;
  const last = pending.at(-1);
  if (first === undefined || last === undefined) return now;
  const leadAt = Math.max(now, load.prefillDoneAt - PREFILL_LEAD_MS);
  if (pending.length < MAX_PREFILLS) return leadAt;
  const firstEndAt = load.prefillDoneAt - last.run.ask.promptTokens * msPerToken;
  const lateMs = Math.max(0, now - firstEndAt);
  const roomAt = lateMs > 0 ? Math.min(now + lateMs, first.overdueAt) : firstEndAt;
  return Math.max(now, leadAt, roomAt);
}

function buildPrefillForecast(state: PoolState, load: EngineLoad, now: number): PrefillForecast {
  const paceMs = computePaceMs(load);
  const openAt = findOpenTime(state, load, now);
  if (load.engine.stage === 'prefill') {
    const msPerToken = estimateEnginePrefillMsPerToken(load, measurePrefillMsPerToken(state));
    const freeAt = Math.max(openAt, predictPrefillRoom(load, msPerToken, now));
    return { freeAt, msPerToken, isLocal: false, paceMs };
  }
  const readyAt = load.runs.size === 0 ? now : load.localPrefillAllowedAt;
  const doneAt = load.prefills.size === 0 ? now : load.prefillDoneAt;
  const freeAt = Math.max(openAt, readyAt, doneAt);
  return { freeAt, msPerToken: state.localPrefillMsPerToken, isLocal: true, paceMs };
}

function computeSlotForecast(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): SlotForecast {
  const stepMs = state.occupancyMs / STEPS_PER_OCCUPANCY;
  const free = {
    counts: new Float64Array(STEP_COUNT),
    ends: new Float64Array(STEP_COUNT),
    stepMs,
  };
  const prefills: PrefillForecast[] = [];
  const local: PrefillForecast[] = [];
  let prefillOpenAt = Infinity;
  for (const load of state.engines.values()) {
    if (!canServe(load, slotRequest, now)) continue;
    const { stage, softwareVersion } = load.engine;
    if (stage === 'prefill') {
      prefills.push(buildPrefillForecast(state, load, now));
      prefillOpenAt = Math.min(prefillOpenAt, findOpenTime(state, load, now));
    } else if ((slotRequest.softwareVersion ?? softwareVersion) === softwareVersion) {
      addFreeSlots(state, load, slotRequest, now, free);
      local.push(buildPrefillForecast(state, load, now));
    }
  }
  // Decode engines prefill while no prefill engine takes requests, and prompts beyond the limits of those that do.
  const isOutage = prefillOpenAt > now + SHORT_AVOID_MS;
  if (isOutage || hasLimitedPrefill(state)) prefills.push(...local);
  const slotTimes = listSlotTimes(free, now);
  return { slotTimes, laterSlotTimes: [], prefills, occupancyMs: state.occupancyMs };
}

/** Whether a request may be served by any engine, as nearly all are. */
export function isOrdinary({ excluded, softwareVersion }: SlotRequest): boolean {
  return excluded.length === 0 && softwareVersion === undefined;
}

/**
 * Builds the forecast of the slots and prefill engines that may serve a request. Ordinary requests
 * share one until the next event or grant.
 */
export function buildSlotForecast(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): SlotForecast {
  if (!isOrdinary(slotRequest)) return computeSlotForecast(state, slotRequest, now);
  if (state.forecast?.at !== now) {
    state.forecast = { at: now, forecast: computeSlotForecast(state, slotRequest, now) };
  }
  const { slotTimes, prefills, occupancyMs } = state.forecast.forecast;
  const copies = prefills.map((prefill) => ({ ...prefill }));
  return { slotTimes: [...slotTimes], laterSlotTimes: [], prefills: copies, occupancyMs };
}

function addInOrder(times: number[], at: number): void {
  let index = times.length;
  while (index > 0 && (times[index - 1] ?? 0) > at) index -= 1;
  times.splice(index, 0, at);
}

function takeSlot({ slotTimes, laterSlotTimes }: SlotForecast): number {
  const firstAt = slotTimes[0] ?? Infinity;
  const laterAt = laterSlotTimes[0] ?? Infinity;
  return (firstAt <= laterAt ? slotTimes.shift() : laterSlotTimes.shift()) ?? Infinity;
}

/** Takes the prefill engine that completes a prompt first; returns when it starts. */
function takePrefill(forecast: SlotForecast, promptTokens: number, slotAt: number): number {
  let best: PrefillForecast | undefined;
  let bestEndAt = Infinity;
  for (const prefill of forecast.prefills) {
    const endAt = Math.max(slotAt, prefill.freeAt) + promptTokens * prefill.msPerToken;
    if (endAt >= bestEndAt) continue;
    best = prefill;
    bestEndAt = endAt;
  }
  if (best === undefined) return Infinity;
  const startAt = Math.max(slotAt, best.freeAt);
  const prefillMs = promptTokens * best.msPerToken;
  const cycleMs = best.isLocal ? measureLocalPrefillCycleMs(prefillMs) : prefillMs;
  best.freeAt = startAt + Math.max(cycleMs, best.paceMs);
  return startAt;
}

/**
 * Predicts when the next request starts, once a slot and a prefill engine are free together, and
 * takes them for it; Infinity if none ever is.
 */
export function takeStart(
  forecast: SlotForecast,
  { promptTokens, needsPrefill }: Pick<SlotRequest, 'promptTokens' | 'needsPrefill'>,
): number {
  const slotAt = takeSlot(forecast);
  if (slotAt === Infinity) return Infinity;
  const startAt = needsPrefill ? takePrefill(forecast, promptTokens, slotAt) : slotAt;
  if (startAt < Infinity) addInOrder(forecast.laterSlotTimes, startAt + forecast.occupancyMs);
  return startAt;
}

/** What requests that are served first need of the slots. */
export type SlotDemand = {
  /** Recent and usual arrivals per second that can meet their target. */
  readonly arrivalRate: number;
  readonly usualRate: number;
  /** Requests that are served before. */
  readonly ahead: number;
  /** Slots that are left free for arrivals when the slot is taken. */
  readonly reserved: number;
};

/** Predicts the arrivals of the next milliseconds: a burst returns to the usual rate. */
function predictArrivals({ arrivalRate, usualRate }: SlotDemand, ms: number): number {
  if (ms <= 0) return 0;
  const surplus = Math.max(0, arrivalRate - usualRate);
  const burstMs = BURST_MS * (1 - Math.exp(-ms / BURST_MS));
  return ((arrivalRate - surplus) * ms + surplus * burstMs) / MS_PER_S;
}

/** Lists when slots become free until a time, if each is occupied again as soon as it is free. */
function listRepeatedTimes(
  slotTimes: readonly number[],
  cycleMs: number,
  untilMs: number,
): number[] {
  const times: number[] = [];
  for (const firstAt of slotTimes) {
    for (let at = firstAt; at <= untilMs; at += cycleMs) times.push(at);
  }
  return times.sort((a, b) => a - b);
}

/**
 * Predicts when a slot is free that no request which is served first needs for as long as it would
 * be occupied, searching until `limitAt`; Infinity if there is none.
 */
export function predictSpareSlot(
  { slotTimes, occupancyMs }: SlotForecast,
  demand: SlotDemand,
  now: number,
  limitAt: number,
): number {
  const cycleMs = Math.max(MIN_CYCLE_MS, occupancyMs);
  const needed = demand.ahead + 1;
  // Most searches are for a slot that is free now, and find none.
  if (limitAt === now && (slotTimes[needed + demand.reserved - 1] ?? Infinity) > now) {
    return Infinity;
  }
  const times = listRepeatedTimes(slotTimes, cycleMs, limitAt + cycleMs);
  const isEnough = (free: number, at: number): boolean =>
    free - predictArrivals(demand, at - now - WAITING_MS) >= needed;
  for (let index = needed + demand.reserved - 1; index < times.length;) {
    const startAt = times[index] ?? Infinity;
    if (startAt > limitAt) return Infinity;
    const endAt = startAt + cycleMs;
    let next = index + 1;
    // Just before each slot that becomes free, those before it must be enough.
    while (next < times.length && (times[next] ?? 0) <= endAt && isEnough(next, times[next] ?? 0)) {
      next += 1;
    }
    if ((times[next] ?? Infinity) > endAt && isEnough(next, endAt)) return startAt;
    index = next;
  }
  return Infinity;
}
