/** Calls to an engine outside of requests: reading its report, and ordering it to change its stage. */

import { askSend, makeByteCollector, type ClearedUpstream } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { GatewayState } from '../gateway/gateway-state.js';
import type { EngineReport, OrderAnswer, StageOrder } from '../gateway/ports.js';
import { recordSizeCut } from '../gateway/size-cuts.js';
import { recordNotice } from '../gateway/upstream-notices.js';
import { findExcess, type Excess } from '../http/size-limit.js';
import { makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { UpstreamCall } from '../upstreams/upstream-client.js';

const CALL_TIMEOUT_MS = 500;
const MAX_ANSWER_BYTES = 1_048_576;

type CallAnswer = { readonly status: number; readonly body: Buffer };

/** Calls an engine once; returns undefined if no complete answer arrives before the timeout. */
function* callEngine(
  state: GatewayState,
  engine: ClearedUpstream,
  call: Omit<UpstreamCall, 'address' | 'requestId'>,
): Task<CallAnswer | undefined> {
  const outcome = makeChannel<CallAnswer | 'failed'>(1);
  const body = makeByteCollector();
  let status = 0;
  const { address } = engine;
  const origin = { requestId: undefined, sentAt: getSteadyMs(), isIdentified: false };
  const cutOff = (reason: Excess): void => {
    const { upstreamId } = engine;
    const bytes = body.countBytes();
    recordSizeCut(state, { part: 'engine-call', reason, bytes, upstreamId });
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- no event comes before it is set
    exchange.abort('answer too large');
  };
  const exchange = state.engineClient.send({ ...call, address, requestId: undefined }, (event) => {
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
  }, CALL_TIMEOUT_MS);
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

/** Reads the report of an engine; returns undefined if it is not listed or the call fails. */
export function* readReport(
  state: GatewayState,
  upstreamId: UpstreamId,
): Task<EngineReport | undefined> {
  const clearance = askSend(state.upstreams, upstreamId, { kind: 'report' }, getSteadyMs());
  if (clearance.kind === 'refused') return undefined;
  const engine = clearance.server;
  const { reportPath: path, decodeReport } = state.ports.dialect;
  const body = Buffer.alloc(0);
  const headers = buildHeaders(state, engine, body);
  const answer = yield* callEngine(state, engine, { method: 'GET', path, headers, body });
  return answer && decodeReport(answer.body);
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
  const answer = yield* callEngine(state, engine, { method: 'POST', path, headers, body });
  return answer && decodeOrderAnswer(answer.status);
}
