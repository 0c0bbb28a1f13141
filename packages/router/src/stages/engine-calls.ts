/** Calls to an engine that serve no request: its report, and orders to change its stage. */

import type { UpstreamRecord } from '@tarragonspool/core';
import type { GatewayState } from '../gateway/gateway-state.js';
import type { EngineReport, OrderAnswer, StageOrder } from '../gateway/ports.js';
import { makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import type { UpstreamCall } from '../upstreams/upstream-client.js';

const CALL_TIMEOUT_MS = 500;

type CallAnswer = { readonly status: number; readonly body: Buffer };

/** Makes one call; undefined if no whole answer came in time. */
function* callEngine(state: GatewayState, call: UpstreamCall): Task<CallAnswer | undefined> {
  const done = makeChannel<CallAnswer | 'failed'>(1);
  const parts: Buffer[] = [];
  let status = 0;
  const exchange = state.client.send(call, (event) => {
    if (event.kind === 'data') parts.push(event.chunk);
    else if (event.kind === 'head') status = event.status;
    else if (event.kind === 'ended') offer(done, { status, body: Buffer.concat(parts) });
    else offer(done, 'failed');
  });
  const timer = setTimeout(() => {
    exchange.cancel();
    offer(done, 'failed');
  }, CALL_TIMEOUT_MS);
  const answer = yield* receive(done);
  clearTimeout(timer);
  return answer === 'failed' ? undefined : answer;
}

function buildHeaders(state: GatewayState, engine: UpstreamRecord, body: Buffer): string[] {
  const headers = ['Host', engine.address];
  const instance = state.ports.dialect.makeInstanceHeaders(engine.upstreamId);
  for (const [name, value] of Object.entries(instance)) headers.push(name, value);
  if (body.length > 0) {
    headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length));
  }
  return headers;
}

/** Reads what an engine says of itself. */
export function* readReport(
  state: GatewayState,
  engine: UpstreamRecord,
): Task<EngineReport | undefined> {
  const { reportPath: path, decodeReport } = state.ports.dialect;
  const body = Buffer.alloc(0);
  const headers = buildHeaders(state, engine, body);
  const { address } = engine;
  const answer = yield* callEngine(state, { address, method: 'GET', path, headers, body });
  return answer && decodeReport(answer.body);
}

/** Sends an order; undefined if it is not known whether the engine took it. */
export function* sendStageOrder(
  state: GatewayState,
  engine: UpstreamRecord,
  order: StageOrder,
): Task<OrderAnswer | undefined> {
  const { orderPath: path, encodeStageOrder, decodeOrderAnswer } = state.ports.dialect;
  const body = Buffer.from(encodeStageOrder(order));
  const headers = buildHeaders(state, engine, body);
  const { address } = engine;
  const answer = yield* callEngine(state, { address, method: 'POST', path, headers, body });
  return answer && decodeOrderAnswer(answer.status);
}
