/**
 * Grants slots to waiting requests: first to those that can still meet their latency target, then
 * spare slots to the others.
 */

import type { UpstreamId } from '@tarragonspool/protocol';
import { findPermitTime, takePermit } from '../routing/request-permits.js';
import {
  addRun,
  countUsableSlots,
  isReadyForLocalPrefill,
  countTargetMisses,
  hasPrefillRoom,
  isServing,
  isUsable,
  recordTargetMisses,
  predictPrefillEnd,
  startPrefill,
  type EngineLoad,
} from './engine-load.js';
import { hasFreeSlot } from './engine-memory.js';
import { predictLocalPrefillMs } from './local-prefill-speed.js';
import { countOnTimeGrant } from './rank-rates.js';
import {
  FIRST_EVENT_MS,
  estimateAnswerTokens,
  MIN_PREFILL_SAMPLES,
  measurePrefillMsPerToken,
  measurePoolMemory,
  predictFirstEventMs,
  predictOccupancyMs,
  type PoolState,
  type WaitingSlotRequest,
} from './pool-state.js';
import {
  canMeetTarget,
  compareServiceOrder,
  compareSpareOrder,
  isServedFirst,
} from './service-order.js';
import { isOrdinary } from './slot-forecast.js';
import { isSpareNow } from './spare-slots.js';
import { hasSeveralTenants, recordTenantGrant } from './tenant-shares.js';
import type { SlotRequest, SlotAssignment, PoolAction } from './pool-types.js';

/** Load shares by which a nearer decode engine may be fuller and is still chosen. */
const TRANSFER_DISTANCE_COST = 0.1;
const CALLER_DISTANCE_COST = 0.05;
/** Advantage of a prefill engine in the data centre of the caller's VM. */
const NEAR_PREFILL_BONUS_MS = 5;

/** Advantage of an engine whose prefill speed is not measured yet, so that it gets samples soon. */
const UNMEASURED_BONUS_MS = 30;

/** Most answers of a decode engine that one local prefill may make miss their latency target. */
const MAX_DELAYED_ANSWERS = 1;
/**
 * The same limit in a long prefill outage, when long prompts would otherwise never be prefilled.
 */
const MAX_DELAYED_ANSWERS_IN_LONG_OUTAGE = 3;
/**
 * Time without a usable prefill engine after which an outage is long: by then a crashed engine is
 * usually back, or another engine has changed its stage.
 */
const LONG_PREFILL_OUTAGE_MS = 15_000;

/** Whether the limit that an engine may have named allows one more request now. */
function hasPermit(
  { permits, keepsPermits }: PoolState,
  { engine }: EngineLoad,
  now: number,
): boolean {
  if (engine.requestsPerSecond === undefined) return true;
  return keepsPermits && findPermitTime(permits, engine, now) <= now;
}

/** Whether an engine may get a request now, whatever its free capacity. */
function isOpen(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
): boolean {
  return isUsable(load, slotRequest, now) && hasPermit(state, load, now);
}

/** Takes the permit of a granted engine; returns the engine if it limits its requests. */
function takeEnginePermit(
  state: PoolState,
  upstreamId: UpstreamId | undefined,
  now: number,
): UpstreamId[] {
  const engine = upstreamId === undefined ? undefined : state.engines.get(upstreamId)?.engine;
  if (engine?.requestsPerSecond === undefined) return [];
  const { incarnation, requestsPerSecond } = engine;
  const server = { upstreamId: engine.upstreamId, incarnation, requestsPerSecond };
  return takePermit(state.permits, server, now, now) === undefined ? [] : [server.upstreamId];
}

/** Whether an engine may decode a request: one that began elsewhere goes on at its version only. */
function canDecode(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
): boolean {
  const { stage, softwareVersion } = load.engine;
  if (stage !== 'decode' || !isOpen(state, load, slotRequest, now)) return false;
  return (slotRequest.softwareVersion ?? softwareVersion) === softwareVersion;
}

function makeAssignment(
  state: PoolState,
  slotRequest: SlotRequest,
  load: EngineLoad,
  now: number,
): SlotAssignment {
  const expectedEndAt =
    now + predictFirstEventMs(state, slotRequest) + predictOccupancyMs(state, slotRequest, load);
  const decode = load.engine.upstreamId;
  const willMissTarget = !canMeetTarget(state, slotRequest, now);
  return {
    ask: slotRequest,
    decode,
    prefill: undefined,
    grantedAt: now,
    isLate: willMissTarget,
    expectedEndAt,
  };
}

/**
 * Computes the extra cost of a decode engine in another data centre than the prefill engine, to which
 * the KV cache is transferred, or than the caller's VM.
 */
function computeDistanceCost(
  { engine }: EngineLoad,
  slotRequest: SlotRequest,
  prefill: EngineLoad | undefined,
): number {
  const isTransferLong = prefill !== undefined && prefill.engine.dataCentre !== engine.dataCentre;
  const isCallerFar = slotRequest.dataCentre !== engine.dataCentre;
  return (isTransferLong ? TRANSFER_DISTANCE_COST : 0) + (isCallerFar ? CALLER_DISTANCE_COST : 0);
}

/** Finds a slot on the decode engine with the lowest load; undefined if none is free. */
function findDecodeSlot(
  state: PoolState,
  slotRequest: SlotRequest,
  prefill: EngineLoad | undefined,
  now: number,
): SlotAssignment | undefined {
  const meanTokens = estimateAnswerTokens(state);
  const memory = measurePoolMemory(state, now);
  let best: SlotAssignment | undefined;
  let bestCost = Infinity;
  for (const load of state.engines.values()) {
    if (!canDecode(state, load, slotRequest, now)) continue;
    const assignment = makeAssignment(state, slotRequest, load, now);
    if (!hasFreeSlot(load, assignment, memory)) continue;
    const usage = load.runs.size / countUsableSlots(load, meanTokens);
    const cost = usage * load.slowness + computeDistanceCost(load, slotRequest, prefill);
    if (cost >= bestCost) continue;
    best = assignment;
    bestCost = cost;
  }
  return best;
}

/**
 * Finds the prefill engine that would complete the prompt first; `none` if no engine is usable,
 * `busy` if none has room.
 */
function findPrefillEngine(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): EngineLoad | 'none' | 'busy' {
  let best: EngineLoad | 'none' | 'busy' = 'none';
  let bestEndAt = Infinity;
  const poolPrefillMsPerToken = measurePrefillMsPerToken(state);
  for (const load of state.engines.values()) {
    if (load.engine.stage !== 'prefill' || !isOpen(state, load, slotRequest, now)) continue;
    if (!hasPrefillRoom(load, now)) {
      if (best === 'none') best = 'busy';
      continue;
    }
    const sampleBonusMs = load.prefillCount < MIN_PREFILL_SAMPLES ? UNMEASURED_BONUS_MS : 0;
    const isNear = load.engine.dataCentre === slotRequest.dataCentre;
    const bonusMs = sampleBonusMs + (isNear ? NEAR_PREFILL_BONUS_MS : 0);
    const endAt =
      predictPrefillEnd(load, slotRequest.promptTokens, poolPrefillMsPerToken, now) - bonusMs;
    if (endAt >= bestEndAt) continue;
    best = load;
    bestEndAt = endAt;
  }
  return best;
}

/**
 * Whether a request that can meet its target would miss it at this prefill engine, and may meet it
 * at another one that has no room yet.
 */
function isTooSlowFor(
  state: PoolState,
  load: EngineLoad,
  slotRequest: SlotRequest,
  now: number,
): boolean {
  if (!canMeetTarget(state, slotRequest, now)) return false;
  const msPerToken = measurePrefillMsPerToken(state);
  const prefilledAt = predictPrefillEnd(load, slotRequest.promptTokens, msPerToken, now);
  if (prefilledAt + FIRST_EVENT_MS <= slotRequest.aimAt) return false;
  for (const other of state.engines.values()) {
    if (other === load || other.engine.stage !== 'prefill') continue;
    if (isOpen(state, other, slotRequest, now) && !hasPrefillRoom(other, now)) return true;
  }
  return false;
}

function isPrefillOutageLong(state: PoolState, now: number): boolean {
  return now - state.prefillUsableAt > LONG_PREFILL_OUTAGE_MS;
}

/**
 * Finds a slot on a decode engine that can prefill the prompt locally. Its answers pause meanwhile,
 * so it prefills one prompt at a time with a cooldown in between, and only a few answers may miss
 * their latency target. In a long prefill outage the limit is higher, to admit long prompts too.
 */
function findLocalPrefillSlot(
  state: PoolState,
  slotRequest: SlotRequest,
  prefillMs: number,
  now: number,
): SlotAssignment | undefined {
  const memory = measurePoolMemory(state, now);
  let best: SlotAssignment | undefined;
  const maxDelayed = isPrefillOutageLong(state, now)
    ? MAX_DELAYED_ANSWERS_IN_LONG_OUTAGE
    : MAX_DELAYED_ANSWERS;
  let leastCost = maxDelayed + 1;
  for (const load of state.engines.values()) {
    if (!canDecode(state, load, slotRequest, now)) continue;
    const assignment = makeAssignment(state, slotRequest, load, now);
    if (!isReadyForLocalPrefill(load, now) || !hasFreeSlot(load, assignment, memory)) continue;
    const cost = countTargetMisses(load, prefillMs) + load.runs.size / (2 * load.engine.slots);
    if (cost >= leastCost) continue;
    best = assignment;
    leastCost = cost;
  }
  return best;
}

function startLocalPrefill(state: PoolState, assignment: SlotAssignment, now: number): void {
  const load = state.engines.get(assignment.decode);
  if (load === undefined) return;
  recordTargetMisses(load, predictLocalPrefillMs(state, assignment.ask));
  startPrefill(load, assignment, state.localPrefillMsPerToken, now);
}

/**
 * Chooses the engines of a request; undefined unless a slot and a prefill engine are free together.
 */
function chooseEngines(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): SlotAssignment | undefined {
  if (!slotRequest.needsPrefill) return findDecodeSlot(state, slotRequest, undefined, now);
  const prefill = findPrefillEngine(state, slotRequest, now);
  if (prefill !== 'none') state.prefillUsableAt = now;
  if (typeof prefill !== 'object') {
    // While prefill engines are only busy, Infinity makes a local prefill count as a missed target
    // for every answer that is still on time, so only engines with few such answers are chosen.
    const prefillMs = prefill === 'busy' ? Infinity : predictLocalPrefillMs(state, slotRequest);
    const assignment = findLocalPrefillSlot(state, slotRequest, prefillMs, now);
    if (assignment === undefined) return undefined;
    assignment.prefill = assignment.decode;
    startLocalPrefill(state, assignment, now);
    return assignment;
  }
  if (isTooSlowFor(state, prefill, slotRequest, now)) return undefined;
  const assignment = findDecodeSlot(state, slotRequest, prefill, now);
  if (assignment === undefined) return undefined;
  assignment.prefill = prefill.engine.upstreamId;
  startPrefill(prefill, assignment, measurePrefillMsPerToken(state), now);
  return assignment;
}

/** Grants a slot if a decode engine and an engine for the prefill are free together. */
function grantSlot(
  state: PoolState,
  slotRequest: SlotRequest,
  now: number,
): PoolAction | undefined {
  const assignment = chooseEngines(state, slotRequest, now);
  if (assignment === undefined) return undefined;
  state.forecast = undefined;
  state.runs.set(slotRequest.askId, assignment);
  const decodeLoad = state.engines.get(assignment.decode);
  if (decodeLoad !== undefined) addRun(decodeLoad, assignment);
  if (!assignment.isLate) countOnTimeGrant(state.ranks, slotRequest.rank, now);
  recordTenantGrant(state.tenants, assignment, now);
  const { decode } = assignment;
  const prefill = assignment.prefill === decode ? undefined : assignment.prefill;
  const permits = [
    ...takeEnginePermit(state, prefill, now),
    ...takeEnginePermit(state, decode, now),
  ];
  return { kind: 'grant', ask: slotRequest, prefill, decode, permits };
}

/** Counts the free slots of decode engines that accept new work, as far as their memory allows. */
export function countFreeSlots(state: PoolState, now: number): number {
  const meanTokens = estimateAnswerTokens(state);
  let free = 0;
  for (const load of state.engines.values()) {
    if (!isServing(load, 'decode', now) || load.avoidUntil > now) continue;
    if (!hasPermit(state, load, now)) continue;
    free += Math.max(0, countUsableSlots(load, meanTokens) - load.runs.size);
  }
  return free;
}

function listWaiting(
  state: PoolState,
  isWanted: (slotRequest: SlotRequest) => boolean,
): WaitingSlotRequest[] {
  const list: WaitingSlotRequest[] = [];
  for (const waiting of state.waiting.values()) {
    if (isWanted(waiting.ask)) list.push(waiting);
  }
  return list;
}

/**
 * Whether a request that got no slot may use one of those that are free, and waits until an engine can
 * prefill its prompt or has enough memory. One that excludes engines or needs a software version may
 * not be allowed on any engine with a free slot.
 */
function isWaitingForFreeSlot(state: PoolState, slotRequest: SlotRequest, now: number): boolean {
  if (isOrdinary(slotRequest)) return true;
  const meanTokens = estimateAnswerTokens(state);
  for (const load of state.engines.values()) {
    if (!canDecode(state, load, slotRequest, now)) continue;
    if (load.runs.size < countUsableSlots(load, meanTokens)) return true;
  }
  return false;
}

/** Grants slots to as many waiting requests as the engines can take. */
export function grantWaiting(state: PoolState, now: number): PoolAction[] {
  const actions: PoolAction[] = [];
  const grant = ({ ask: slotRequest }: WaitingSlotRequest): boolean => {
    const action = grantSlot(state, slotRequest, now);
    if (action === undefined) return false;
    state.waiting.delete(slotRequest.askId);
    actions.push(action);
    return true;
  };
  const isFirst = (slotRequest: SlotRequest): boolean => isServedFirst(state, slotRequest, now);
  const servedFirst = listWaiting(state, isFirst);
  const sort = (): unknown =>
    servedFirst.sort((a, b) => compareServiceOrder(state, b.ask, a.ask, now));
  sort();
  let isBlocked = false;
  for (let waiting = servedFirst.pop(); waiting !== undefined; waiting = servedFirst.pop()) {
    // Continues after a failed grant: a later request may be smaller, or not exclude the free
    // engine.
    if (!grant(waiting)) isBlocked ||= isWaitingForFreeSlot(state, waiting.ask, now);
    else if (hasSeveralTenants(state.tenants)) sort();
  }
  if (isBlocked) return actions;
  const others = listWaiting(state, (slotRequest) => !isFirst(slotRequest));
  others.sort((a, b) => compareSpareOrder(state, a.ask, b.ask, now));
  let isSpareKnown = false;
  for (const waiting of others) {
    if (!isSpareKnown && !isSpareNow(state, waiting.ask, now)) {
      break;
    }
    // A failed grant leaves the forecast as it is.
    isSpareKnown = !grant(waiting);
  }
  return actions;
}
