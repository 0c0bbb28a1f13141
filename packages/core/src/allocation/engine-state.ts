/** State of each engine as the allocator sees it. Times are milliseconds since the epoch. */

import type {
  AttemptId,
  LoadReport,
  ModelName,
  ReservationRequest,
  ReservationGrant,
  ReservationId,
  UpstreamId,
} from '@tarragonspool/protocol';
import type { ListedEngine } from './allocator-events.js';

/** Engines and memory granted to one attempt that has not ended. */
export type Reservation = {
  readonly ask: ReservationRequest;
  readonly grant: ReservationGrant;
  readonly grantedAt: number;
  readonly prefillEngine: Engine | undefined;
  readonly decodeEngine: Engine | undefined;
  readonly pieces: number;
  /** Prompt tokens that were predicted to be in the prefix cache. */
  readonly expectedCachedTokens: number;
  /**
   * Predicted time of the prefill without waiting, at the engine's speed at the time of the grant.
   */
  readonly prefillMs: number;
  /** The same at the average speed of the pool. */
  readonly averagePrefillMs: number;
  /** Planned time that the prefill result waits for the link. */
  readonly linkWaitMs: number;
  prefillStartAt: number;
  prefillEndAt: number;
  /** Stage that the attempt has reached. */
  stage: 'prefill' | 'import' | 'decode';
  tokens: number;
  movedAt: number;
  isEnded: boolean;
};

/** A hold, memory that an engine keeps for an attempt, without a known reservation. */
export type UnaccountedHold = { readonly pieces: number; readonly deadline: number };

/** One engine and the work that is granted on it. */
export type Engine = {
  readonly index: number;
  readonly upstreamId: UpstreamId;
  role: ListedEngine['role'];
  models: readonly ModelName[];
  isLeaving: boolean;
  /**
   * Whether the platform lists it. An engine that is no longer listed is retained while attempts
   * use it.
   */
  isListed: boolean;
  report: LoadReport | undefined;
  slots: number;
  /**
   * Until this time the allocator rebuilds its state: reported streams without a reservation count
   * as taken slots.
   */
  rebuildEndsAt: number;
  /** Decode holds listed by the engine that belong to no reservation. */
  unaccounted: Map<AttemptId, UnaccountedHold>;
  /** Granted prefills that have not been reported as ended, in the order of their grants. */
  readonly prefills: Reservation[];
  /** When the last prefill that was removed from `prefills` ended. */
  idleAt: number;
  /** When all granted prefills are predicted to have ended. */
  prefillsEndAt: number;
  /** When all granted KV cache exports are predicted to have ended. */
  linkFreeAt: number;
  readonly streams: Map<ReservationId, Reservation>;
  decodingStreams: number;
  reservedPieces: number;
  /** Time that its work takes, relative to the prediction for the whole pool. */
  slowness: number;
  slownessAt: number;
  lastProgressAt: number;
  isSuspect: boolean;
  /** From this time on, one request may be sent to a suspect engine as a probe. */
  probeAt: number;
  cacheSequence: number;
  /** Share of the predicted prefix cache hits that occurred. */
  cacheHitAccuracy: number;
};

/** Slots of a decode engine that has not reported any. */
const DEFAULT_SLOTS = 20;
/** How long a new allocator counts reported streams without a reservation as taken slots. */
const REBUILD_MS = 500;

function makeEngine(listed: ListedEngine, index: number, now: number): Engine {
  return {
    ...listed,
    isListed: true,
    index,
    report: undefined,
    slots: DEFAULT_SLOTS,
    rebuildEndsAt: now + REBUILD_MS,
    unaccounted: new Map(),
    prefills: [],
    idleAt: now,
    prefillsEndAt: now,
    linkFreeAt: now,
    streams: new Map(),
    decodingStreams: 0,
    reservedPieces: 0,
    slowness: 1,
    slownessAt: now,
    lastProgressAt: now,
    isSuspect: false,
    probeAt: now,
    cacheSequence: -1,
    cacheHitAccuracy: 1,
  };
}

/** The engines of one shard by id, and the listed ones by role. */
export type EnginePool = {
  readonly byId: Map<UpstreamId, Engine>;
  prefill: Engine[];
  decode: Engine[];
  nextIndex: number;
};

/** Makes a pool without engines. */
export function makeEnginePool(): EnginePool {
  return { byId: new Map(), prefill: [], decode: [], nextIndex: 0 };
}

/**
 * Applies a new list of engines and returns those that are no longer listed. An engine that was
 * leaving stays leaving.
 */
export function updateEngines(
  pool: EnginePool,
  listed: readonly ListedEngine[],
  now: number,
): Engine[] {
  const listedIds = new Set<UpstreamId>();
  for (const listedEngine of listed) {
    listedIds.add(listedEngine.upstreamId);
    const engine = pool.byId.get(listedEngine.upstreamId);
    if (engine === undefined) {
      pool.byId.set(listedEngine.upstreamId, makeEngine(listedEngine, pool.nextIndex, now));
      pool.nextIndex += 1;
      continue;
    }
    engine.role = listedEngine.role;
    engine.models = listedEngine.models;
    engine.isLeaving = engine.isLeaving || listedEngine.isLeaving;
    engine.isListed = true;
  }
  const gone: Engine[] = [];
  for (const engine of pool.byId.values()) {
    if (listedIds.has(engine.upstreamId)) continue;
    if (engine.isListed) gone.push(engine);
    engine.isListed = false;
    const isUsed = engine.streams.size > 0 || engine.prefills.length > 0;
    if (!isUsed) pool.byId.delete(engine.upstreamId);
  }
  const engines = [...pool.byId.values()].filter(({ isListed }) => isListed);
  pool.prefill = engines.filter(({ role }) => role === 'prefill');
  pool.decode = engines.filter(({ role }) => role === 'decode');
  return gone;
}

/** Returns whether the engine may serve this request. */
export function isEligible(engine: Engine, request: ReservationRequest): boolean {
  if (engine.isLeaving || !engine.models.includes(request.target.model)) return false;
  return request.excluded.length === 0 || !request.excluded.includes(engine.upstreamId);
}

/** Counts the decode slots that are taken, including those without a known reservation. */
export function countTakenSlots(engine: Engine, now: number): number {
  const accounted = engine.streams.size + engine.unaccounted.size;
  if (now >= engine.rebuildEndsAt) return accounted;
  return Math.max(accounted, engine.report?.decodeStreams ?? engine.slots);
}

/** Counts the memory pieces that are taken, including those without a known reservation. */
export function countTakenPieces(engine: Engine): number {
  let taken = engine.reservedPieces;
  for (const { pieces } of engine.unaccounted.values()) taken += pieces;
  return taken;
}

/** Recomputes the predicted start and end of each granted prefill. */
export function schedulePrefills(engine: Engine, dispatchMs: number): void {
  let freeAt = engine.idleAt;
  for (const reservation of engine.prefills) {
    reservation.prefillStartAt = Math.max(freeAt, reservation.grantedAt + dispatchMs);
    reservation.prefillEndAt = reservation.prefillStartAt + reservation.prefillMs;
    freeAt = reservation.prefillEndAt;
  }
  engine.prefillsEndAt = freeAt;
}
