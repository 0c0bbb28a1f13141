/** Filters for calls of plain services: `/services/NAME/PATH`. */

import { Agent } from 'node:http';
import { findRule, isDispatchAllowed } from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import {
  ANSWERED,
  CONTINUE,
  refuse,
  type Exchange,
  type Filter,
  type FilterVerdict,
} from '../callers/exchange.js';
import type { LedgerInbox } from '../claims/claim-ledger.js';
import {
  KEY_FORMAT,
  makeAnsweredEnding,
  readIdempotencyKey,
  refuseExpiredDispatch,
  runOnce,
  type DispatchPermit,
  type OnceResult,
} from '../claims/run-once.js';
import type { Invariants } from '../invariants/invariants.js';
import { recordAnswered } from '../journal/request-trace.js';
import type { Metrics } from '../metrics/metrics.js';
import type { RulesView } from '../rules/rules-view.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { hasService, type Directory } from '../upstreams/directory.js';
import {
  addAvoidedServer,
  chooseServer,
  makeServerChoice,
  type ServerChoice,
} from './server-choice.js';
import {
  createCall,
  sendServiceCall,
  streamServiceCall,
  type OpenCall,
  type ServiceAnswer,
} from './service-call.js';

/** Dependencies of the service filters. */
export type ServiceParts = {
  readonly view: RulesView;
  readonly directory: Directory;
  readonly claims: LedgerInbox;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
};

type ServiceContext = ServiceParts & {
  readonly choice: ServerChoice;
  /**
   * Opens a new connection for each call, so that no call reuses one that the server has closed.
   */
  readonly freshAgent: Agent;
};

const DISPATCH_TIMEOUT_MS = 3_000;
const CALL_TIMEOUT_MS = 10_000;
const RETRY_AFTER_MS = 1_000;
const MAX_SERVERS_TRIED = 3;

/** Splits `/services/NAME/PATH` into the service name and the path sent to its server. */
export function parseServicePath(
  path: string,
): { readonly service: ServiceName; readonly rest: string } | undefined {
  const match = /^\/services\/([A-Za-z0-9._-]+)(\/.*)?$/.exec(path);
  if (match === null) return undefined;
  return { service: match[1] as ServiceName, rest: match[2] ?? '/' };
}

function makeRuleFilter(parts: ServiceParts): Filter {
  return function* applyServiceRule(exchange) {
    const parsed = parseServicePath(exchange.path);
    if (parsed === undefined || exchange.callerId === undefined) {
      return refuse('unknown-path', 'use /services/NAME/PATH');
    }
    const { service } = parsed;
    exchange.trace.service = service;
    exchange.rule = findRule(parts.view.ruleSet, exchange.callerId, service);
    if (exchange.rule === undefined) {
      return refuse('not-approved', `no rule lets ${exchange.callerId} reach ${service}`);
    }
    if (!hasService(parts.directory, service)) return refuse('unknown-service', service);
    const key = readIdempotencyKey(exchange);
    if (key === 'malformed') {
      return refuse('invalid-request', KEY_FORMAT);
    }
    if (key === undefined && exchange.rule.isOnce) {
      return refuse('idempotency-key-required', 'the rule for this service says once');
    }
    exchange.idempotencyKey = key;
    return CONTINUE;
  };
}

/** Connects to servers in turn until one accepts; sends nothing. */
function* openCall(
  context: ServiceContext,
  exchange: Exchange,
  agent: Agent,
  deadline: number,
): Task<OpenCall | undefined> {
  const parsed = parseServicePath(exchange.path);
  if (parsed === undefined) return undefined;
  const { choice, directory } = context;
  const tried: UpstreamId[] = [];
  while (tried.length < MAX_SERVERS_TRIED && Date.now() < deadline) {
    const server = chooseServer(choice, directory, parsed.service, tried, Date.now());
    if (server === undefined) return undefined;
    tried.push(server.upstreamId);
    const call = { server, agent, path: parsed.rest, deadline };
    const opened = yield* awaitPromise(createCall(exchange, call));
    if (opened.kind === 'open') return opened.call;
    addAvoidedServer(choice, server.upstreamId, Date.now());
  }
  return undefined;
}

function refuseNoServer(): FilterVerdict {
  return refuse(
    'no-upstream',
    'no server of this service accepted a connection',
    Date.now() + RETRY_AFTER_MS,
  );
}

function sendAnswer({ response, trace }: Exchange, answer: ServiceAnswer): FilterVerdict {
  switch (answer.kind) {
    case 'answer':
      response.writeHead(answer.status, {
        'content-type': answer.contentType,
        'content-length': answer.body.length,
      });
      response.end(answer.body);
      recordAnswered(trace, Date.now());
      return ANSWERED;
    case 'too-large': {
      const detail = 'the call ran; its answer is too large to pass on';
      return { kind: 'refuse', refusal: { name: 'upstream-failed', ran: 'ran', detail } };
    }
    default: {
      const { detail } = answer;
      return { kind: 'refuse', refusal: { name: 'outcome-unknown', ran: 'unknown', detail } };
    }
  }
}

function makeEnding(answer: ServiceAnswer): OnceResult['ending'] {
  switch (answer.kind) {
    case 'answer':
      return makeAnsweredEnding(answer.status, answer.contentType, answer.body);
    case 'too-large':
      return { kind: 'answer-not-kept' };
    default:
      return { kind: 'unknown' };
  }
}

function* runClaimedCall(
  context: ServiceContext,
  exchange: Exchange,
  permit: DispatchPermit,
): Task<OnceResult> {
  const deadline = permit.dispatchDeadline + CALL_TIMEOUT_MS;
  const { freshAgent } = context;
  const call = yield* openCall(context, exchange, freshAgent, permit.dispatchDeadline);
  if (call === undefined) return { ending: { kind: 'not-run' }, verdict: refuseNoServer() };
  if (!isDispatchAllowed(permit, Date.now())) {
    call.outgoing.destroy();
    return refuseExpiredDispatch();
  }
  const sentAt = Date.now();
  context.invariants.assert(isDispatchAllowed(permit, sentAt), 'claim-held', { sentAt });
  const body = exchange.body ?? Buffer.alloc(0);
  const answer = yield* awaitPromise(sendServiceCall(call, body, deadline));
  return { ending: makeEnding(answer), verdict: sendAnswer(exchange, answer) };
}

function makeOnceFilter(context: ServiceContext): Filter {
  return function* runServiceOnce(exchange) {
    const { idempotencyKey: key, callerId } = exchange;
    if (key === undefined || callerId === undefined) return CONTINUE;
    const dispatchDeadline = Date.now() + DISPATCH_TIMEOUT_MS;
    return yield* runOnce(context.claims, callerId, exchange, {
      key,
      dispatchDeadline,
      answerDeadline: dispatchDeadline + CALL_TIMEOUT_MS,
      run: (permit) => runClaimedCall(context, exchange, permit),
    });
  };
}

function makeForwardFilter(context: ServiceContext): Filter {
  return function* forwardCall(exchange) {
    const deadline = Date.now() + CALL_TIMEOUT_MS;
    const { agent } = context.directory;
    const call = yield* openCall(context, exchange, agent, deadline);
    if (call === undefined) return refuseNoServer();
    const detail = yield* awaitPromise(streamServiceCall(exchange, call, deadline));
    if (detail === undefined) {
      context.metrics.requests.inc({ kind: 'service', result: 'answered' });
      recordAnswered(exchange.trace, Date.now());
      return ANSWERED;
    }
    return { kind: 'refuse', refusal: { name: 'upstream-failed', ran: 'unknown', detail } };
  };
}

/** Makes the filters that run after authentication; `readBody` reads the bodies of keyed calls. */
export function makeServiceFilters(parts: ServiceParts, readBody: Filter): readonly Filter[] {
  const freshAgent = new Agent({ keepAlive: false });
  const context: ServiceContext = { ...parts, choice: makeServerChoice(), freshAgent };
  function* readKeyedBody(exchange: Exchange): Task<FilterVerdict> {
    return exchange.idempotencyKey === undefined ? CONTINUE : yield* readBody(exchange);
  }
  return [
    makeRuleFilter(parts),
    readKeyedBody,
    makeOnceFilter(context),
    makeForwardFilter(context),
  ];
}
