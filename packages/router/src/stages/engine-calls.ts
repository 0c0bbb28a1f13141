/** Calls to an engine outside of requests: reading its report, and ordering it to change its stage. */

import { askSend, makeByteCollector, type ClearedUpstream } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { GatewayState } from '../gateway/gateway-state.js';
import type { EngineReport, OrderAnswer, StageOrder } from '../gateway/ports.js';
import { recordSizeCut } from '../intake/size-cuts.js';
import { recordNotice } from '../gateway/upstream-notices.js';
import { findExcess, type Excess } from '../http/size-limit.js';
import { makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type {
  UpstreamCall,
  UpstreamEvent,
  UpstreamExchange,
} from '../upstreams/upstream-client.js';

const CALL_TIMEOUT_MS = 500;
const MAX_ANSWER_BYTES = 1_048_576;
const HTTP_OK = 200;
/** The first one may be reset at once, by an engine that has as many connections as it takes. */
const MAX_LIFE_CALLS = 2;
/** Each call has this time at least, also at the deadline and after this process stood still. */
const MIN_LIFE_CALL_MS = 100;

type EngineCall = Omit<UpstreamCall, 'address' | 'requestId'>;
type CallAnswer = { readonly status: number; readonly body: Buffer };
/** Sends a call and reports what happens to it. */
type SendCall = (call: EngineCall, onEvent: (event: UpstreamEvent) => void) => UpstreamExchange;

/** Makes a sender of calls over connections of this VM alone. */
function makeDirectSender({ engineClient }: GatewayState, { address }: ClearedUpstream): SendCall {
  return (call, onEvent) => engineClient.send({ ...call, address, requestId: undefined }, onEvent);
}

/** Makes a sender of calls that may go by way of a peer, as requests do. */
function makeRoutedSender({ access }: GatewayState, server: ClearedUpstream): SendCall {
  const onSent = (): void => undefined;
  return (call, onEvent) =>
    access.client.send({ ...call, server, requestId: undefined, onSent }, onEvent);
}

/** Calls an engine once; returns undefined if no complete answer arrives before the timeout. */
function* callEngine(
  state: GatewayState,
  engine: ClearedUpstream,
  call: EngineCall,
  send: SendCall,
  timeoutMs = CALL_TIMEOUT_MS,
): Task<CallAnswer | undefined> {
  const outcome = makeChannel<CallAnswer | 'failed'>(1);
  const body = makeByteCollector();
  let status = 0;
  const origin = { requestId: undefined, sentAt: getSteadyMs(), isIdentified: false };
  const cutOff = (reason: Excess): void => {
    const { upstreamId } = engine;
    const bytes = body.countBytes();
    recordSizeCut(state, { part: 'engine-call', reason, bytes, upstreamId });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- no event comes before it is set
    exchange.abort('answer too large');
  };
  const exchange = send(call, (event) => {
    if (event.kind === 'data') {
      body.append(event.chunk);
      const excess = findExcess(body, MAX_ANSWER_BYTES);
      if (excess !== undefined) cutOff(excess);
    } else if (event.kind === 'head') {
      status = event.status;
      const { notice } = state.ports.dialect.decodeUpstreamHead(status, event.headers);
      recordNotice(state, origin, engine, notice);
    } else if (event.kind === 'ended') offer(outcome, { status, body: body.take() });
    else {
      const { isSent, reason } = event;
      const { upstreamId } = engine;
      state.logger.info({ upstreamId, path: call.path, isSent, reason }, 'stages: call failed');
      offer(outcome, 'failed');
    }
  });
  const timer = setTimeout(() => {
    exchange.cancel();
    offer(outcome, 'failed');
  }, timeoutMs);
  const answer = yield* receive(outcome);
  clearTimeout(timer);
  return answer === 'failed' ? undefined : answer;
}

function buildHeaders(state: GatewayState, engine: ClearedUpstream, body: Buffer): string[] {
  const headers = ['Host', engine.address];
  const instance = state.ports.dialect.makeInstanceHeaders(engine.upstreamId);
  for (const [name, value] of Object.entries(instance)) headers.push(name, value);
  if (body.length > 0) {
    headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length));
  }
  return headers;
}

function buildReportCall(state: GatewayState, engine: ClearedUpstream): EngineCall {
  const body = Buffer.alloc(0);
  const headers = buildHeaders(state, engine, body);
  return { method: 'GET', path: state.ports.dialect.reportPath, headers, body };
}

/** Reads the report of an engine; returns undefined if it is not listed or the call fails. */
export function* readReport(
  state: GatewayState,
  upstreamId: UpstreamId,
): Task<EngineReport | undefined> {
  const clearance = askSend(state.upstreams, upstreamId, { kind: 'report' }, getSteadyMs());
  if (clearance.kind === 'refused') return undefined;
  const engine = clearance.server;
  const call = buildReportCall(state, engine);
  const answer = yield* callEngine(state, engine, call, makeDirectSender(state, engine));
  return answer && state.ports.dialect.decodeReport(answer.body);
}

/**
 * Reads the report of an engine that has sent an answer, by way of a peer if need be; undefined if it does not answer
 * until `until`. A connection that opens tells nothing: a proxy may take it for an engine that has died.
 */
export function* readReportAnyWay(
  state: GatewayState,
  engine: ClearedUpstream,
  until: number,
): Task<EngineReport | undefined> {
  const call = buildReportCall(state, engine);
  const send = makeRoutedSender(state, engine);
  for (let calls = 0; calls < MAX_LIFE_CALLS; calls += 1) {
    const timeoutMs = Math.max(MIN_LIFE_CALL_MS, until - getSteadyMs());
    const answer = yield* callEngine(state, engine, call, send, timeoutMs);
    if (answer === undefined) continue;
    const { status, body } = answer;
    return status === HTTP_OK ? state.ports.dialect.decodeReport(body) : undefined;
  }
  return undefined;
}

/** Sends an order to change the stage; returns undefined if the engine may or may not have taken it. */
export function* sendStageOrder(
  state: GatewayState,
  engine: ClearedUpstream,
  order: StageOrder,
): Task<OrderAnswer | undefined> {
  const { orderPath: path, encodeStageOrder, decodeOrderAnswer } = state.ports.dialect;
  const body = Buffer.from(encodeStageOrder(order));
  const headers = buildHeaders(state, engine, body);
  const call = { method: 'POST', path, headers, body };
  const answer = yield* callEngine(state, engine, call, makeDirectSender(state, engine));
  return answer && decodeOrderAnswer(answer.status);
}
