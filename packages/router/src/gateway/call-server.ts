/** Chooses the server of a call, and gets a permit where it limits its requests. */

import {
  chooseServer,
  chooseSharedServer,
  findLimit,
  findPermitWaitEnd,
  listUsableUpstreams,
  recordPermitWait,
  type ClearedUpstream,
  type LimitedUpstream,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import type { PermitReply, PermitRequestId } from '../pools/permit-messages.js';
import { requestPermit } from '../pools/pool-task.js';
import { offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import { findLoad, type GatewayState } from './gateway-state.js';
import { askRequestSend } from './send-question.js';
import type { RequestEnd } from './sender.js';

/** Result of the choice: a server that the call may be sent to now, or none. */
export type CallServer =
  | { readonly kind: 'chosen'; readonly server: ClearedUpstream }
  | { readonly kind: 'none' }
  /** The content of the call has come into quarantine. */
  | { readonly kind: 'quarantined' }
  | RequestEnd;

function findServerLimit(
  { upstreams }: GatewayState,
  server: UpstreamRecord,
): LimitedUpstream | undefined {
  const { upstreamId, incarnation } = server;
  const requestsPerSecond = findLimit(upstreams.beliefs, server);
  return requestsPerSecond === undefined
    ? undefined
    : { upstreamId, incarnation, requestsPerSecond };
}

/** Lists the servers that may get the call, without those whose limit is known to be used up. */
export function listCandidates(state: GatewayState, { service }: GatewayRequest): UpstreamRecord[] {
  const now = getSteadyMs();
  const usable = listUsableUpstreams(state.upstreams, service, now);
  return usable.filter((server) => {
    if (findServerLimit(state, server) === undefined) return true;
    return findPermitWaitEnd(state.upstreams.beliefs, server, now) === undefined;
  });
}

/** Only an answer ends a limit, so a server that was not heard for this long gets the next call. */
const LIMIT_CHECK_MS = 2_000;

/** Finds a server of which it is not known any more whether its limit still holds. */
function findUnheardServer(
  { upstreams: { beliefs } }: GatewayState,
  servers: readonly UpstreamRecord[],
  tried: ReadonlySet<UpstreamId>,
): UpstreamRecord | undefined {
  const heardBefore = getSteadyMs() - LIMIT_CHECK_MS;
  return servers.find((server) => {
    const { upstreamId } = server;
    if (tried.has(upstreamId) || findLimit(beliefs, server) === undefined) return false;
    return (beliefs.get(upstreamId)?.limit?.heardAt ?? Infinity) < heardBefore;
  });
}

function chooseCandidate(
  state: GatewayState,
  service: ServiceName,
  servers: readonly UpstreamRecord[],
  tried: ReadonlySet<UpstreamId>,
): UpstreamRecord | undefined {
  const unheard = findUnheardServer(state, servers, tried);
  if (unheard !== undefined) return unheard;
  const { loads, settings, takeFraction, sharedLoads } = state;
  const { dataCentre } = settings;
  const now = getSteadyMs();
  const choice = { servers, loads, dataCentre, takeFraction, now };
  const summary = sharedLoads.findSummary(service, now)?.servers;
  const countSentSince = (upstreamId: UpstreamId): number =>
    sharedLoads.countSentSince(service, upstreamId);
  const chooseFrom = (excluded: ReadonlySet<UpstreamId>): UpstreamRecord | undefined =>
    summary === undefined
      ? chooseServer({ ...choice, excluded })
      : chooseSharedServer({ ...choice, excluded, summary, countSentSince });
  return chooseFrom(tried) ?? chooseFrom(new Set());
}

/**
 * Finds a server that the call would be sent to now. The choice is random: the call may be sent to
 * another one.
 */
export function findNextCandidate(
  state: GatewayState,
  request: GatewayRequest,
  tried: ReadonlySet<UpstreamId>,
): UpstreamRecord | undefined {
  return chooseCandidate(state, request.service, listCandidates(state, request), tried);
}

/**
 * Finds how long a call may wait for its permit: as long as its answer can still meet the latency
 * target, where no other server takes it at once.
 */
function findLatestPermit(
  state: GatewayState,
  { aimAt }: GatewayRequest,
  candidates: readonly UpstreamRecord[],
  { upstreamId }: UpstreamRecord,
): number {
  const now = getSteadyMs();
  const hasOpen = candidates.some((server) => findServerLimit(state, server) === undefined);
  return hasOpen ? now : Math.max(now, aimAt - findLoad(state, upstreamId).answerMs);
}

function* awaitPermit(
  state: GatewayState,
  request: GatewayRequest,
  servers: readonly LimitedUpstream[],
  latestAt: number,
): Task<PermitReply | RequestEnd> {
  const { inbox, service } = request;
  state.permitRequestCount += 1;
  const permitRequestId = `${state.processStartId}/${state.permitRequestCount}` as PermitRequestId;
  const ranking = state.fleet.findRankingName(service);
  const onReply = (reply: PermitReply): void => {
    offer(inbox, { kind: 'permit', reply });
  };
  requestPermit(state.pools, { permitRequestId, ranking, servers, latestAt, onReply });
  for (;;) {
    const message = yield* receive(inbox);
    if (message === undefined) return { kind: 'caller-gone' };
    if (message.kind === 'caller-gone' || message.kind === 'timed-out') return message;
    const isReply = message.kind === 'permit' && message.reply.permitRequestId === permitRequestId;
    if (isReply) return message.reply;
  }
}

function recordPermit(
  state: GatewayState,
  { fields: { requestId } }: GatewayRequest,
  servers: readonly LimitedUpstream[],
  reply: PermitReply,
): void {
  state.metrics.permits.inc({ outcome: reply.kind });
  state.logger.debug({ requestId, servers, reply }, 'permits: request for a permit answered');
  if (reply.kind === 'permitted') return;
  const until = reply.retryAt;
  for (const { upstreamId, incarnation } of servers) {
    recordPermitWait(state.upstreams.beliefs, upstreamId, { incarnation, until });
  }
}

/** Asks whether a chosen server may get the call now; undefined if another one is to be chosen. */
function askCallSend(
  state: GatewayState,
  request: GatewayRequest,
  upstreamId: UpstreamId,
  hasPermit: boolean,
): CallServer | undefined {
  const clearance = askRequestSend(state, request, { upstreamId, hasPermit });
  if (clearance.kind === 'cleared') return { kind: 'chosen', server: clearance.server };
  return clearance.refusal.reason === 'quarantined' ? { kind: 'quarantined' } : undefined;
}

/**
 * Chooses a server that may get the call now. Waits for a permit if a server with a limit is the
 * best one.
 */
export function* chooseCallServer(
  state: GatewayState,
  request: GatewayRequest,
  tried: ReadonlySet<UpstreamId>,
): Task<CallServer> {
  for (;;) {
    const candidates = listCandidates(state, request);
    const server = chooseCandidate(state, request.service, candidates, tried);
    if (server === undefined) return { kind: 'none' };
    if (findServerLimit(state, server) === undefined) {
      const asked = askCallSend(state, request, server.upstreamId, false);
      if (asked !== undefined) return asked;
      continue;
    }
    const untried = candidates.filter(({ upstreamId }) => !tried.has(upstreamId));
    const limited = (untried.length > 0 ? untried : candidates)
      .map((candidate) => findServerLimit(state, candidate))
      .filter((limit) => limit !== undefined);
    const latestAt = findLatestPermit(state, request, candidates, server);
    const reply = yield* awaitPermit(state, request, limited, latestAt);
    if (reply.kind === 'caller-gone' || reply.kind === 'timed-out') return reply;
    recordPermit(state, request, limited, reply);
    if (reply.kind === 'not-permitted') continue;
    const asked = askCallSend(state, request, reply.upstreamId, true);
    if (asked !== undefined) return asked;
  }
}
