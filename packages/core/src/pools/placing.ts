/** Gives places to waiting asks: those that can still be on time first, late ones in what is left. */

import {
  isFreeToRead,
  countRunsTurningLate,
  hasPrefillRoom,
  hasPlace,
  isUsable,
  recordLateRuns,
  predictPrefillEnd,
  startPrefill,
  type EngineLoad,
} from './engine-load.js';
import {
  countPlaces,
  LEAST_PREFILLS,
  measureFreshRate,
  measurePrefillMsPerToken,
  measureServiceRate,
  predictFirstEventMs,
  predictHoldMs,
  predictSelfReadMs,
  type PoolState,
  type WaitingAsk,
} from './pool-state.js';
import type { PlaceAsk, PlaceRun, PoolAction } from './pool-types.js';

/** Places kept free for arrivals that can be on time, as a share of all places. */
const RESERVED_SHARE = 0.08;
/** Load above which late asks wait: more arrivals are expected than places come free. */
const BUSY_LOAD = 0.95;

/** Engines whose speed is not known yet go first, by this much. */
const UNMEASURED_BONUS_MS = 30;

/** A decode engine reads no prompt that would turn more of its answers late than this. */
const SPARE_RUNS = 1;
/** The same where no engine has read prompts for long: long prompts would never be read else. */
const SPARE_RUNS_LONG = 3;
/** A crashed prefill engine is back sooner, and another one has changed its stage by then. */
const NO_PREFILL_MS = 15_000;

/** Whether the first event can still come within the target. */
export function isInTime(state: PoolState, ask: PlaceAsk, now: number): boolean {
  return now + predictFirstEventMs(state, ask) <= ask.aimAt;
}

/** Whether an ask gets its place before those that are late already. */
export function isServedFirst(state: PoolState, ask: PlaceAsk, now: number): boolean {
  return ask.isContinued || isInTime(state, ask, now);
}

function makeRun(state: PoolState, ask: PlaceAsk, load: EngineLoad, now: number): PlaceRun {
  const expectedEndAt = now + predictFirstEventMs(state, ask) + predictHoldMs(state, ask, load);
  const decode = load.engine.upstreamId;
  const isLate = !isInTime(state, ask, now);
  return { ask, decode, prefill: undefined, grantedAt: now, isLate, expectedEndAt };
}

/** Finds the decode engine with the least load that has a place. */
function findDecode(state: PoolState, ask: PlaceAsk, now: number): PlaceRun | undefined {
  let best: PlaceRun | undefined;
  let bestCost = Infinity;
  for (const load of state.engines.values()) {
    if (load.engine.stage !== 'decode' || !isUsable(load, ask, now)) continue;
    const run = makeRun(state, ask, load, now);
    if (!hasPlace(load, run, now)) continue;
    const cost = (load.runs.size / load.engine.slots) * load.slowness;
    if (cost >= bestCost) continue;
    best = run;
    bestCost = cost;
  }
  return best;
}

/** Finds the prefill engine that would have read the prompt first; `none` where no such engine is usable. */
function findPrefill(state: PoolState, ask: PlaceAsk, now: number): EngineLoad | 'none' | 'busy' {
  let best: EngineLoad | 'none' | 'busy' = 'none';
  let bestEndAt = Infinity;
  const poolMs = measurePrefillMsPerToken(state);
  for (const load of state.engines.values()) {
    if (load.engine.stage !== 'prefill' || !isUsable(load, ask, now)) continue;
    if (!hasPrefillRoom(load, now)) {
      if (best === 'none') best = 'busy';
      continue;
    }
    const bonusMs = load.prefillCount < LEAST_PREFILLS ? UNMEASURED_BONUS_MS : 0;
    const endAt = predictPrefillEnd(load, ask.promptTokens, poolMs, now) - bonusMs;
    if (endAt >= bestEndAt) continue;
    best = load;
    bestEndAt = endAt;
  }
  return best;
}

function hasLongNoPrefill(state: PoolState, now: number): boolean {
  return now - state.prefillSeenAt > NO_PREFILL_MS;
}

/**
 * Finds a decode engine that can read the prompt itself: its answers pause meanwhile, so it reads
 * one prompt at a time, rests in between, and the pause must leave them on time. Where no engine
 * has read prompts for long, it reads long prompts too.
 */
function findSelfReader(
  state: PoolState,
  ask: PlaceAsk,
  readMs: number,
  now: number,
): PlaceRun | undefined {
  let best: PlaceRun | undefined;
  const mostHarm = hasLongNoPrefill(state, now) ? SPARE_RUNS_LONG : SPARE_RUNS;
  let leastHarm = mostHarm + 1;
  for (const load of state.engines.values()) {
    if (load.engine.stage !== 'decode' || !isUsable(load, ask, now)) continue;
    const run = makeRun(state, ask, load, now);
    if (!isFreeToRead(load, now) || !hasPlace(load, run, now)) continue;
    const harm = countRunsTurningLate(load, readMs) + load.runs.size / (2 * load.engine.slots);
    if (harm >= leastHarm) continue;
    best = run;
    leastHarm = harm;
  }
  return best;
}

function startSelfRead(state: PoolState, run: PlaceRun, now: number): void {
  const load = state.engines.get(run.decode);
  if (load === undefined) return;
  recordLateRuns(load, predictSelfReadMs(state, run.ask));
  startPrefill(load, run, state.selfReadMsPerToken, now);
}

/** Chooses the engines of a run; undefined if no place and reader are free together. */
function chooseEngines(state: PoolState, ask: PlaceAsk, now: number): PlaceRun | undefined {
  if (!ask.needsPrefill) return findDecode(state, ask, now);
  const prefill = findPrefill(state, ask, now);
  if (prefill !== 'none') state.prefillSeenAt = now;
  if (typeof prefill !== 'object') {
    // Where prefill engines are only busy, no answer may pause at all.
    const readMs = prefill === 'busy' ? Infinity : predictSelfReadMs(state, ask);
    const run = findSelfReader(state, ask, readMs, now);
    if (run === undefined) return undefined;
    run.prefill = run.decode;
    startSelfRead(state, run, now);
    return run;
  }
  const run = findDecode(state, ask, now);
  if (run === undefined) return undefined;
  run.prefill = prefill.engine.upstreamId;
  startPrefill(prefill, run, measurePrefillMsPerToken(state), now);
  return run;
}

/** Grants a place if a decode place and an engine that reads the prompt are free together. */
function grantPlace(state: PoolState, ask: PlaceAsk, now: number): PoolAction | undefined {
  const run = chooseEngines(state, ask, now);
  if (run === undefined) return undefined;
  state.runs.set(ask.askId, run);
  state.engines.get(run.decode)?.runs.set(ask.askId, run);
  const prefill = run.prefill === run.decode ? undefined : run.prefill;
  return { kind: 'grant', ask, prefill, decode: run.decode };
}

/** Places of decode engines that take new work. */
export function countFreePlaces(state: PoolState, now: number): number {
  let free = 0;
  for (const load of state.engines.values()) {
    const isOpen = load.engine.stage === 'decode' && !load.engine.isLeaving;
    if (isOpen && load.avoidUntil <= now) free += Math.max(0, load.engine.slots - load.runs.size);
  }
  return free;
}

/** Whether late asks may take places now. */
function hasPlacesLeftOver(state: PoolState, now: number): boolean {
  const reserved = Math.ceil(RESERVED_SHARE * countPlaces(state));
  if (countFreePlaces(state, now) <= reserved) return false;
  return measureFreshRate(state, now) <= BUSY_LOAD * measureServiceRate(state, now);
}

function listWaiting(state: PoolState, isWanted: (ask: PlaceAsk) => boolean): WaitingAsk[] {
  const list: WaitingAsk[] = [];
  for (const waiting of state.waiting.values()) {
    if (isWanted(waiting.ask)) list.push(waiting);
  }
  return list;
}

/** Places as many waiting asks as the engines can take. */
export function grantWaiting(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  const place = ({ ask }: WaitingAsk): boolean => {
    const action = grantPlace(state, ask, now);
    if (action === undefined) return false;
    state.waiting.delete(ask.askId);
    actions.push(action);
    return true;
  };
  const isFirst = (ask: PlaceAsk): boolean => isServedFirst(state, ask, now);
  const onTime = listWaiting(state, isFirst);
  onTime.sort((a, b) => a.ask.aimAt - b.ask.aimAt);
  let isBlocked = false;
  for (const waiting of onTime) {
    // A later ask may be smaller, or not exclude the engine that is free.
    if (!place(waiting)) isBlocked = true;
  }
  if (isBlocked) return actions;
  const late = listWaiting(state, (ask) => !isFirst(ask));
  late.sort((a, b) => a.ask.patienceEndsAt - b.ask.patienceEndsAt);
  for (const waiting of late) {
    if (!hasPlacesLeftOver(state, now)) break;
    place(waiting);
  }
  return actions;
}
