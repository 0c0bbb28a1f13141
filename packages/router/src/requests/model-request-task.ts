/** Runs one model request by performing the actions of the request state machine. */

import { randomUUID } from 'node:crypto';
import {
  findNextRequestTick,
  handleRequestEvent,
  makeRequestState,
  startRequest,
  type RequestAction,
  type RequestEvent,
  type RequestState,
} from '@tarragonspool/core';
import { assertNever, type AttemptProgress } from '@tarragonspool/protocol';
import { recordAction } from '../journal/request-trace.js';
import { requestContentVerdict, notifyRequestEnded } from '../quarantine/quarantine-task.js';
import { makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { makeAlarm } from '../tasks/timers.js';
import { buildReservationRequest, cancelOrder, sendDecode, sendPrefill } from './engine-orders.js';
import {
  findLastDeadline,
  type ModelRequest,
  type ModelRequestParts,
  type RunningRequest,
} from './model-request.js';

const INBOX_CAPACITY = 8_192;
const RUN_ID_LENGTH = 8;
const POSITION_INTERVAL_MS = 50;
const MS_PER_SECOND = 1_000;

type TerminalAction = Extract<RequestAction, { kind: 'finish' | 'fail' }>;
type PositionUpdate = Pick<AttemptProgress, 'upstreamId' | 'attemptId' | 'stage' | 'tokens'>;

function notifyPosition(running: RunningRequest, progress: PositionUpdate): void {
  const now = Date.now();
  running.nextPositionAt = now + POSITION_INTERVAL_MS;
  const position = { ...progress, movedAt: now };
  offer(running.parts.allocation, { kind: 'move', position, now });
}

/** Reports the position of a decoding attempt to the allocator at intervals. */
function notifyDecodePosition(running: RunningRequest, state: RequestState): void {
  const { grant, attemptId, nextIndex } = state;
  if (state.phase !== 'decoding' || grant === undefined) return;
  if (Date.now() < running.nextPositionAt) return;
  notifyPosition(running, {
    upstreamId: grant.decode,
    attemptId,
    stage: 'decode',
    tokens: nextIndex,
  });
}

function writeToken(
  running: RunningRequest,
  action: Extract<RequestAction, { kind: 'write-token' }>,
): void {
  const { request, parts, inbox, writtenTexts } = running;
  const { requestId } = request;
  const { index, attemptId, text } = action;
  parts.invariants.assert(index === writtenTexts.length, 'token-order', { requestId, index });
  const isOwn = attemptId === running.decodingAttempt;
  parts.invariants.assert(isOwn, 'foreign-attempt', { requestId, attemptId });
  if (index === 0) {
    parts.metrics.firstToken.observe((Date.now() - request.arrivedAt) / MS_PER_SECOND);
  }
  writtenTexts.push(text);
  if (!request.writer.writeToken(text)) offer(inbox, { kind: 'caller-gone', now: Date.now() });
}

function finishRequest(running: RunningRequest, action: TerminalAction): void {
  const { request, parts } = running;
  const { requestId, writer } = request;
  parts.invariants.assert(!running.isAnswered, 'one-terminal-answer', { requestId });
  running.isAnswered = true;
  if (action.kind === 'finish') {
    running.hasFinished = true;
    writer.finish(action.finishReason, action.tokens);
    parts.metrics.fullAnswer.observe((Date.now() - request.arrivedAt) / MS_PER_SECOND);
    parts.metrics.requests.inc({ kind: 'model', result: 'answered' });
    return;
  }
  const { refusal } = action;
  const isHonest = refusal.ran !== 'not-run' || running.dispatches === 0;
  parts.invariants.assert(isHonest, 'not-run-honest', { requestId, result: refusal.name });
  writer.fail(refusal);
  parts.metrics.requests.inc({ kind: 'model', result: refusal.name });
}

/** Requests a reservation once the quarantine lets the content run. */
function requestReservation(
  running: RunningRequest,
  attempt: Extract<RequestAction, { kind: 'ask' }>,
): void {
  const { parts, request, inbox } = running;
  const { attemptId } = attempt;
  requestContentVerdict(parts.quarantine, {
    requestId: request.requestId,
    fingerprint: request.chat.fingerprint,
    deadline: request.deadlines.answerDeadline,
    onVerdict: (verdict) => {
      if (running.isAnswered) return;
      const now = Date.now();
      if (verdict.kind === 'refuse') {
        offer(inbox, { kind: 'refused', attemptId, refusal: verdict.refusal, now });
        return;
      }
      const reservationRequest = buildReservationRequest(running, attempt);
      offer(parts.allocation, { kind: 'ask', ask: reservationRequest, requestInbox: inbox, now });
    },
  });
}

function performAction(running: RunningRequest, action: RequestAction): void {
  const { parts } = running;
  const now = Date.now();
  recordAction(running.request.trace, action, now);
  switch (action.kind) {
    case 'ask': {
      requestReservation(running, action);
      return;
    }
    case 'withdraw':
      offer(parts.allocation, { kind: 'withdraw', attemptId: action.attemptId, now });
      return;
    case 'start-prefill': {
      const { attemptId, prefill } = action.grant;
      sendPrefill(running, action.grant);
      notifyPosition(running, { upstreamId: prefill, attemptId, stage: 'prefill', tokens: 0 });
      return;
    }
    case 'start-decode': {
      const { attemptId, decode } = action.grant;
      sendDecode(running, action.grant, action.source, action.fromIndex);
      const tokens = action.fromIndex;
      notifyPosition(running, { upstreamId: decode, attemptId, stage: 'import', tokens });
      return;
    }
    case 'cancel':
      cancelOrder(running, action.upstreamId, action.attemptId);
      return;
    case 'report-end':
      offer(parts.allocation, { kind: 'end', end: action.end, now });
      return;
    case 'count-prefill':
      parts.metrics.prefillTokens.inc({ fate: action.fate }, action.tokens);
      return;
    case 'write-token':
      writeToken(running, action);
      return;
    case 'finish':
    case 'fail':
      finishRequest(running, action);
      return;
    default:
      assertNever(action);
  }
}

function makeRunningRequest(parts: ModelRequestParts, request: ModelRequest): RunningRequest {
  return {
    parts,
    request,
    inbox: makeChannel<RequestEvent>(INBOX_CAPACITY),
    stopOrders: new Map(),
    decodingAttempt: undefined,
    writtenTexts: [],
    isAnswered: false,
    hasFinished: false,
    dispatches: 0,
    nextPositionAt: 0,
  };
}

/** Runs the request until it has ended. */
export function* runModelRequest(parts: ModelRequestParts, request: ModelRequest): Task {
  const running = makeRunningRequest(parts, request);
  const { inbox } = running;
  const { requestId, chat, deadlines } = request;
  const state = makeRequestState(
    {
      requestId,
      promptTokens: chat.promptTokens,
      answerDeadline: deadlines.answerDeadline,
      lastDeadline: findLastDeadline(request),
      maxTokens: chat.maxTokens,
      objective: parts.objective,
      budget: parts.budget,
      isOnce: request.permit !== undefined,
      runId: randomUUID().slice(0, RUN_ID_LENGTH),
    },
    Date.now(),
  );
  request.onCallerGone(() => offer(inbox, { kind: 'caller-gone', now: Date.now() }));
  const alarm = makeAlarm<RequestEvent>(inbox, (now) => ({ kind: 'ticked', now }));
  try {
    for (const action of startRequest(state)) performAction(running, action);
    while (state.phase !== 'ended') {
      alarm.set(findNextRequestTick(state));
      const event = yield* receive(inbox);
      if (event === undefined) return;
      for (const action of handleRequestEvent(state, event)) performAction(running, action);
      notifyDecodePosition(running, state);
    }
  } finally {
    alarm.cancel();
    inbox.close();
    notifyRequestEnded(parts.quarantine, requestId, chat.fingerprint, running.hasFinished);
  }
}
