/** Cost of placement decisions of one allocator, driven by events with made-up times. */

import {
  handleAllocatorEvent,
  makeAllocatorState,
  type AllocatorEvent,
  type AllocatorState,
  type ListedEngine,
} from '@tarragonspool/core';
import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  CallerId,
  ModelName,
  PrefixHash,
  RequestId,
  ReservationRequest,
  ReservationGrant,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import { makeRandom } from '../load/random.js';

/** Decision times of one run, in microseconds. */
export type DecisionTimes = { readonly asks: number[]; readonly others: number[] };

type Running = { readonly ask: ReservationRequest; readonly grant: ReservationGrant };

type Due = { readonly at: number; readonly run: () => void };

const START = 1_000_000;
const TICK_MS = 25;
const PREFILL_MS = 85;
const HOLD_MS = 1_600;
const PROMPT_TOKENS = 3_100;
const OWN_BLOCKS = 8;
const CALLERS = 8;
const US_PER_MS = 1_000;

function listEngines(count: number): ListedEngine[] {
  return Array.from({ length: count }, (_, index) => ({
    upstreamId: `e${index}` as UpstreamId,
    role: index % 2 === 0 ? 'prefill' : 'decode',
    models: ['m' as ModelName],
    isLeaving: false,
  }));
}

function makeAsk(number: number, random: ReturnType<typeof makeRandom>, now: number) {
  const own = Array.from({ length: OWN_BLOCKS }, (_, block) => `own-${number}-${block}`);
  const maxTokens = random.takeInt(28, 48);
  return {
    requestId: `r${number}` as RequestId,
    attemptId: `r${number}.1` as AttemptId,
    vmId: `vm-${number % 9}` as VmId,
    incarnation: 1,
    callerId: `caller-${random.takeInt(0, CALLERS - 1)}` as CallerId,
    service: 's',
    target: { model: 'm' as ModelName },
    dataCentre: 'dc',
    promptTokens: PROMPT_TOKENS + random.takeInt(-500, 500),
    maxTokens,
    prefixes: ['greeting-0', 'greeting-1', 'greeting-2', ...own] as PrefixHash[],
    priority: random.takeInt(3, 7),
    firstTokenDeadline: now + 1_100,
    answerDeadline: now + 1_100 + 79 * maxTokens,
    fingerprint: '',
    excluded: [],
  } as unknown as ReservationRequest;
}

/** Runs `asks` requests at a share of the capacity and measures every event's cost. */
export function measurePlacements(engines: number, load: number, asks: number): DecisionTimes {
  const state: AllocatorState = makeAllocatorState({
    vmId: 'vm-0' as VmId,
    policy: 'ours',
    objective: 'crest',
    seed: 1,
  });
  const random = makeRandom(1);
  const times: DecisionTimes = { asks: [], others: [] };
  const due: Due[] = [];
  const running = new Map<AttemptId, Running>();
  let now = START;

  function schedule(at: number, run: () => void): void {
    let place = due.length;
    while (place > 0 && (due[place - 1]?.at ?? 0) > at) place -= 1;
    due.splice(place, 0, { at, run });
  }

  const granted: Running[] = [];

  function handle(event: AllocatorEvent, into: number[]): void {
    const startedAt = performance.now();
    const actions = handleAllocatorEvent(state, event);
    into.push((performance.now() - startedAt) * US_PER_MS);
    for (const action of actions) if (action.kind === 'grant') granted.push(action);
  }

  function finish(ask: ReservationRequest, grant: ReservationGrant): void {
    running.delete(ask.attemptId);
    const { reservationId, attemptId } = grant;
    const end: AttemptEnd = {
      reservationId,
      attemptId,
      outcome: 'answered',
      tokens: ask.maxTokens,
      prefillMs: PREFILL_MS,
      cachedTokens: 768,
      importMs: 50,
      decodeMs: HOLD_MS - PREFILL_MS,
    };
    handle({ kind: 'attempt-ended', items: [end], now }, times.others);
  }

  function tick(): void {
    const items: AttemptProgress[] = [];
    for (const { ask, grant } of running.values()) {
      const ageMs = now - grant.prefillAt;
      const stage = ageMs < PREFILL_MS ? 'prefill' : 'decode';
      const { reservationId, attemptId, prefill, decode } = grant;
      const upstreamId = stage === 'prefill' ? prefill : decode;
      const tokens = Math.max(0, Math.min(ask.maxTokens, Math.floor((ageMs - PREFILL_MS) / 40)));
      items.push({ reservationId, attemptId, upstreamId, stage, tokens, movedAt: now });
    }
    handle({ kind: 'progressed', items, now }, []);
    handle({ kind: 'ticked', now }, times.others);
    schedule(now + TICK_MS, tick);
  }

  function followGrants(): void {
    for (const { ask, grant } of granted.splice(0)) {
      running.set(ask.attemptId, { ask, grant });
      schedule(now + HOLD_MS, () => finish(ask, grant));
    }
  }

  handle({ kind: 'engines-listed', engines: listEngines(engines), now: now - 10_000 }, []);
  schedule(now, tick);
  const perMs = (load * (engines / 2)) / PREFILL_MS;
  for (let number = 0; number < asks; number += 1) {
    const at = now - Math.log(1 - random.takeFloat()) / perMs;
    for (let [next] = due; next !== undefined && next.at <= at; [next] = due) {
      due.shift();
      now = next.at;
      next.run();
      followGrants();
    }
    now = at;
    handle({ kind: 'asked', ask: makeAsk(number, random, now), now }, times.asks);
    followGrants();
  }
  return times;
}
