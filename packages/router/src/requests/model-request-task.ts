/** Runs one model request: carries the request machine's decisions out. */

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
import { answerContent, notifyEnded } from '../quarantine/quarantine-task.js';
import { makeChannel, offer, receive, type Task } from '../tasks/tasks.js';
import { makeAlarm } from '../tasks/timers.js';
import { buildAsk, cancelOrder, sendDecode, sendPrefill } from './engine-orders.js';
import {
  findLastDeadline,
  type ModelRequest,
  type ModelRequestParts,
  type RunningRequest,
} from './model-request.js';

const INBOX_CAPACITY = 8_192;
const RUN_ID_LENGTH = 8;
const MOVE_INTERVAL_MS = 50;
const MS_PER_SECOND = 1_000;

type Terminal = Extract<RequestAction, { kind: 'finish' | 'fail' }>;
type Move = Pick<AttemptProgress, 'upstreamId' | 'attemptId' | 'stage' | 'tokens'>;

function notifyMove(running: RunningRequest, move: Move): void {
  const now = Date.now();
  running.nextMoveAt = now + MOVE_INTERVAL_MS;
  const position = { ...move, movedAt: now };
  offer(running.parts.allocation, { kind: 'move', position, now });
}

/** Tells the allocator where the attempt stands, now and then while tokens come. */
function notifyTokens(running: RunningRequest, state: RequestState): void {
  const { grant, attemptId, nextIndex } = state;
  if (state.phase !== 'decoding' || grant === undefined) return;
  if (Date.now() < running.nextMoveAt) return;
  notifyMove(running, {
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

function finishRequest(running: RunningRequest, action: Terminal): void {
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

/** Asks for places once the content may run. */
function askWhenClear(
  running: RunningRequest,
  wanted: Extract<RequestAction, { kind: 'ask' }>,
): void {
  const { parts, request, inbox } = running;
  const { attemptId } = wanted;
  answerContent(parts.quarantine, {
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
      const ask = buildAsk(running, wanted);
      offer(parts.allocation, { kind: 'ask', ask, requestInbox: inbox, now });
    },
  });
}

function performAction(running: RunningRequest, action: RequestAction): void {
  const { parts } = running;
  const now = Date.now();
  recordAction(running.request.trace, action, now);
  switch (action.kind) {
    case 'ask': {
      askWhenClear(running, action);
      return;
    }
    case 'withdraw':
      offer(parts.allocation, { kind: 'withdraw', attemptId: action.attemptId, now });
      return;
    case 'start-prefill': {
      const { attemptId, prefill } = action.grant;
      sendPrefill(running, action.grant);
      notifyMove(running, { upstreamId: prefill, attemptId, stage: 'prefill', tokens: 0 });
      return;
    }
    case 'start-decode': {
      const { attemptId, decode } = action.grant;
      sendDecode(running, action.grant, action.source, action.fromIndex);
      const tokens = action.fromIndex;
      notifyMove(running, { upstreamId: decode, attemptId, stage: 'import', tokens });
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

function makeRunning(parts: ModelRequestParts, request: ModelRequest): RunningRequest {
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
    nextMoveAt: 0,
  };
}

/** Runs the request to its end. */
export function* runModelRequest(parts: ModelRequestParts, request: ModelRequest): Task {
  const running = makeRunning(parts, request);
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
      notifyTokens(running, state);
    }
  } finally {
    alarm.cancel();
    inbox.close();
    notifyEnded(parts.quarantine, requestId, chat.fingerprint, running.hasFinished);
  }
}
