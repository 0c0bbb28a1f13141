/**
 * Baseline policies: round robin, least outstanding, and the less loaded of two random engines.
 * Each decides immediately on one VM, from that VM's outstanding work and delayed load reports.
 */

import type {
  AttemptEnd,
  EngineRole,
  LoadReport,
  ReservationRequest,
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
import { makeRandom, type Random, takeIndex } from './random.js';

type BaselineEngine = ListedEngine & {
  outstandingCount: number;
  report: LoadReport | undefined;
  /** When each reservation that is still outstanding was sent to this engine. */
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
  readonly nextTurns: Record<EngineRole, number>;
  nextReservation: number;
};

const GRANT_START_TIMEOUT_MS = 1_000;
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
    nextTurns: { prefill: 0, decode: 0 },
    nextReservation: 1,
  };
}

function updateEngines(state: BaselineState, listed: readonly ListedEngine[]): void {
  const previousEngines = new Map(state.engines);
  state.engines.clear();
  for (const engine of listed) {
    const previous = previousEngines.get(engine.upstreamId);
    state.engines.set(engine.upstreamId, {
      ...engine,
      outstandingCount: previous?.outstandingCount ?? 0,
      report: previous?.report,
      sentAt: previous?.sentAt ?? new Map<ReservationId, number>(),
    });
  }
}

function isUsable(engine: BaselineEngine, role: EngineRole, request: ReservationRequest): boolean {
  if (engine.role !== role || engine.isLeaving) return false;
  if (!engine.models.includes(request.target.model)) return false;
  return !request.excluded.includes(engine.upstreamId);
}

function listUsable(
  state: BaselineState,
  role: EngineRole,
  request: ReservationRequest,
): BaselineEngine[] {
  const usable: BaselineEngine[] = [];
  for (const engine of state.engines.values()) {
    if (isUsable(engine, role, request)) usable.push(engine);
  }
  return usable;
}

function measureReportedLoad(engine: BaselineEngine): number {
  const { report } = engine;
  if (report === undefined) return 0;
  if (engine.role === 'decode') return report.decodeStreams;
  return report.queuedPrefillTokens / TOKENS_PER_QUEUED_PREFILL;
}

/**
 * Returns the last reported load plus what this VM has sent since; at least all that is
 * outstanding.
 */
function estimateLoad(engine: BaselineEngine): number {
  const measuredAt = engine.report?.measuredAt ?? 0;
  let sentSince = 0;
  for (const sentAt of engine.sentAt.values()) {
    if (sentAt > measuredAt) sentSince += 1;
  }
  return Math.max(engine.outstandingCount, measureReportedLoad(engine) + sentSince);
}

function chooseLeastOutstanding(engines: readonly BaselineEngine[]): BaselineEngine | undefined {
  let best: BaselineEngine | undefined;
  for (const engine of engines) {
    if (best === undefined || engine.outstandingCount < best.outstandingCount) best = engine;
  }
  return best;
}

function chooseLessLoadedOfTwo(
  random: Random,
  engines: readonly BaselineEngine[],
): BaselineEngine | undefined {
  if (engines.length < 2) return engines[0];
  const firstIndex = takeIndex(random, engines.length);
  const offset = 1 + takeIndex(random, engines.length - 1);
  const first = engines[firstIndex];
  const second = engines[(firstIndex + offset) % engines.length];
  if (first === undefined || second === undefined) return first;
  return estimateLoad(second) < estimateLoad(first) ? second : first;
}

function chooseEngine(
  state: BaselineState,
  role: EngineRole,
  request: ReservationRequest,
): BaselineEngine | undefined {
  const usable = listUsable(state, role, request);
  if (state.policy === 'least-outstanding') return chooseLeastOutstanding(usable);
  if (state.policy === 'two-choices') return chooseLessLoadedOfTwo(state.random, usable);
  const turn = state.nextTurns[role];
  state.nextTurns[role] += 1;
  return usable[turn % Math.max(1, usable.length)];
}

function choosePrefillEngine(
  state: BaselineState,
  request: ReservationRequest,
): BaselineEngine | undefined {
  if (request.resumeFrom === undefined) return chooseEngine(state, 'prefill', request);
  return state.engines.get(request.resumeFrom);
}

function recordSent(engine: BaselineEngine, grant: ReservationGrant, now: number): void {
  if (engine.sentAt.has(grant.reservationId)) return;
  engine.outstandingCount += 1;
  engine.sentAt.set(grant.reservationId, now);
}

function handleReservationRequest(
  state: BaselineState,
  request: ReservationRequest,
  now: number,
): AllocatorAction[] {
  const prefill = choosePrefillEngine(state, request);
  const decode = chooseEngine(state, 'decode', request);
  // Without a view of the whole pool, a short delay does not justify a move to another engine.
  const isMove = request.movesFrom !== undefined;
  if (prefill === undefined || decode === undefined || isMove) {
    const { vmId, requestId, attemptId } = request;
    const detail = 'no engine serves the model now';
    const retryAt = now + RETRY_AFTER_MS;
    const refusal = { name: 'no-upstream', ran: 'not-run', detail, retryAt } as const;
    return [{ kind: 'refuse', vmId, requestId, attemptId, refusal }];
  }
  const grant: ReservationGrant = {
    reservationId: `${state.options.vmId}-${state.nextReservation}` as ReservationId,
    attemptId: request.attemptId,
    prefill: prefill.upstreamId,
    decode: decode.upstreamId,
    prefillAt: now,
    startDeadline: now + GRANT_START_TIMEOUT_MS,
    predictedFirstTokenAt: request.firstTokenDeadline,
    predictedAnswerAt: request.answerDeadline,
  };
  state.nextReservation += 1;
  state.reservations.set(grant.reservationId, grant);
  recordSent(prefill, grant, now);
  recordSent(decode, grant, now);
  return [{ kind: 'grant', ask: request, grant }];
}

function removeSent(state: BaselineState, upstreamId: UpstreamId, id: ReservationId): void {
  const engine = state.engines.get(upstreamId);
  if (engine === undefined || !engine.sentAt.delete(id)) return;
  engine.outstandingCount -= 1;
}

function endAttempt(state: BaselineState, { reservationId }: AttemptEnd): void {
  const grant = state.reservations.get(reservationId);
  if (grant === undefined) return;
  state.reservations.delete(reservationId);
  removeSent(state, grant.prefill, reservationId);
  removeSent(state, grant.decode, reservationId);
}

/** Applies one event to a baseline allocator and returns the actions that follow from it. */
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
      return handleReservationRequest(state, event.ask, event.now);
    case 'attempt-ended':
      for (const end of event.items) endAttempt(state, end);
      return [];
    default:
      return [];
  }
}
