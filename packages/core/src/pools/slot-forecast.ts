/**
 * Forecast of when decode slots and prefill engines become free, from the expected ends of the
 * running answers and of the prompts that are being prefilled. An answer past its expected end
 * counts as one that ends soon: the time it was expected to last longer grows with its age, and of
 * several such answers the first ends well before the mean, as with exponentially distributed ends.
 */

import {
  MAX_PREFILLS,
  PREFILL_LEAD_MS,
  countUsableSlots,
  estimateEnginePrefillMsPerToken,
  hasFreeSlot,
  isChanging,
  measureLocalPrefillCycleMs,
  type EngineLoad,
} from './engine-load.js';
import {
  estimateAnswerTokens,
  hasLimitedPrefill,
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
  if (!hasFreeSlot(load, extra, now)) return 0;
  return Math.max(1, countUsableSlots(load, estimateAnswerTokens(state)) - load.runs.size);
}

/** Spaces the times at which an engine starts requests by the limit that it named. */
function applyPace(times: number[], openAt: number, paceMs: number): void {
  if (paceMs === 0) return;
  times.sort((a, b) => a - b);
  for (const [index, at] of times.entries()) times[index] = Math.max(at, openAt + index * paceMs);
}

/**
 * Lists when the slots of one engine become free; the ages of its answers that are past their
 * expected end are added to `overdueAges`.
 */
function listSlotTimes(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
  overdueAges: number[],
): number[] {
  const openAt = findOpenTime(state, load, now);
  const usable = countUsableSlots(load, estimateAnswerTokens(state));
  const free = countFreeSlotsFor(state, load, slotRequest, now);
  const times = new Array<number>(free).fill(openAt);
  const runs = [...load.runs.values()].sort((a, b) => a.expectedEndAt - b.expectedEndAt);
  // The first ends free no slot while more answers run than the memory is expected to allow.
  const surplus = Math.max(0, runs.length + free - usable);
  for (const { expectedEndAt, grantedAt } of runs.slice(surplus)) {
    if (expectedEndAt > now) times.push(Math.max(openAt, expectedEndAt));
    else if (openAt === now) overdueAges.push(now - grantedAt);
    else times.push(openAt);
  }
  applyPace(times, openAt, computePaceMs(load));
  return times;
}

/** Adds the predicted ends of overdue answers: the first of n ends after an n-th of the mean. */
function addOverdueEnds(
  times: number[],
  overdueAges: readonly number[],
  overrunShare: number,
  now: number,
): void {
  if (overdueAges.length === 0) return;
  const sumMs = overdueAges.reduce((total, ageMs) => total + ageMs, 0);
  const meanMs = (overrunShare * sumMs) / overdueAges.length;
  let at = now;
  for (let left = overdueAges.length; left > 0; left -= 1) {
    at += meanMs / left;
    times.push(at);
  }
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

/** Builds the forecast of the slots and prefill engines that may serve a request. */
export function buildSlotForecast(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): SlotForecast {
  const slotTimes: number[] = [];
  const overdueAges: number[] = [];
  const prefills: PrefillForecast[] = [];
  const local: PrefillForecast[] = [];
  for (const load of state.engines.values()) {
    if (!canServe(load, slotRequest, now)) continue;
    const { stage, softwareVersion } = load.engine;
    if (stage === 'prefill') {
      prefills.push(buildPrefillForecast(state, load, now));
    } else if ((slotRequest.softwareVersion ?? softwareVersion) === softwareVersion) {
      slotTimes.push(...listSlotTimes(state, load, slotRequest, now, overdueAges));
      local.push(buildPrefillForecast(state, load, now));
    }
  }
  addOverdueEnds(slotTimes, overdueAges, state.overrunShare, now);
  slotTimes.sort((a, b) => a - b);
  // Decode engines also prefill what the limits of prefill engines leave over.
  if (prefills.length === 0 || hasLimitedPrefill(state)) prefills.push(...local);
  return { slotTimes, laterSlotTimes: [], prefills, occupancyMs: state.occupancyMs };
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
  /** Arrivals per second that can meet their target. */
  readonly arrivalRate: number;
  /** Slots that are kept free, and requests that are served before. */
  readonly taken: number;
};

/**
 * Predicts when a slot is free that no request which is served first needs for as long as it would
 * be occupied, searching until `limitAt`; Infinity if there is none. Slots are expected to be
 * occupied again as soon as they are free.
 */
export function predictSpareSlot(
  { slotTimes, occupancyMs }: SlotForecast,
  { arrivalRate, taken }: SlotDemand,
  now: number,
  limitAt: number,
): number {
  const count = slotTimes.length;
  const cycleMs = Math.max(1, occupancyMs);
  const getSlotTime = (index: number): number =>
    (slotTimes[index % count] ?? Infinity) + Math.floor(index / count) * cycleMs;
  const needed = taken + 1;
  const countLeft = (free: number, at: number): number =>
    free - (arrivalRate * (at - now)) / MS_PER_S - needed;
  let index = Math.max(0, Math.ceil(needed) - 1);
  while (count > 0) {
    const startAt = getSlotTime(index);
    if (startAt > limitAt) return Infinity;
    let next = index + 1;
    // Just before each slot that becomes free, those before it must have been enough.
    while (getSlotTime(next) <= startAt + cycleMs && countLeft(next, getSlotTime(next)) >= 0) {
      next += 1;
    }
    const isEnough =
      getSlotTime(next) > startAt + cycleMs && countLeft(next, startAt + cycleMs) >= 0;
    if (isEnough && countLeft(index + 1, startAt) >= 0) return startAt;
    index = next;
  }
  return Infinity;
}
