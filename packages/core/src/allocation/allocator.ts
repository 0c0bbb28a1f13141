/**
 * Hands out places on one shard's engines. Decides only; the host carries asks and grants. Times
 * are milliseconds since the epoch.
 */

import {
  assertNever,
  type AttemptEnd,
  type AttemptId,
  type AttemptProgress,
  type CacheEvent,
  type EngineHold,
  type EngineRole,
  type HeldReservation,
  type Incarnation,
  type LoadReport,
  type ModelName,
  type Refusal,
  type RequestId,
  type ReservationAsk,
  type ReservationGrant,
  type ReservationId,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';

/** An engine as the platform lists it. */
export type ListedEngine = {
  readonly upstreamId: UpstreamId;
  readonly role: EngineRole;
  readonly models: readonly ModelName[];
  readonly isLeaving: boolean;
};

/** What an allocator hears. */
export type AllocatorEvent =
  | {
      readonly kind: 'engines-listed';
      readonly engines: readonly ListedEngine[];
      readonly now: number;
    }
  | {
      readonly kind: 'load-reported';
      readonly upstreamId: UpstreamId;
      readonly report: LoadReport;
      readonly now: number;
    }
  | {
      readonly kind: 'cache-changed';
      readonly upstreamId: UpstreamId;
      readonly events: readonly CacheEvent[];
      readonly now: number;
    }
  | {
      readonly kind: 'holds-listed';
      readonly upstreamId: UpstreamId;
      readonly holds: readonly EngineHold[];
      readonly now: number;
    }
  | { readonly kind: 'asked'; readonly ask: ReservationAsk; readonly now: number }
  | { readonly kind: 'withdrawn'; readonly attemptId: AttemptId; readonly now: number }
  | {
      readonly kind: 'progressed';
      readonly items: readonly AttemptProgress[];
      readonly now: number;
    }
  | { readonly kind: 'attempt-ended'; readonly items: readonly AttemptEnd[]; readonly now: number }
  | {
      readonly kind: 'held-announced';
      readonly items: readonly HeldReservation[];
      readonly now: number;
    }
  | {
      readonly kind: 'vm-gone';
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly now: number;
    }
  | { readonly kind: 'ticked'; readonly now: number };

/** What the host must do for an allocator. */
export type AllocatorAction =
  | { readonly kind: 'grant'; readonly ask: ReservationAsk; readonly grant: ReservationGrant }
  | {
      readonly kind: 'refuse';
      readonly vmId: VmId;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
    }
  | {
      readonly kind: 'cancel-hold';
      readonly upstreamId: UpstreamId;
      readonly attemptId: AttemptId;
    };

type EngineState = ListedEngine & {
  outstanding: number;
};

type Reservation = {
  readonly ask: ReservationAsk;
  readonly grant: ReservationGrant;
};

/** Whole state of one allocator. */
export type AllocatorState = {
  readonly vmId: VmId;
  readonly engines: Map<UpstreamId, EngineState>;
  readonly reservations: Map<ReservationId, Reservation>;
  nextReservation: number;
};

const GRANT_START_MS = 1_000;
const DECODE_PLACES = 20;
const RETRY_AFTER_MS = 1_000;

/** How engines are chosen. All but `ours` are baselines that decide on each VM alone. */
export type AllocationPolicy = 'ours' | 'round-robin' | 'least-outstanding' | 'two-choices';
/** What the operator weighs first: tail latency under stragglers, or service at the crest. */
export type AllocationObjective = 'tail' | 'crest';

/** Options of an allocator. */
export type AllocatorOptions = {
  readonly vmId: VmId;
  readonly policy: AllocationPolicy;
  readonly objective: AllocationObjective;
  /** Seed of the allocator's random numbers. */
  readonly seed: number;
};

/** Makes the state of an allocator on one VM. */
export function makeAllocatorState(options: AllocatorOptions): AllocatorState {
  const { vmId } = options;
  return { vmId, engines: new Map(), reservations: new Map(), nextReservation: 1 };
}

function updateEngines(state: AllocatorState, engines: readonly ListedEngine[]): void {
  const listed = new Set<UpstreamId>();
  for (const engine of engines) {
    listed.add(engine.upstreamId);
    const outstanding = state.engines.get(engine.upstreamId)?.outstanding ?? 0;
    state.engines.set(engine.upstreamId, { ...engine, outstanding });
  }
  for (const upstreamId of state.engines.keys()) {
    if (!listed.has(upstreamId)) state.engines.delete(upstreamId);
  }
}

function isUsable(engine: EngineState, role: EngineRole, ask: ReservationAsk): boolean {
  if (engine.role !== role || engine.isLeaving) return false;
  if (!engine.models.includes(ask.target.model)) return false;
  return !ask.excluded.includes(engine.upstreamId);
}

function findLeastLoaded(
  state: AllocatorState,
  role: EngineRole,
  ask: ReservationAsk,
): EngineState | undefined {
  let best: EngineState | undefined;
  for (const engine of state.engines.values()) {
    if (!isUsable(engine, role, ask)) continue;
    if (best === undefined || engine.outstanding < best.outstanding) best = engine;
  }
  return best;
}

function refuseAsk(ask: ReservationAsk, refusal: Refusal): AllocatorAction[] {
  const { vmId, requestId, attemptId } = ask;
  return [{ kind: 'refuse', vmId, requestId, attemptId, refusal }];
}

function handleAsk(state: AllocatorState, ask: ReservationAsk, now: number): AllocatorAction[] {
  const prefill = findLeastLoaded(state, 'prefill', ask);
  const decode = findLeastLoaded(state, 'decode', ask);
  if (prefill === undefined || decode === undefined || decode.outstanding >= DECODE_PLACES) {
    const detail = 'no engine has a free place';
    const retryAt = now + RETRY_AFTER_MS;
    return refuseAsk(ask, { name: 'no-upstream', ran: 'not-run', detail, retryAt });
  }
  prefill.outstanding += 1;
  decode.outstanding += 1;
  const grant: ReservationGrant = {
    reservationId: `${state.vmId}-${state.nextReservation}` as ReservationId,
    attemptId: ask.attemptId,
    prefill: prefill.upstreamId,
    decode: decode.upstreamId,
    prefillAt: now,
    startDeadline: now + GRANT_START_MS,
    predictedFirstTokenAt: ask.firstTokenDeadline,
    predictedAnswerAt: ask.answerDeadline,
  };
  state.nextReservation += 1;
  state.reservations.set(grant.reservationId, { ask, grant });
  return [{ kind: 'grant', ask, grant }];
}

function freeEngine(state: AllocatorState, upstreamId: UpstreamId): void {
  const engine = state.engines.get(upstreamId);
  if (engine !== undefined) engine.outstanding -= 1;
}

function endAttempt(state: AllocatorState, end: AttemptEnd): void {
  const reservation = state.reservations.get(end.reservationId);
  if (reservation === undefined) return;
  state.reservations.delete(end.reservationId);
  freeEngine(state, reservation.grant.prefill);
  freeEngine(state, reservation.grant.decode);
}

/** Decides what to do about one event. */
export function handleAllocatorEvent(
  state: AllocatorState,
  event: AllocatorEvent,
): AllocatorAction[] {
  switch (event.kind) {
    case 'engines-listed':
      updateEngines(state, event.engines);
      return [];
    case 'asked':
      return handleAsk(state, event.ask, event.now);
    case 'attempt-ended':
      for (const end of event.items) endAttempt(state, end);
      return [];
    case 'load-reported':
    case 'cache-changed':
    case 'holds-listed':
    case 'withdrawn':
    case 'progressed':
    case 'held-announced':
    case 'vm-gone':
    case 'ticked':
      return [];
    default:
      return assertNever(event);
  }
}
