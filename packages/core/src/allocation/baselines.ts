/**
 * Baseline policies: round robin, least outstanding, and the better of two random engines. Each
 * decides at once on one VM, from its own outstanding work and late load reports.
 */

import type {
  AttemptEnd,
  EngineRole,
  LoadReport,
  ReservationAsk,
  ReservationGrant,
  ReservationId,
  UpstreamId,
} from '@tarragonspool/protocol';
import type {
  AllocatorAction,
  AllocatorEvent,
  AllocatorOptions,
  BaselinePolicy,
  ListedEngine,
} from './allocator-events.js';
import { makeRandom, takeIndex, type Random } from './random.js';

type BaselineEngine = ListedEngine & {
  outstanding: number;
  report: LoadReport | undefined;
  /** When each request that is still outstanding was sent here. */
  readonly sentAt: Map<ReservationId, number>;
};

/** State of a baseline allocator. */
export type BaselineState = {
  readonly kind: 'baseline';
  readonly options: AllocatorOptions;
  readonly policy: BaselinePolicy;
  readonly engines: Map<UpstreamId, BaselineEngine>;
  readonly reservations: Map<ReservationId, ReservationGrant>;
  readonly random: Random;
  readonly turns: Record<EngineRole, number>;
  nextReservation: number;
};

const GRANT_START_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
const TOKENS_PER_QUEUED_PREFILL = 4_000;

/** Makes the state of a baseline allocator. */
export function makeBaselineState(
  options: AllocatorOptions,
  policy: BaselinePolicy,
): BaselineState {
  return {
    kind: 'baseline',
    options,
    policy,
    engines: new Map(),
    reservations: new Map(),
    random: makeRandom(options.seed),
    turns: { prefill: 0, decode: 0 },
    nextReservation: 1,
  };
}

function updateEngines(state: BaselineState, listed: readonly ListedEngine[]): void {
  const known = new Map(state.engines);
  state.engines.clear();
  for (const engine of listed) {
    const before = known.get(engine.upstreamId);
    state.engines.set(engine.upstreamId, {
      ...engine,
      outstanding: before?.outstanding ?? 0,
      report: before?.report,
      sentAt: before?.sentAt ?? new Map<ReservationId, number>(),
    });
  }
}

function isUsable(engine: BaselineEngine, role: EngineRole, ask: ReservationAsk): boolean {
  if (engine.role !== role || engine.isLeaving) return false;
  if (!engine.models.includes(ask.target.model)) return false;
  return !ask.excluded.includes(engine.upstreamId);
}

function listUsable(state: BaselineState, role: EngineRole, ask: ReservationAsk): BaselineEngine[] {
  const usable: BaselineEngine[] = [];
  for (const engine of state.engines.values()) {
    if (isUsable(engine, role, ask)) usable.push(engine);
  }
  return usable;
}

function measureReported(engine: BaselineEngine): number {
  const { report } = engine;
  if (report === undefined) return 0;
  if (engine.role === 'decode') return report.decodeStreams;
  return report.queuedPrefillTokens / TOKENS_PER_QUEUED_PREFILL;
}

/** Late reported load and what this VM has sent since, or all it has sent if that is more. */
function measureLoad(engine: BaselineEngine): number {
  const measuredAt = engine.report?.measuredAt ?? 0;
  let sentSince = 0;
  for (const at of engine.sentAt.values()) {
    if (at > measuredAt) sentSince += 1;
  }
  return Math.max(engine.outstanding, measureReported(engine) + sentSince);
}

function chooseLeastOutstanding(engines: readonly BaselineEngine[]): BaselineEngine | undefined {
  let best: BaselineEngine | undefined;
  for (const engine of engines) {
    if (best === undefined || engine.outstanding < best.outstanding) best = engine;
  }
  return best;
}

function chooseOfTwo(
  random: Random,
  engines: readonly BaselineEngine[],
): BaselineEngine | undefined {
  if (engines.length < 2) return engines[0];
  const first = takeIndex(random, engines.length);
  const step = 1 + takeIndex(random, engines.length - 1);
  const one = engines[first];
  const other = engines[(first + step) % engines.length];
  if (one === undefined || other === undefined) return one;
  return measureLoad(other) < measureLoad(one) ? other : one;
}

function chooseEngine(
  state: BaselineState,
  role: EngineRole,
  ask: ReservationAsk,
): BaselineEngine | undefined {
  const usable = listUsable(state, role, ask);
  if (state.policy === 'least-outstanding') return chooseLeastOutstanding(usable);
  if (state.policy === 'two-choices') return chooseOfTwo(state.random, usable);
  const turn = state.turns[role];
  state.turns[role] += 1;
  return usable[turn % Math.max(1, usable.length)];
}

function choosePrefillEngine(
  state: BaselineState,
  ask: ReservationAsk,
): BaselineEngine | undefined {
  if (ask.resumeFrom === undefined) return chooseEngine(state, 'prefill', ask);
  return state.engines.get(ask.resumeFrom);
}

function sendTo(engine: BaselineEngine, grant: ReservationGrant, now: number): void {
  if (engine.sentAt.has(grant.reservationId)) return;
  engine.outstanding += 1;
  engine.sentAt.set(grant.reservationId, now);
}

function handleAsk(state: BaselineState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const prefill = choosePrefillEngine(state, ask);
  const decode = chooseEngine(state, 'decode', ask);
  // Without a view of the whole pool, a short delay is no reason to move.
  const isMove = ask.movesFrom !== undefined;
  if (prefill === undefined || decode === undefined || isMove) {
    const { vmId, requestId, attemptId } = ask;
    const detail = 'no engine serves the model now';
    const retryAt = now + RETRY_AFTER_MS;
    const refusal = { name: 'no-upstream', ran: 'not-run', detail, retryAt } as const;
    return [{ kind: 'refuse', vmId, requestId, attemptId, refusal }];
  }
  const grant: ReservationGrant = {
    reservationId: `${state.options.vmId}-${state.nextReservation}` as ReservationId,
    attemptId: ask.attemptId,
    prefill: prefill.upstreamId,
    decode: decode.upstreamId,
    prefillAt: now,
    startDeadline: now + GRANT_START_MS,
    predictedFirstTokenAt: ask.firstTokenDeadline,
    predictedAnswerAt: ask.answerDeadline,
  };
  state.nextReservation += 1;
  state.reservations.set(grant.reservationId, grant);
  sendTo(prefill, grant, now);
  sendTo(decode, grant, now);
  return [{ kind: 'grant', ask, grant }];
}

function freeEngine(state: BaselineState, upstreamId: UpstreamId, id: ReservationId): void {
  const engine = state.engines.get(upstreamId);
  if (engine === undefined || !engine.sentAt.delete(id)) return;
  engine.outstanding -= 1;
}

function endAttempt(state: BaselineState, { reservationId }: AttemptEnd): void {
  const grant = state.reservations.get(reservationId);
  if (grant === undefined) return;
  state.reservations.delete(reservationId);
  freeEngine(state, grant.prefill, reservationId);
  freeEngine(state, grant.decode, reservationId);
}

/** Decides what a baseline does about one event. */
export function handleBaselineEvent(
  state: BaselineState,
  event: AllocatorEvent,
): AllocatorAction[] {
  switch (event.kind) {
    case 'engines-listed':
      updateEngines(state, event.engines);
      return [];
    case 'load-reported': {
      const engine = state.engines.get(event.upstreamId);
      if (engine !== undefined) engine.report = event.report;
      return [];
    }
    case 'asked':
      return handleAsk(state, event.ask, event.now);
    case 'attempt-ended':
      for (const end of event.items) endAttempt(state, end);
      return [];
    default:
      return [];
  }
}
