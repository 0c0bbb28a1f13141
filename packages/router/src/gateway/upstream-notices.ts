/** Takes what servers say of themselves, in answers to this VM or to a peer. */

import {
  findLimit,
  getOrAddServerLoad,
  listLeaving,
  listUnusableUpstreams,
  listUsableUpstreams,
  recordLeaving,
  recordLimit,
  recordPause,
  type LeavingUpstream,
  type LimitStatement,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { PeerMessage, ServiceName, UpstreamLimitItem } from '@tarragonspool/protocol';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayState } from './gateway-state.js';
import { notifyPoolsOfEngines } from './pool-engines.js';
import type { LimitNotice, UpstreamNotice } from './ports.js';

type LeavingMessage = Extract<PeerMessage, { kind: 'upstreams-leaving' }>;
type LimitsMessage = Extract<PeerMessage, { kind: 'upstream-limits' }>;

/** A peer that has just been linked hears of at most this many. */
const MAX_TOLD = 200;
/** Callers of a service whose servers all leave come back after this time. */
const RETRY_AFTER_LEAVING_MS = 500;
/** Random share of a pause, and least random time, that callers wait beyond its end. */
const PAUSE_SPREAD = 0.5;
const MIN_PAUSE_SPREAD_MS = 300;

function encodeStatement(statement: LimitStatement, now: number): UpstreamLimitItem {
  const { upstreamId, incarnation, requestsPerSecond, sentAt, heardAt } = statement;
  const ages = { sentAgoMs: now - sentAt, heardAgoMs: now - heardAt };
  return { upstreamId, incarnation, requestsPerSecond, ...ages };
}

/** Takes what a peer knows of the limits of servers. */
export function applyLimitsMessage(state: GatewayState, { items }: LimitsMessage): void {
  const now = getSteadyMs();
  const news = items.filter(({ sentAgoMs, heardAgoMs, ...statement }) =>
    recordLimit(state.limits, {
      ...statement,
      requestsPerSecond: statement.requestsPerSecond,
      sentAt: now - sentAgoMs,
      heardAt: now - heardAgoMs,
    }),
  );
  if (news.length === 0) return;
  state.logger.info({ servers: news }, 'upstreams: a peer tells of limits of servers');
  notifyPoolsOfEngines(state);
}

/** Lists what servers said of their limits, for a peer that has just been linked. */
export function listToldLimits({ limits }: GatewayState): UpstreamLimitItem[] {
  const now = getSteadyMs();
  const items = [...limits.values()].map((statement) => encodeStatement(statement, now));
  return items.slice(-MAX_TOLD);
}

/** What a notice came with. */
export type AnswerOrigin = {
  /** Undefined for calls that belong to no request of a caller. */
  readonly requestId: string | undefined;
  readonly sentAt: number;
  /** Whether the answer names the request, so that what it leaves out counts too. */
  readonly isIdentified: boolean;
};

/** Records what an answer says of the limit of its server. */
function recordLimitNotice(
  state: GatewayState,
  { requestId, sentAt, isIdentified }: AnswerOrigin,
  { upstreamId, incarnation }: UpstreamRecord,
  limit: LimitNotice,
): void {
  const { limits, logger, metrics } = state;
  if (limit.kind === 'unreadable' || (limit.kind === 'none' && !isIdentified)) return;
  const requestsPerSecond = limit.kind === 'named' ? limit.requestsPerSecond : undefined;
  const heardAt = getSteadyMs();
  const statement = { upstreamId, incarnation, requestsPerSecond, sentAt, heardAt };
  if (!recordLimit(limits, statement)) return;
  metrics.notices.inc({ kind: limit.kind === 'named' ? 'limit' : 'limit-ended' });
  logger.info(
    { requestId, upstreamId, incarnation, requestsPerSecond },
    'upstreams: limit of a server changed',
  );
  notifyPoolsOfEngines(state);
  state.broadcast({ kind: 'upstream-limits', items: [encodeStatement(statement, heardAt)] });
}

/** Records a notice of a server to this VM. */
export function recordNotice(
  state: GatewayState,
  origin: AnswerOrigin,
  server: UpstreamRecord,
  { isLeaving, pauseMs, limit, invalid }: UpstreamNotice,
): void {
  const { requestId } = origin;
  const { upstreamId, incarnation } = server;
  const { upstreams, logger, metrics } = state;
  if (invalid.length > 0) {
    metrics.notices.inc({ kind: 'invalid' });
    logger.warn({ requestId, upstreamId, invalid }, 'upstreams: notice of a server is not valid');
  }
  recordLimitNotice(state, origin, server, limit);
  if (pauseMs !== undefined && pauseMs > 0) {
    const now = getSteadyMs();
    const until = now + pauseMs;
    recordPause(upstreams, upstreamId, { incarnation, until }, now);
    metrics.notices.inc({ kind: 'pause' });
    logger.info({ requestId, upstreamId, pauseMs }, 'upstreams: server asks for a pause');
  }
  if (!isLeaving || !recordLeaving(upstreams, { upstreamId, incarnation })) return;
  metrics.notices.inc({ kind: 'leaving' });
  logger.info({ requestId, upstreamId, incarnation }, 'upstreams: server says that it leaves');
  notifyPoolsOfEngines(state);
  state.broadcast({ kind: 'upstreams-leaving', items: [{ upstreamId, incarnation }] });
}

/** Takes what a peer knows of servers that leave. */
export function applyLeavingMessage(state: GatewayState, { items }: LeavingMessage): void {
  const news = items.filter((item) => recordLeaving(state.upstreams, item));
  if (news.length === 0) return;
  state.logger.info({ servers: news }, 'upstreams: a peer says that servers leave');
  notifyPoolsOfEngines(state);
}

/** Lists the servers that leave, for a peer that has just been linked. */
export function listToldLeaving({ upstreams }: GatewayState): LeavingUpstream[] {
  return listLeaving(upstreams).slice(-MAX_TOLD);
}

/** Lists the usable servers of a service whose limits allow no further request now. */
export function listWithoutPermit(
  { upstreams, limits, loads }: GatewayState,
  service: ServiceName,
): UpstreamRecord[] {
  const now = getSteadyMs();
  return listUsableUpstreams(upstreams, service, now).filter(({ upstreamId, incarnation }) => {
    const isLimited = findLimit(limits, upstreamId, incarnation) !== undefined;
    return isLimited && getOrAddServerLoad(loads, upstreamId).noPermitBefore > now;
  });
}

/** Finds when the first server that pauses, or has no permit left, may get a request again. */
function findFirstUsableAt(state: GatewayState, service: ServiceName, now: number): number {
  const { firstPauseEndsAt = Infinity } = listUnusableUpstreams(state.upstreams, service, now);
  const permitTimes = listWithoutPermit(state, service).map(
    ({ upstreamId }) => getOrAddServerLoad(state.loads, upstreamId).noPermitBefore,
  );
  return Math.min(firstPauseEndsAt, ...permitTimes);
}

/**
 * Returns when callers of a service should come back whose servers leave, pause or have used up
 * their limits, in milliseconds.
 */
export function findRetryAfterMs(state: GatewayState, service: ServiceName): number {
  const now = getSteadyMs();
  const firstUsableAt = findFirstUsableAt(state, service, now);
  const leastMs = Number.isFinite(firstUsableAt) ? firstUsableAt - now : RETRY_AFTER_LEAVING_MS;
  const spreadMs = Math.max(MIN_PAUSE_SPREAD_MS, PAUSE_SPREAD * leastMs);
  return leastMs + state.takeFraction() * spreadMs;
}

/** Sets the gauge of servers by whether this VM may use them. */
export function updateUpstreamGauge({ upstreams, limits, metrics }: GatewayState): void {
  const now = getSteadyMs();
  let leaving = 0;
  let paused = 0;
  for (const service of new Set([...upstreams.records.values()].map((record) => record.service))) {
    const unusable = listUnusableUpstreams(upstreams, service, now);
    leaving += unusable.leaving.length;
    paused += unusable.paused.length;
  }
  metrics.upstreams.set({ state: 'leaving' }, leaving);
  metrics.upstreams.set({ state: 'paused' }, paused);
  const isLimited = ({ upstreamId, incarnation }: UpstreamRecord): boolean =>
    findLimit(limits, upstreamId, incarnation) !== undefined;
  const limited = [...upstreams.records.values()].filter(isLimited);
  metrics.limitedUpstreams.set(limited.length);
  metrics.upstreams.set({ state: 'usable' }, upstreams.records.size - leaving - paused);
}
