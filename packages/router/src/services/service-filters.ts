/** Filters for calls of plain services: `/services/NAME/PATH`. */

import { createHash } from 'node:crypto';
import { findRule } from '@tarragonspool/core';
import type { Fingerprint, IdempotencyKey, ServiceName } from '@tarragonspool/protocol';
import {
  ANSWERED,
  CONTINUE,
  refuse,
  type Exchange,
  type Filter,
  type FilterVerdict,
} from '../callers/exchange.js';
import type { Claim, ClaimLedger, ClaimOutcome } from '../claims/claim-ledger.js';
import type { Metrics } from '../metrics/metrics.js';
import type { RulesView } from '../rules/rules-view.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { hasService, type Directory, type ServerEntry } from '../upstreams/directory.js';
import { sendServiceCall, streamServiceCall, type ServiceCall } from './service-call.js';

/** What the service filters work with. */
export type ServiceParts = {
  readonly view: RulesView;
  readonly directory: Directory;
  readonly claims: ClaimLedger;
  readonly metrics: Metrics;
};

const CALL_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Splits `/services/NAME/PATH` into the service and the path that its server sees. */
export function parseServicePath(
  path: string,
): { readonly service: ServiceName; readonly rest: string } | undefined {
  const match = /^\/services\/([A-Za-z0-9._-]+)(\/.*)?$/.exec(path);
  if (match === null) return undefined;
  return { service: match[1] as ServiceName, rest: match[2] ?? '/' };
}

let nextServer = 0;

function findServer(directory: Directory, service: ServiceName): ServerEntry | undefined {
  const usable: ServerEntry[] = [];
  for (const server of directory.servers.values()) {
    if (server.service === service && !server.isLeaving) usable.push(server);
  }
  nextServer += 1;
  return usable[nextServer % Math.max(1, usable.length)];
}

function makeRuleFilter(parts: ServiceParts): Filter {
  return function* applyServiceRule(exchange) {
    const parsed = parseServicePath(exchange.path);
    if (parsed === undefined || exchange.callerId === undefined) {
      return refuse('unknown-path', 'use /services/NAME/PATH');
    }
    const { service } = parsed;
    exchange.rule = findRule(parts.view.ruleSet, exchange.callerId, service);
    if (exchange.rule === undefined) {
      return refuse('not-approved', `no rule lets ${exchange.callerId} reach ${service}`);
    }
    if (!hasService(parts.directory, service)) return refuse('unknown-service', service);
    const key = exchange.incoming.headers['idempotency-key'];
    if (typeof key === 'string' && !KEY_PATTERN.test(key)) {
      return refuse('invalid-request', 'Idempotency-Key: 1 to 128 visible characters');
    }
    if (key === undefined && exchange.rule.isOnce) {
      return refuse('idempotency-key-required', 'a rule says once');
    }
    exchange.idempotencyKey = key as IdempotencyKey | undefined;
    return CONTINUE;
  };
}

function makeCall(parts: ServiceParts, exchange: Exchange): ServiceCall | undefined {
  const parsed = parseServicePath(exchange.path);
  const server = parsed && findServer(parts.directory, parsed.service);
  if (parsed === undefined || server === undefined) return undefined;
  const deadline = Date.now() + CALL_TIMEOUT_MS;
  return { server, agent: parts.directory.agent, path: parsed.rest, deadline };
}

function sendOutcome(exchange: Exchange, outcome: ClaimOutcome, isReplay: boolean): FilterVerdict {
  exchange.response.writeHead(outcome.status, {
    'content-type': outcome.contentType,
    'content-length': Buffer.byteLength(outcome.body),
    ...(isReplay ? { 'idempotent-replayed': 'true' } : {}),
  });
  exchange.response.end(outcome.body);
  return ANSWERED;
}

function makeClaim(exchange: Exchange, key: IdempotencyKey, body: Buffer): Claim | undefined {
  if (exchange.callerId === undefined) return undefined;
  const { method } = exchange.incoming;
  const hash = createHash('sha256').update(`${method} ${exchange.path}\n`).update(body);
  const fingerprint = hash.digest('hex') as Fingerprint;
  return { callerId: exchange.callerId, key, fingerprint, token: exchange.requestId };
}

function* callOnce(parts: ServiceParts, exchange: Exchange, claim: Claim): Task<FilterVerdict> {
  const call = makeCall(parts, exchange);
  if (call === undefined) return refuse('no-upstream', 'no server is live');
  const claimed = yield* awaitPromise(parts.claims.claim(claim));
  switch (claimed.kind) {
    case 'recorded':
      return sendOutcome(exchange, claimed.outcome, true);
    case 'running':
      return refuse('claim-in-progress', 'ask again for its outcome', Date.now() + RETRY_AFTER_MS);
    case 'reused':
      return refuse('key-reused', 'choose another key');
    case 'unavailable':
      return refuse('claim-unavailable', 'the table is away', Date.now() + RETRY_AFTER_MS);
    default:
      break;
  }
  const answer = yield* awaitPromise(
    sendServiceCall(exchange, call, exchange.body ?? Buffer.alloc(0)),
  );
  if (answer.kind !== 'answer') {
    const refusal = { name: 'outcome-unknown', ran: 'unknown', detail: answer.detail } as const;
    return { kind: 'refuse', refusal };
  }
  yield* awaitPromise(parts.claims.record(claim, answer));
  return sendOutcome(exchange, answer, false);
}

function makeOnceFilter(parts: ServiceParts): Filter {
  return function* runOnce(exchange) {
    const { idempotencyKey, body } = exchange;
    if (idempotencyKey === undefined || body === undefined) return CONTINUE;
    const claim = makeClaim(exchange, idempotencyKey, body);
    return claim === undefined ? CONTINUE : yield* callOnce(parts, exchange, claim);
  };
}

function makePassFilter(parts: ServiceParts): Filter {
  return function* passThrough(exchange) {
    const call = makeCall(parts, exchange);
    if (call === undefined) {
      return refuse('no-upstream', 'no server is live', Date.now() + RETRY_AFTER_MS);
    }
    const failure = yield* awaitPromise(streamServiceCall(exchange, call));
    if (failure === undefined || failure.kind === 'answer') {
      parts.metrics.requests.inc({ kind: 'service', result: 'answered' });
      return ANSWERED;
    }
    const ran = failure.kind === 'unsent' ? 'not-run' : 'unknown';
    return { kind: 'refuse', refusal: { name: 'upstream-failed', ran, detail: failure.detail } };
  };
}

/** Makes the filters behind authentication, in order. `readBody` reads bodies of keyed calls. */
export function makeServiceFilters(parts: ServiceParts, readBody: Filter): readonly Filter[] {
  function* readKeyedBody(exchange: Exchange): Task<FilterVerdict> {
    return exchange.idempotencyKey === undefined ? CONTINUE : yield* readBody(exchange);
  }
  return [makeRuleFilter(parts), readKeyedBody, makeOnceFilter(parts), makePassFilter(parts)];
}
