/** Runs one model request: carries the request machine's decisions out. */

import {
  handleRequestEvent,
  makeRequestState,
  startRequest,
  type RequestAction,
  type RequestEvent,
} from '@tarragonspool/core';
import {
  assertNever,
  type AttemptId,
  type CallerId,
  type DataCentre,
  type HoldOwner,
  type Incarnation,
  type RequestId,
  type ReservationAsk,
  type ReservationGrant,
  type ServiceName,
  type UpstreamId,
  type VmId,
} from '@tarragonspool/protocol';
import type { AllocationInbox } from '../allocation/allocation-messages.js';
import type { CancelInbox } from '../engines/cancel-task.js';
import type { StopOrder } from '../engines/engine-client.js';
import { recordAction, type RequestTrace } from '../journal/request-trace.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';
import { startTicker } from '../tasks/timers.js';
import type { Directory } from '../upstreams/directory.js';
import type { AnswerWriter } from './answer-writer.js';
import type { ChatDeadlines, ChatRequest } from './chat-request.js';

/** What a model request works with. */
export type ModelRequestParts = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
  readonly directory: Directory;
  readonly allocation: AllocationInbox;
  readonly cancels: CancelInbox;
  readonly metrics: Metrics;
};

/** One model request, checked and approved. */
export type ModelRequest = {
  readonly requestId: RequestId;
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly priority: number;
  readonly chat: ChatRequest;
  readonly deadlines: ChatDeadlines;
  readonly arrivedAt: number;
  readonly writer: AnswerWriter;
  readonly trace: RequestTrace;
  /** Calls back once if the caller goes away before the answer ended. */
  readonly onCallerGone: (handler: () => void) => void;
};

const INBOX_CAPACITY = 8_192;
const TICK_INTERVAL_MS = 250;
const HOLD_MARGIN_MS = 5_000;
const MS_PER_SECOND = 1_000;

type Running = {
  readonly parts: ModelRequestParts;
  readonly request: ModelRequest;
  readonly inbox: Channel<RequestEvent>;
  stopOrder: StopOrder | undefined;
};

function makeAsk(
  running: Running,
  attemptId: AttemptId,
  excluded: readonly UpstreamId[],
): ReservationAsk {
  const { parts, request } = running;
  const { chat, deadlines } = request;
  return {
    requestId: request.requestId,
    attemptId,
    vmId: parts.vmId,
    incarnation: parts.incarnation,
    callerId: request.callerId,
    service: request.service,
    target: chat.target,
    dataCentre: parts.dataCentre,
    promptTokens: chat.promptTokens,
    maxTokens: chat.maxTokens,
    prefixes: chat.prefixes,
    priority: request.priority,
    firstTokenDeadline: deadlines.firstTokenDeadline,
    answerDeadline: deadlines.answerDeadline,
    fingerprint: chat.fingerprint,
    excluded,
  };
}

function makeOwner(running: Running, attemptId: AttemptId): HoldOwner {
  const { parts, request } = running;
  return {
    requestId: request.requestId,
    attemptId,
    vmId: parts.vmId,
    incarnation: parts.incarnation,
    deadline: request.deadlines.answerDeadline + HOLD_MARGIN_MS,
  };
}

function startPrefill(running: Running, grant: ReservationGrant): void {
  const { parts, request, inbox } = running;
  const { attemptId } = grant;
  const engine = parts.directory.engines.get(grant.prefill);
  if (engine === undefined) {
    const detail = 'the prefill engine is gone';
    offer(inbox, { kind: 'prefill-failed', attemptId, detail, now: Date.now() });
    return;
  }
  const { chat } = request;
  const order = {
    owner: makeOwner(running, attemptId),
    target: chat.target,
    prompt: chat.prompt,
    promptTokens: chat.promptTokens,
    prefixes: chat.prefixes,
    priority: request.priority,
  };
  running.stopOrder = engine.client.startPrefill(order, (outcome) => {
    const now = Date.now();
    if (outcome.kind === 'prefilled') {
      offer(inbox, { kind: 'prefilled', attemptId, result: outcome.result, now });
    } else {
      offer(inbox, { kind: 'prefill-failed', attemptId, detail: outcome.detail, now });
    }
  });
}

function startDecode(running: Running, grant: ReservationGrant, fromIndex: number): void {
  const { parts, request, inbox } = running;
  const { attemptId } = grant;
  const source = parts.directory.engines.get(grant.prefill);
  const engine = parts.directory.engines.get(grant.decode);
  if (engine === undefined || source === undefined) {
    const detail = 'an engine is gone';
    offer(inbox, { kind: 'decode-failed', attemptId, detail, now: Date.now() });
    return;
  }
  const { chat } = request;
  const order = {
    owner: makeOwner(running, attemptId),
    target: chat.target,
    source: { upstreamId: grant.prefill, url: source.url, attemptId },
    promptTokens: chat.promptTokens,
    maxTokens: chat.maxTokens,
    fromIndex,
    priority: request.priority,
    fingerprint: chat.fingerprint,
  };
  running.stopOrder = engine.client.startDecode(order, (event) => {
    const now = Date.now();
    if (event.kind === 'frame') {
      offer(inbox, { kind: 'frame', frame: event.frame, now });
    } else {
      offer(inbox, { kind: 'decode-failed', attemptId, detail: event.detail, now });
    }
  });
}

function cancelOnEngine(running: Running, upstreamId: UpstreamId, attemptId: AttemptId): void {
  running.stopOrder?.();
  const { deadline } = makeOwner(running, attemptId);
  const order = { upstreamId, attemptId, deadline };
  offer(running.parts.cancels, { kind: 'cancel', order });
}

function recordEnd(running: Running, result: string): void {
  running.parts.metrics.requests.inc({ kind: 'model', result });
}

function writeToken(running: Running, index: number, text: string): void {
  const { request, parts, inbox } = running;
  if (index === 0) {
    parts.metrics.firstToken.observe((Date.now() - request.arrivedAt) / MS_PER_SECOND);
  }
  if (!request.writer.writeToken(text)) offer(inbox, { kind: 'caller-gone', now: Date.now() });
}

function performAction(running: Running, action: RequestAction): void {
  const { parts, request, inbox } = running;
  recordAction(request.trace, action, Date.now());
  switch (action.kind) {
    case 'ask': {
      const { attemptId } = action;
      const ask = makeAsk(running, attemptId, action.excluded);
      offer(parts.allocation, { kind: 'ask', ask, requestInbox: inbox, now: Date.now() });
      return;
    }
    case 'start-prefill':
      startPrefill(running, action.grant);
      return;
    case 'start-decode':
      startDecode(running, action.grant, action.fromIndex);
      return;
    case 'cancel':
      cancelOnEngine(running, action.upstreamId, action.attemptId);
      return;
    case 'report-end':
      offer(parts.allocation, { kind: 'end', end: action.end, now: Date.now() });
      return;
    case 'write-token':
      writeToken(running, action.index, action.text);
      return;
    case 'finish':
      request.writer.finish(action.finishReason, action.tokens);
      parts.metrics.fullAnswer.observe((Date.now() - request.arrivedAt) / MS_PER_SECOND);
      recordEnd(running, 'answered');
      return;
    case 'fail':
      request.writer.fail(action.refusal);
      recordEnd(running, action.refusal.name);
      return;
    default:
      assertNever(action);
  }
}

/** Runs the request to its end. */
export function* runModelRequest(parts: ModelRequestParts, request: ModelRequest): Task {
  const inbox = makeChannel<RequestEvent>(INBOX_CAPACITY);
  const running: Running = { parts, request, inbox, stopOrder: undefined };
  const { answerDeadline } = request.deadlines;
  const state = makeRequestState(request.requestId, answerDeadline, Date.now());
  request.onCallerGone(() => offer(inbox, { kind: 'caller-gone', now: Date.now() }));
  const stopTicker = startTicker(inbox, TICK_INTERVAL_MS, (now) => ({ kind: 'ticked', now }));
  try {
    for (const action of startRequest(state)) performAction(running, action);
    while (state.phase !== 'ended') {
      const event = yield* receive(inbox);
      if (event === undefined) return;
      for (const action of handleRequestEvent(state, event)) performAction(running, action);
    }
  } finally {
    stopTicker();
    inbox.close();
  }
}
