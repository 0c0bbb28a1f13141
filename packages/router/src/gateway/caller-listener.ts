/** Accepts requests of callers: reads the body, finds the route and starts the request's task. */

import { createHash } from 'node:crypto';
import { createServer, type Server, type ServerResponse } from 'node:http';
import {
  chooseService,
  countRequest,
  findRank,
  findRoute,
  type Route,
  type Tenant,
} from '@tarragonspool/core';
import type { ContentKey, ServiceName } from '@tarragonspool/protocol';
import { readInTurns } from '../intake/read-turns.js';
import { countHeadBytes } from '../intake/head-bytes.js';
import { makeChannel, offer, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { runCallRequest } from './call-flow.js';
import {
  DEFAULT_DEADLINE_MS,
  recordHeldBody,
  NOT_HELD_RETRY_AFTER_MS,
  readBody,
  recordCallerCut,
  type Arrival,
} from './caller-body.js';
import { followCallerConnections } from './caller-connections.js';
import { followCallerFraming } from '../intake/caller-framing.js';
import { checkCallerKey, findSender } from './caller-keys.js';
import { admitByQuota } from './caller-quota.js';
import { makeCallerReply, type BeginUnread, type CallerReply } from './caller-reply.js';
import { makeCallerTurns } from '../intake/caller-turns.js';
import { REQUEST_INBOX_CAPACITY, type GatewayRequest } from './gateway-request.js';
import { findRetryWindow, getRetryLimits, type GatewayState } from './gateway-state.js';
import type { CallerFields } from './ports.js';
import { findQuarantineReason } from './quarantine/quarantine-check.js';
import {
  buildContent,
  digestContent,
  makeScope,
  scopePart,
} from './quarantine/quarantine-scope.js';
import { recordSizeCut } from '../intake/size-cuts.js';
import { runStreamRequest } from './stream-flow.js';

const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Idle connections stay open a little longer than callers reuse them. */
const IDLE_TIMEOUT_SLACK_MS = 1_000;
const MAX_HEADER_BYTES = 65_536;
const NOT_READY_RETRY_AFTER_MS = 500;
const LEAVING_RETRY_AFTER_MS = 200;
/** A content that may have crashed two servers is judged within this time. */
const VERDICT_RETRY_AFTER_MS = 500;
/** Further parts of a prompt are not told apart when engines crash. */
const MAX_SHARED_PARTS = 128;
/** The answer to a request that times out is sent this long before its deadline. */
const TIMEOUT_MARGIN_MS = 15;

function chooseRouteService(state: GatewayState, route: Route): ServiceName | undefined {
  return chooseService(route, state.takeFraction());
}

/** Characters of a digest, six bits each, that are kept. */
const CONTENT_KEY_LENGTH = 24;

function digestPrompt(path: string, { promptKey, requestId }: CallerFields): ContentKey {
  const digest = createHash('sha256').update(`${path} ${promptKey ?? requestId}`);
  return digest.digest('base64').slice(0, CONTENT_KEY_LENGTH) as ContentKey;
}

function buildRequest(
  state: GatewayState,
  { incoming, reply, arrivedAt }: Arrival,
  route: Route,
  service: ServiceName,
  tenant: Tenant | undefined,
  body: Buffer,
): GatewayRequest {
  const fields = state.ports.dialect.decodeCallerFields(incoming.headers);
  const { method = 'GET', url: path = '/' } = incoming;
  const scope = makeScope(route.host, service);
  const shared = fields.promptParts.slice(0, -1).slice(0, MAX_SHARED_PARTS);
  const remainingMs = Math.min(fields.leftMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
  return {
    fields,
    route,
    service,
    tenant,
    sender: findSender(state, tenant),
    rank: findRank(tenant, route.priority),
    configurationVersion: state.configuration?.version ?? 0,
    method,
    path,
    rawHeaders: incoming.rawHeaders,
    body,
    content: buildContent(scope, digestContent(method, path, body)),
    contentKey: digestPrompt(path, fields),
    sharedParts: shared.map((part) => scopePart(scope, part)),
    arrivedAt,
    deadlineAt: arrivedAt + Math.max(1, remainingMs - TIMEOUT_MARGIN_MS),
    aimAt: arrivedAt + route.targetLatencyMs,
    reply,
    inbox: makeChannel(REQUEST_INBOX_CAPACITY),
  };
}

function isEngineRoute(state: GatewayState, request: GatewayRequest): boolean {
  const hasEngines = state.configuration?.services.get(request.service)?.engine !== undefined;
  return hasEngines && request.route.kind === 'stream' && request.fields.promptTokens !== undefined;
}

function runRequest(state: GatewayState, request: GatewayRequest): Task {
  return isEngineRoute(state, request)
    ? runStreamRequest(state, request)
    : runCallRequest(state, request);
}

function recordAnswer(
  state: GatewayState,
  request: GatewayRequest,
  response: ServerResponse,
): void {
  const tookMs = getSteadyMs() - request.arrivedAt;
  const { kind, name } = request.route;
  const isComplete = response.writableFinished;
  const breakReason = request.reply.getBreakReason();
  const cutBy = breakReason === undefined ? 'cut' : 'broken-off';
  const outcome = isComplete ? String(response.statusCode) : cutBy;
  const { requestId } = request.fields;
  state.logger.info(
    { requestId, route: name, tenant: request.tenant?.name, outcome, breakReason, tookMs },
    'requests: answer ended',
  );
  state.metrics.answers.inc({ kind, outcome });
  state.metrics.answerSeconds.observe({ kind }, tookMs / 1_000);
}

function startRequest(
  state: GatewayState,
  request: GatewayRequest,
  response: ServerResponse,
): void {
  const { inbox, reply } = request;
  const timer = setTimeout(
    () => offer(inbox, { kind: 'timed-out' }),
    Math.max(0, request.deadlineAt - getSteadyMs()),
  );
  response.on('close', () => {
    clearTimeout(timer);
    recordAnswer(state, request, response);
    if (!response.writableFinished) offer(inbox, { kind: 'caller-gone' });
  });
  const window = findRetryWindow(state, request.service);
  countRequest(window, getRetryLimits(state), getSteadyMs());
  startTask(
    'request',
    () => runRequest(state, request),
    (_name, error) => {
      if (error === undefined) return;
      const { requestId } = request.fields;
      state.logger.error({ requestId, err: error }, 'requests: request task failed');
      if (reply.getState() === 'begun') reply.breakOff('task-failed');
      else reply.refuse('outcome-unknown');
    },
  );
}

function routeRequest(
  state: GatewayState,
  arrival: Arrival,
  body: Buffer,
  response: ServerResponse,
): void {
  const { incoming } = arrival;
  if (state.configuration === undefined || !state.hasUpstreams) {
    arrival.reply.refuse('not-ready', NOT_READY_RETRY_AFTER_MS);
    return;
  }
  const { host = '' } = incoming.headers;
  const [path = ''] = (incoming.url ?? '').split('?');
  const route = findRoute(state.routes, host, path);
  const service = route && chooseRouteService(state, route);
  if (route === undefined || service === undefined) {
    const requestId = incoming.headers['request-id'];
    const { version } = state.configuration;
    state.logger.info(
      { requestId, host, path, version },
      'requests: no route matches the host and path',
    );
    arrival.reply.refuse('unknown-path');
    return;
  }
  const check = checkCallerKey(state, route, incoming);
  if (check.kind === 'refused') {
    arrival.reply.refuse(check.reason);
    return;
  }
  const reply = admitByQuota(state, check.tenant, incoming.headers, arrival.reply);
  if (reply === undefined) return;
  if (route.kind === 'stream' && getSteadyMs() > state.refuseStreamsAfter) {
    reply.refuse('not-ready', LEAVING_RETRY_AFTER_MS);
    return;
  }
  const request = buildRequest(state, { ...arrival, reply }, route, service, check.tenant, body);
  if (!state.partGuard.hasCaughtUp()) {
    const { requestId } = request.fields;
    state.logger.info({ requestId }, 'quarantine: request refused, the rows are not read yet');
    reply.refuse('not-ready', NOT_READY_RETRY_AFTER_MS);
    return;
  }
  state.partGuard.recordArrival(request.service, request.sharedParts);
  const reason = findQuarantineReason(state, request);
  if (reason !== undefined) {
    const { requestId } = request.fields;
    state.logger.warn({ requestId, reason }, 'quarantine: request refused');
    state.metrics.quarantined.inc({ reason: reason.kind });
    reply.refuse('quarantined');
    return;
  }
  if (state.contentGuard.isAwaitingVerdict(request.content.fingerprint)) {
    const { requestId } = request.fields;
    state.logger.info({ requestId }, 'quarantine: request refused until its content is judged');
    reply.refuse('content-in-doubt', VERDICT_RETRY_AFTER_MS);
    return;
  }
  startRequest(state, request, response);
}

/** Counts a request from its head to the end of its answer: a stop waits for it. */
function countOpen(state: GatewayState, reply: CallerReply, response: ServerResponse): void {
  state.openRequests += 1;
  state.openReplies.add(reply);
  state.unreadReplies.add(reply);
  response.on('close', () => {
    state.openRequests -= 1;
    state.openReplies.delete(reply);
    state.unreadReplies.delete(reply);
  });
}

/** Counts the head of a request until its answer ends; false if there is no room for it. */
function admitHead(
  { heldBytes }: GatewayState,
  headBytes: number,
  response: ServerResponse,
): boolean {
  const held = heldBytes.begin('head');
  held.update(headBytes);
  response.once('close', held.end);
  return heldBytes.hasRoomForHeads();
}

/** Makes the HTTP server for callers; it does not listen yet. */
export function makeCallerListener(state: GatewayState): Server {
  const { heldBytes } = state;
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES });
  const connections = followCallerConnections(server, state);
  const turns = readInTurns(server, {
    getMaxWaitingBytes: state.getUnparsedLimit,
    onTooManyBytes: connections.closeForMemory,
    onParsed: (socket, bytes) => {
      connections.recordParsed(socket, bytes);
      state.memoryWatch.recordTaken(bytes);
    },
  });
  const awaitTurn = makeCallerTurns({
    onTooMany: (incoming) =>
      recordCallerCut(state, incoming, { part: 'requests', reason: 'pieces', bytes: 0 }),
    beginHeads: (socket) =>
      heldBytes.begin('head', (bytes) => connections.closeForMemory(socket, bytes)),
    setSuspended: turns.setSuspended,
  });
  const framing = followCallerFraming(server, ({ remoteAddress: caller }, bytes) =>
    recordSizeCut(state, { part: 'requests', reason: 'framing', bytes, caller }),
  );
  const followers = { framing, connections };
  server.on('request', (incoming, response) => {
    const beginUnread: BeginUnread = (giveUp) =>
      heldBytes.begin('unread-answer', (bytes) => {
        recordCallerCut(state, incoming, { part: 'unread-answer', reason: 'memory', bytes });
        giveUp();
      });
    const reply = makeCallerReply(response, () => state.isLeaving, beginUnread);
    const arrival = { incoming, reply, arrivedAt: getSteadyMs() };
    const headBytes = countHeadBytes(incoming);
    state.memoryWatch.recordTaken(headBytes);
    framing.recordRequest(incoming);
    connections.recordRequest(incoming, response);
    response.on('error', (error) =>
      state.logger.debug({ err: error }, 'requests: answer could not be sent'),
    );
    awaitTurn(incoming, response, () => {
      countOpen(state, reply, response);
      if (!admitHead(state, headBytes, response)) {
        recordCallerCut(state, incoming, { part: 'head', reason: 'memory', bytes: headBytes });
        reply.refuse('body-not-held', NOT_HELD_RETRY_AFTER_MS);
      }
      readBody(state, arrival, followers, (body) => {
        connections.recordRunning(incoming, response);
        state.unreadReplies.delete(reply);
        recordHeldBody(state, body, response);
        routeRequest(state, arrival, body, response);
      });
    });
  });
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS + IDLE_TIMEOUT_SLACK_MS;
  server.requestTimeout = 0;
  return server;
}

/** Node reads this property as each connection opens. */
type HeadLimitedServer = Server & { maxHeaderSize: number };

/** Applies the configuration's limits to connections of callers. */
export function applyCallerLimits(server: Server, state: GatewayState): void {
  const limits = state.configuration?.limits;
  if (limits === undefined) return;
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_SLACK_MS;
  (server as HeadLimitedServer).maxHeaderSize = limits.maxHeaderBytes;
}
