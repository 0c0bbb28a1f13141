/** What an allocator knows of each engine. Times are milliseconds since the epoch. */

import type {
  AttemptId,
  LoadReport,
  ModelName,
  ReservationAsk,
  ReservationGrant,
  ReservationId,
  UpstreamId,
} from '@tarragonspool/protocol';
import type { ListedEngine } from './allocator-events.js';

/** Places granted to one attempt that has not ended. */
export type Reservation = {
  readonly ask: ReservationAsk;
  readonly grant: ReservationGrant;
  readonly grantedAt: number;
  readonly prefillEngine: Engine | undefined;
  readonly decodeEngine: Engine | undefined;
  readonly pieces: number;
  /** Prompt tokens that were expected in the prefix cache. */
  readonly expectedCachedTokens: number;
  /** Predicted time of the prefill alone, at the engine's speed when it was granted. */
  readonly prefillMs: number;
  /** The same at the usual speed of the pool. */
  readonly usualPrefillMs: number;
  /** Planned wait of the prefill result for the link. */
  readonly linkWaitMs: number;
  prefillStartAt: number;
  prefillEndAt: number;
  stage: 'prefill' | 'import' | 'decode';
  tokens: number;
  movedAt: number;
  isEnded: boolean;
};

/** Engine memory that an unknown holder uses. */
export type UnaccountedHold = { readonly pieces: number; readonly deadline: number };

/** One engine. */
export type Engine = {
  readonly index: number;
  readonly upstreamId: UpstreamId;
  role: ListedEngine['role'];
  models: readonly ModelName[];
  isLeaving: boolean;
  /** Whether the platform lists it; one that it no longer lists is kept while attempts use it. */
  isListed: boolean;
  report: LoadReport | undefined;
  places: number;
  /** Until this time, places that nobody accounts for count as taken. */
  unknownUntil: number;
  /** Decode holds listed by the engine that belong to no reservation. */
  unaccounted: Map<AttemptId, UnaccountedHold>;
  /** Granted prefills that are not known to have ended, in the order of their grants. */
  readonly prefills: Reservation[];
  /** When the prefills before `prefills` are over. */
  idleAt: number;
  /** When all granted prefills are predicted to be over. */
  freeAt: number;
  /** When all granted exports are predicted to be over. */
  linkFreeAt: number;
  readonly streams: Map<ReservationId, Reservation>;
  decoding: number;
  piecesHeld: number;
  /** Time of its steps relative to what the pool's estimate predicts. */
  slowness: number;
  slownessAt: number;
  lastMovedAt: number;
  isSuspect: boolean;
  /** From when one request may try out a suspect engine. */
  probeAt: number;
  cacheSequence: number;
  /** Share of the expected cache hits that came true. */
  cacheTrust: number;
};

/** Places of a decode engine that has not reported any. */
const DEFAULT_PLACES = 20;
/** How long a new allocator counts unreported places as taken. */
const REBUILD_MS = 500;

function makeEngine(listed: ListedEngine, index: number, now: number): Engine {
  return {
    ...listed,
    isListed: true,
    index,
    report: undefined,
    places: DEFAULT_PLACES,
    unknownUntil: now + REBUILD_MS,
    unaccounted: new Map(),
    prefills: [],
    idleAt: now,
    freeAt: now,
    linkFreeAt: now,
    streams: new Map(),
    decoding: 0,
    piecesHeld: 0,
    slowness: 1,
    slownessAt: now,
    lastMovedAt: now,
    isSuspect: false,
    probeAt: now,
    cacheSequence: -1,
    cacheTrust: 1,
  };
}

/** The engines of one shard, by id and by role. */
export type EnginePool = {
  readonly byId: Map<UpstreamId, Engine>;
  prefill: Engine[];
  decode: Engine[];
  nextIndex: number;
};

/** Makes an empty pool. */
export function makeEnginePool(): EnginePool {
  return { byId: new Map(), prefill: [], decode: [], nextIndex: 0 };
}

/** Takes a new list of engines; returns those that have just gone. Leaving is kept for good. */
export function updateEngines(
  pool: EnginePool,
  listed: readonly ListedEngine[],
  now: number,
): Engine[] {
  const listedIds = new Set<UpstreamId>();
  for (const entry of listed) {
    listedIds.add(entry.upstreamId);
    const engine = pool.byId.get(entry.upstreamId);
    if (engine === undefined) {
      pool.byId.set(entry.upstreamId, makeEngine(entry, pool.nextIndex, now));
      pool.nextIndex += 1;
      continue;
    }
    engine.role = entry.role;
    engine.models = entry.models;
    engine.isLeaving = engine.isLeaving || entry.isLeaving;
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

/** Whether the engine may take new work of this ask. */
export function isEligible(engine: Engine, ask: ReservationAsk): boolean {
  if (engine.isLeaving || !engine.models.includes(ask.target.model)) return false;
  return ask.excluded.length === 0 || !ask.excluded.includes(engine.upstreamId);
}

/** Counts decode places that are taken, those of unknown holders included. */
export function countTakenPlaces(engine: Engine, now: number): number {
  const own = engine.streams.size + engine.unaccounted.size;
  if (now >= engine.unknownUntil) return own;
  return Math.max(own, engine.report?.decodeStreams ?? engine.places);
}

/** Counts memory pieces that are taken. */
export function countTakenPieces(engine: Engine): number {
  let taken = engine.piecesHeld;
  for (const { pieces } of engine.unaccounted.values()) taken += pieces;
  return taken;
}

/** Predicts again when each granted prefill starts and ends. */
export function scheduleEngine(engine: Engine, hopMs: number): void {
  let at = engine.idleAt;
  for (const reservation of engine.prefills) {
    reservation.prefillStartAt = Math.max(at, reservation.grantedAt + hopMs);
    reservation.prefillEndAt = reservation.prefillStartAt + reservation.prefillMs;
    at = reservation.prefillEndAt;
  }
  engine.freeAt = at;
}
