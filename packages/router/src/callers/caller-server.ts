/** HTTP interface for callers and for the platform's balancer. */

import { randomUUID } from 'node:crypto';
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { getResultCode, type Refusal, type RequestId } from '@tarragonspool/protocol';
import { buildProblem, sendRefusal } from '../http/refusals.js';
import type { RequestJournal } from '../journal/request-journal.js';
import {
  makeRequestTrace,
  recordAnswered,
  recordRefused,
  type RequestTrace,
} from '../journal/request-trace.js';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { startTask, type Task } from '../tasks/tasks.js';
import { makeServer, type TlsSource } from '../tls/make-server.js';
import { refuse, runFilters, type Exchange, type Filter } from './exchange.js';

/** Chains of filters by kind of path. */
export type CallerRoutes = {
  readonly chat: readonly Filter[];
  readonly models: readonly Filter[];
  readonly service: readonly Filter[];
};

/** What the caller interface works with. */
export type CallerServerParts = {
  readonly routes: CallerRoutes;
  readonly tls?: TlsSource;
  readonly isReady: () => boolean;
  readonly journal?: RequestJournal;
  /** Hears of each request once it has ended. */
  readonly onEnded?: (trace: RequestTrace) => void;
  /** While it is true, answers ask callers to close their connections. */
  readonly isLeaving: () => boolean;
  /** How long an idle connection is kept, in milliseconds. */
  readonly keepAliveMs: number;
  readonly metrics: Metrics;
  readonly logger: Logger;
};

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const CONNECTION_CHECK_INTERVAL_MS = 2_000;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{8,128}$/;

function makeRequestId(incoming: IncomingMessage): RequestId {
  const given = incoming.headers['x-request-id'];
  const isUsable = typeof given === 'string' && REQUEST_ID_PATTERN.test(given);
  return (isUsable ? given : randomUUID()) as RequestId;
}

function findFilters(routes: CallerRoutes, method: string, path: string): readonly Filter[] {
  if (method === 'POST' && path === '/v1/chat/completions') return routes.chat;
  if (method === 'GET' && path === '/v1/models') return routes.models;
  if (path.startsWith('/services/')) return routes.service;
  return [
    function* refusePath() {
      return refuse('unknown-path', `${method} ${path}`);
    },
  ];
}

function sendHealth(response: ServerResponse, isGood: boolean): void {
  response.statusCode = isGood ? 200 : 503;
  response.end(isGood ? 'ok\n' : 'not ready\n');
}

function findParserRefusal(error: NodeJS.ErrnoException): Pick<Refusal, 'name' | 'detail'> {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW':
      return { name: 'headers-too-large', detail: `at most ${MAX_HEADER_BYTES} bytes` };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return { name: 'body-timeout', detail: 'the request did not arrive in time' };
    default:
      return { name: 'invalid-request', detail: 'not valid HTTP' };
  }
}

function sendParserError(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { name, detail } = findParserRefusal(error);
  const { status } = getResultCode(name);
  const body = JSON.stringify(buildProblem({ name, ran: 'not-run', detail }));
  socket.end(
    `HTTP/1.1 ${status} Refused\r\nconnection: close\r\n` +
      `content-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/** Makes the server; the caller of this function starts to listen. */
export function makeCallerServer(parts: CallerServerParts): Server {
  const { routes, logger, metrics } = parts;

  function* runExchange(exchange: Exchange): Task {
    const { incoming, response, requestId } = exchange;
    const filters = findFilters(routes, incoming.method ?? 'GET', exchange.path);
    const verdict = yield* runFilters(filters, exchange);
    const { trace } = exchange;
    if (exchange.callerId !== undefined) trace.callerId = exchange.callerId;
    if (verdict.kind === 'refuse') recordRefused(trace, verdict.refusal, Date.now());
    else if (trace.endedAt === undefined) recordAnswered(trace, Date.now());
    parts.onEnded?.(trace);
    if (verdict.kind !== 'refuse') return;
    const { refusal } = verdict;
    metrics.requests.inc({ kind: 'refused', result: refusal.name });
    if (!incoming.complete) response.setHeader('connection', 'close');
    sendRefusal(response, refusal, Date.now(), requestId);
  }

  function handleRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const path = incoming.url ?? '/';
    if (path === '/healthz') {
      sendHealth(response, true);
      return;
    }
    if (path === '/readyz') {
      sendHealth(response, parts.isReady());
      return;
    }
    const requestId = makeRequestId(incoming);
    response.setHeader('x-request-id', requestId);
    const arrivedAt = Date.now();
    const trace = makeRequestTrace(requestId, arrivedAt, path);
    parts.journal?.add(trace);
    if (parts.isLeaving()) response.setHeader('connection', 'close');
    const exchange: Exchange = {
      incoming,
      response,
      requestId,
      arrivedAt,
      path,
      trace,
      callerId: undefined,
      rule: undefined,
      body: undefined,
      idempotencyKey: undefined,
    };
    startTask(
      'request',
      () => runExchange(exchange),
      (_name, error) => {
        if (error === undefined) return;
        logger.error({ err: error, requestId }, 'callers: request failed');
        const refusal = { name: 'internal-error', ran: 'unknown', detail: 'see the log' } as const;
        recordRefused(trace, refusal, Date.now());
        parts.onEnded?.(trace);
        sendRefusal(response, refusal, Date.now(), requestId);
        response.destroy();
      },
    );
  }

  const server = makeServer(
    parts.tls,
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    },
    handleRequest,
  );
  server.keepAliveTimeout = parts.keepAliveMs;
  server.on('clientError', sendParserError);
  return server;
}
