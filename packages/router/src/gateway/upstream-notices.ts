/** Takes what servers say of themselves, in answers to this VM or to a peer. */

import {
  findLimit,
  listLeaving,
  listLimitStatements,
  listRefusedUpstreams,
  recordLeaving,
  recordLimit,
  recordPause,
  type UpstreamIncarnation,
  type LimitStatement,
  type RefusedUpstream,
  type UpstreamList,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { PeerMessage, ServiceName, UpstreamLimitItem } from '@tarragonspool/protocol';
import type { Logger } from '../logging/logger.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { notifyPoolsOfEngines, type PoolEnginesState } from './pool-engines.js';
import type { LimitNotice, UpstreamNotice } from './ports.js';

/** The list of servers that notices change, and what passes the changes on. */
export type UpstreamNoticesState = PoolEnginesState & {
  readonly upstreams: UpstreamList;
  readonly broadcast: (message: PeerMessage) => void;
  readonly takeFraction: () => number;
  readonly metrics: Pick<GatewayMetrics, 'notices' | 'upstreams' | 'limitedUpstreams'>;
  readonly logger: Logger;
};

/** Servers, and what is known of them. */
export type KnownUpstreams = Pick<UpstreamNoticesState, 'upstreams'>;

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
export function applyLimitsMessage(state: UpstreamNoticesState, { items }: LimitsMessage): void {
  const now = getSteadyMs();
  const news = items.filter(({ sentAgoMs, heardAgoMs, ...statement }) =>
    recordLimit(state.upstreams.beliefs, {
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
export function listToldLimits({ upstreams }: KnownUpstreams): UpstreamLimitItem[] {
  const now = getSteadyMs();
  const items = listLimitStatements(upstreams.beliefs).map((statement) =>
    encodeStatement(statement, now),
  );
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
  state: UpstreamNoticesState,
  { requestId, sentAt, isIdentified }: AnswerOrigin,
  { upstreamId, incarnation }: UpstreamRecord,
  limit: LimitNotice,
): void {
  const { upstreams, logger, metrics } = state;
  if (limit.kind === 'unreadable' || (limit.kind === 'none' && !isIdentified)) return;
  const requestsPerSecond = limit.kind === 'named' ? limit.requestsPerSecond : undefined;
  const heardAt = getSteadyMs();
  const statement = { upstreamId, incarnation, requestsPerSecond, sentAt, heardAt };
  if (!recordLimit(upstreams.beliefs, statement)) return;
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
  state: UpstreamNoticesState,
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
    const until = getSteadyMs() + pauseMs;
    recordPause(upstreams.beliefs, upstreamId, { incarnation, until });
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
export function applyLeavingMessage(state: UpstreamNoticesState, { items }: LeavingMessage): void {
  const news = items.filter((item) => recordLeaving(state.upstreams, item));
  if (news.length === 0) return;
  state.logger.info({ servers: news }, 'upstreams: a peer says that servers leave');
  notifyPoolsOfEngines(state);
}

/** Lists the servers that leave, for a peer that has just been linked. */
export function listToldLeaving({ upstreams }: KnownUpstreams): UpstreamIncarnation[] {
  return listLeaving(upstreams).slice(-MAX_TOLD);
}

/** Finds when the first server that pauses, or has no permit left, may get a request again. */
function findFirstUsableAt(refused: readonly RefusedUpstream[]): number {
  let firstAt = Infinity;
  for (const refusal of refused) {
    if (refusal.reason !== 'leaving') firstAt = Math.min(firstAt, refusal.until);
  }
  return firstAt;
}

/**
 * Returns when callers of a service should come back whose servers leave, pause or have used up
 * their limits, in milliseconds.
 */
export function findRetryAfterMs(
  state: Pick<UpstreamNoticesState, 'upstreams' | 'takeFraction'>,
  service: ServiceName,
): number {
  const now = getSteadyMs();
  const firstUsableAt = findFirstUsableAt(listRefusedUpstreams(state.upstreams, service, now));
  const leastMs = Number.isFinite(firstUsableAt) ? firstUsableAt - now : RETRY_AFTER_LEAVING_MS;
  const spreadMs = Math.max(MIN_PAUSE_SPREAD_MS, PAUSE_SPREAD * leastMs);
  return leastMs + state.takeFraction() * spreadMs;
}

/** Sets the gauges of servers by whether this VM may use them. */
export function updateUpstreamGauge({
  upstreams,
  metrics,
}: Pick<UpstreamNoticesState, 'upstreams' | 'metrics'>): void {
  const now = getSteadyMs();
  const records = [...upstreams.records.values()];
  const counts = { usable: records.length, leaving: 0, paused: 0, 'no-permit': 0 };
  for (const service of new Set(records.map((record) => record.service))) {
    for (const { reason } of listRefusedUpstreams(upstreams, service, now)) {
      counts[reason] += 1;
      counts.usable -= 1;
    }
  }
  for (const [name, count] of Object.entries(counts)) metrics.upstreams.set({ state: name }, count);
  const limited = records.filter((record) => findLimit(upstreams.beliefs, record) !== undefined);
  metrics.limitedUpstreams.set(limited.length);
}
