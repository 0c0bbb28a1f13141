/** What the tests of pools are built from. */

import type { UpstreamId, VmId } from '@tarragonspool/protocol';
import {
  handlePoolEvent,
  makePoolState,
  type AskId,
  type PlaceAsk,
  type PoolAction,
  type PoolEngine,
  type PoolEvent,
  type PoolState,
} from './index.js';

/** VM that asks. */
export const VM = 'vm-1' as VmId;
/** Time in which a first event is on time. */
export const AIM_MS = 900;
const PATIENCE_MS = 3_200;

/** Builds a decode engine, or what `changes` make of it. */
export function buildEngine(name: string, changes: Partial<PoolEngine> = {}): PoolEngine {
  return {
    upstreamId: name as UpstreamId,
    stage: 'decode',
    incarnation: 1,
    isLeaving: false,
    slots: 12,
    kvCapacityTokens: 144_611,
    ...changes,
  };
}

/** Builds a pool that knows these engines. */
export function buildPool(engines: readonly PoolEngine[]): PoolState {
  const state = makePoolState(() => 0.5);
  handlePoolEvent(state, { kind: 'engines-listed', engines }, 0);
  return state;
}

let askCount = 0;

/** Builds an ask that arrives now. */
export function buildAsk(now: number, changes: Partial<PlaceAsk> = {}): PlaceAsk {
  askCount += 1;
  return {
    askId: `ask-${askCount}` as AskId,
    vmId: VM,
    promptTokens: 5_000,
    outputTokens: 6_000,
    aimAt: now + AIM_MS,
    pauseMs: 300,
    contentKey: `content-${askCount}`,
    patienceEndsAt: now + PATIENCE_MS,
    needsPrefill: true,
    isContinued: false,
    endsBy: Infinity,
    excluded: [],
    ...changes,
  };
}

/** The only prefill engine. */
export const PREFILL = buildEngine('p', { stage: 'prefill' });
/** One prefill engine before two decode engines. */
export const TWO_DECODE = [PREFILL, buildEngine('d1'), buildEngine('d2')];

/** What became of the arrivals of one run. */
export type Simulation = {
  granted: number;
  late: number;
  refused: number;
  refusedAfterMs: number[];
};

/** Plays arrivals against the pool; each granted prompt is read and each answer ends in its time. */
export function runArrivals(
  state: PoolState,
  arrivals: readonly PlaceAsk[],
  untilMs: number,
): Simulation {
  const result: Simulation = { granted: 0, late: 0, refused: 0, refusedAfterMs: [] };
  const due: { at: number; event: PoolEvent }[] = [];
  const askedAt = new Map(arrivals.map((ask) => [ask.askId, ask.aimAt - AIM_MS]));
  for (const ask of arrivals) due.push({ at: ask.aimAt - AIM_MS, event: { kind: 'asked', ask } });
  for (let at = 0; at < untilMs; at += 25) due.push({ at, event: { kind: 'ticked' } });

  function take(action: PoolAction, now: number): void {
    const { askId, aimAt } = action.ask;
    if (action.kind === 'refuse') {
      result.refused += 1;
      result.refusedAfterMs.push(now - (askedAt.get(askId) ?? now));
      return;
    }
    result.granted += 1;
    const readAt = now + 95;
    if (readAt + 50 > aimAt) result.late += 1;
    const endAt = readAt + 0.58 * action.ask.outputTokens;
    due.push({ at: readAt, event: { kind: 'prefilled', askId } });
    due.push({ at: endAt, event: { kind: 'ended', askId, didFinish: true } });
  }

  while (due.length > 0) {
    due.sort((a, b) => a.at - b.at);
    const next = due.shift();
    if (next === undefined || next.at > untilMs) break;
    for (const action of handlePoolEvent(state, next.event, next.at)) take(action, next.at);
  }
  return result;
}

/** Builds asks that arrive at an even rate. */
export function buildArrivals(fromMs: number, toMs: number, perSecond: number): PlaceAsk[] {
  const asks: PlaceAsk[] = [];
  for (let at = fromMs; at < toMs; at += 1_000 / perSecond) asks.push(buildAsk(at));
  return asks;
}
