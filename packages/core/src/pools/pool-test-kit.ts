/** Builders and a simulation for the tests of pools. */

import type { DataCentre, SoftwareVersion, UpstreamId, VmId } from '@tarragonspool/protocol';
import {
  handlePoolEvent,
  makePoolState,
  type SlotRequestId,
  type SlotRequest,
  type PoolAction,
  type PoolEngine,
  type PoolEvent,
  type PoolState,
} from './index.js';

/** VM that sends the slot requests. */
export const VM = 'vm-1' as VmId;
/** Data centre of that VM and of the engines. */
export const DATA_CENTRE = 'dc-1' as DataCentre;
/** Latency target for the first event, in milliseconds after arrival. */
export const TARGET_MS = 900;
const CALLER_TIMEOUT_MS = 3_200;

/** Builds an engine: a decode engine unless `changes` say otherwise. */
export function buildEngine(name: string, changes: Partial<PoolEngine> = {}): PoolEngine {
  return {
    upstreamId: name as UpstreamId,
    dataCentre: DATA_CENTRE,
    stage: 'decode',
    incarnation: 1,
    isLeaving: false,
    slots: 12,
    requestsPerSecond: undefined,
    softwareVersion: 'v1' as SoftwareVersion,
    kvCapacityTokens: 144_611,
    ...changes,
  };
}

/** Builds a pool with these engines. */
export function buildPool(engines: readonly PoolEngine[]): PoolState {
  const state = makePoolState(() => 0.5);
  handlePoolEvent(state, { kind: 'engines-listed', engines }, 0);
  return state;
}

let slotRequestCount = 0;

/** Builds a slot request that arrives now. */
export function buildSlotRequest(now: number, changes: Partial<SlotRequest> = {}): SlotRequest {
  slotRequestCount += 1;
  return {
    askId: `ask-${slotRequestCount}` as SlotRequestId,
    vmId: VM,
    dataCentre: DATA_CENTRE,
    rank: 0,
    promptTokens: 5_000,
    outputTokens: 6_000,
    aimAt: now + TARGET_MS,
    pauseMs: 300,
    contentKey: `content-${slotRequestCount}`,
    patienceEndsAt: now + CALLER_TIMEOUT_MS,
    needsPrefill: true,
    isContinued: false,
    endsBy: Infinity,
    excluded: [],
    softwareVersion: undefined,
    ...changes,
  };
}

/** The only prefill engine. */
export const PREFILL = buildEngine('p', { stage: 'prefill' });
/** One prefill engine and two decode engines. */
export const TWO_DECODE = [PREFILL, buildEngine('d1'), buildEngine('d2')];

/** Outcomes of the arrivals in one simulation. */
export type Simulation = {
  granted: number;
  missedTarget: number;
  refused: number;
  refusedAfterMs: number[];
};

/**
 * Simulates arrivals at a pool whose engines prefill every granted prompt in the same time and
 * complete every answer at the same speed; `onAction` receives each grant and refusal.
 */
export function runArrivals(
  state: PoolState,
  arrivals: readonly SlotRequest[],
  untilMs: number,
  onAction: (action: PoolAction) => void = () => undefined,
): Simulation {
  const result: Simulation = { granted: 0, missedTarget: 0, refused: 0, refusedAfterMs: [] };
  const due: { at: number; event: PoolEvent }[] = [];
  const askedAt = new Map(
    arrivals.map((slotRequest) => [slotRequest.askId, slotRequest.aimAt - TARGET_MS]),
  );
  for (const a of arrivals) due.push({ at: a.aimAt - TARGET_MS, event: { kind: 'asked', ask: a } });
  for (let at = 0; at < untilMs; at += 25) due.push({ at, event: { kind: 'ticked' } });

  function handleAction(action: PoolAction, now: number): void {
    const { askId: slotRequestId, aimAt } = action.ask;
    onAction(action);
    if (action.kind === 'refuse') {
      result.refused += 1;
      result.refusedAfterMs.push(now - (askedAt.get(slotRequestId) ?? now));
      return;
    }
    result.granted += 1;
    const prefilledAt = now + 95;
    if (prefilledAt + 50 > aimAt) result.missedTarget += 1;
    const endAt = prefilledAt + 0.58 * action.ask.outputTokens;
    due.push({ at: prefilledAt, event: { kind: 'prefilled', askId: slotRequestId } });
    due.push({
      at: endAt,
      event: { kind: 'ended', askId: slotRequestId, didFinish: true },
    });
  }

  while (due.length > 0) {
    due.sort((a, b) => a.at - b.at);
    const next = due.shift();
    if (next === undefined || next.at > untilMs) break;
    for (const action of handlePoolEvent(state, next.event, next.at)) handleAction(action, next.at);
  }
  return result;
}

/** Builds slot requests that arrive at a steady rate. */
export function buildArrivals(fromMs: number, toMs: number, perSecond: number): SlotRequest[] {
  const slotRequests: SlotRequest[] = [];
  for (let at = fromMs; at < toMs; at += 1_000 / perSecond) slotRequests.push(buildSlotRequest(at));
  return slotRequests;
}
