/** Sends one request to one server and returns the outcome. */

import type { ClearedUpstream, SendOutcome } from '@tarragonspool/core';
import { receive, offer, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { AnswerFraming, UpstreamExchange } from '../upstreams/upstream-client.js';
import type { GatewayRequest, RequestMessage } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { PlacementFields, UpstreamHead } from './ports.js';
import { recordNotice } from './upstream-notices.js';

/** Why a request ends before its answer: the caller disconnected or its deadline passed. */
export type RequestEnd = { readonly kind: 'caller-gone' } | { readonly kind: 'timed-out' };

/** Decoded head of an answer with its raw headers. */
export type AnswerHead = UpstreamHead & {
  readonly rawHeaders: readonly string[];
  readonly framing: AnswerFraming;
};

/** How a send ended, or why it was cancelled. */
export type SendResult =
  | { readonly kind: 'outcome'; readonly outcome: SendOutcome; readonly head?: AnswerHead }
  /** The head, or further bytes of the answer, did not arrive by the deadline of this send. */
  | { readonly kind: 'slow' }
  | RequestEnd;

/** Server, deadlines and callbacks of one send. */
export type SendPlan = {
  readonly server: ClearedUpstream;
  readonly placement: Omit<PlacementFields, 'upstreamId' | 'leftMs' | 'sender'>;
  /** When the send is cancelled unless a head has arrived. */
  readonly headDueAt: number;
  /**
   * A send is cancelled after this long without progress; undefined to wait for the request's
   * deadline.
   */
  readonly silenceMs?: number;
  /** When the send is cancelled unless the whole answer has arrived; undefined for no such limit. */
  readonly wholeDueAt?: number;
  /**
   * Asked again and again while the send is overdue; the send goes on until it may be given up.
   * Without it an overdue send is given up at once.
   */
  readonly canGiveUp?: () => boolean;
  /** Called each time the server has made no progress for `SILENCE_NOTICE_MS`, until it is overdue. */
  readonly onSilence?: () => void;
  /** Called when the request leaves, or a peer is asked to send it. */
  readonly onSent?: () => void;
  /** Called when a usable head arrives. */
  readonly onHead: (head: AnswerHead) => void;
  /** Called with each part of the body; returns whether it is progress, and not only bytes. */
  readonly onData: (chunk: Buffer, exchange: UpstreamExchange) => boolean;
  /** Called at the end of an answer that its framing says is whole; returns why it is not. */
  readonly findCut?: () => string | undefined;
};

/** An engine that generates an answer sends many events within this time. */
const SILENCE_NOTICE_MS = 600;
/** While a send is overdue, it is asked at this interval whether it may be given up. */
const GIVE_UP_CHECK_MS = 25;
/** A timer that fires this late shows that the process stood still, and not its server. */
const STOOD_STILL_MS = 250;
/** What arrived meanwhile is read within this time. */
const CATCH_UP_MS = 250;

let sendCount = 0;

function countSend(): number {
  sendCount += 1;
  return sendCount;
}

/** State of a send that has not ended. */
type ActiveSend = {
  readonly number: number;
  readonly exchange: UpstreamExchange;
  head: AnswerHead | undefined;
  /** When the answer last made progress. */
  progressAt: number;
  /** Whether nothing is read from the server, as the caller takes nothing. */
  isPaused: boolean;
};

/** Makes an exchange whose pauses are no silence of its server: what it sends meanwhile is not read. */
function makeWatchedExchange(
  exchange: UpstreamExchange,
  active: { readonly send: ActiveSend | undefined },
): UpstreamExchange {
  const setPaused = (isPaused: boolean): void => {
    const { send } = active;
    if (send === undefined) return;
    send.isPaused = isPaused;
    send.progressAt = getSteadyMs();
  };
  return {
    ...exchange,
    pause: () => {
      setPaused(true);
      exchange.pause();
    },
    resume: () => {
      setPaused(false);
      exchange.resume();
    },
  };
}

function startSend(state: GatewayState, request: GatewayRequest, plan: SendPlan): ActiveSend {
  const { dialect } = state.ports;
  const number = countSend();
  const now = getSteadyMs();
  const leftMs = Math.max(1, Math.floor(request.deadlineAt - now));
  const { server } = plan;
  const { upstreamId } = server;
  const { requestId } = request.fields;
  const { body, method, path, sender } = request;
  const shown = sender === undefined ? {} : { sender };
  const placement = { ...plan.placement, ...shown, upstreamId, leftMs };
  const headers = dialect.makeForwardHeaders(request.rawHeaders, body.length, placement);
  const active: { send: ActiveSend | undefined } = { send: undefined };
  const sentId = requestId === '' ? undefined : requestId;
  const { onSent = (): void => undefined } = plan;
  const call = { server, requestId: sentId, method, path, headers, body, onSent };
  const exchange = state.access.client.send(call, (event) => {
    const { send } = active;
    if (event.kind === 'data') {
      if (send?.head === undefined) return;
      if (plan.onData(event.chunk, send.exchange)) send.progressAt = getSteadyMs();
      return;
    }
    if (event.kind === 'head' && send !== undefined) {
      const head = dialect.decodeUpstreamHead(event.status, event.headers);
      const answerHead = { ...head, rawHeaders: event.rawHeaders, framing: event.framing };
      send.progressAt = getSteadyMs();
      // Set before any data arrives, so that no byte of an encoded answer is forwarded.
      if (!head.isEncoded) {
        const isIdentified = head.requestId === requestId;
        recordNotice(state, { requestId, sentAt: now, isIdentified }, server, head.notice);
        send.head = answerHead;
        plan.onHead(answerHead);
      }
    }
    offer(request.inbox, { kind: 'upstream', send: number, event });
  });
  const watched = makeWatchedExchange(exchange, active);
  const send = { number, exchange: watched, head: undefined, progressAt: now, isPaused: false };
  active.send = send;
  return send;
}

function findCompletedOutcome({ head }: ActiveSend, plan: SendPlan): SendOutcome {
  if (head === undefined) return { kind: 'unknown', reason: 'no usable answer' };
  if (head.isNotRun) {
    return { kind: 'not-run', reason: `status ${head.status}`, hasArrived: true };
  }
  const cut = plan.findCut?.();
  if (cut !== undefined) return { kind: 'unknown', reason: cut };
  return { kind: 'answered', status: head.status, isSigned: head.isSigned };
}

function findSendResult(
  send: ActiveSend,
  plan: SendPlan,
  message: RequestMessage,
): SendResult | undefined {
  switch (message.kind) {
    case 'caller-gone':
    case 'timed-out':
      return message;
    case 'displaced':
      return { kind: 'slow' };
    case 'alarm':
      return message.alarm === send.number ? { kind: 'slow' } : undefined;
    case 'place':
    case 'permit':
    case 'room':
    case 'origin':
    case 'handover-ended':
      return undefined;
    case 'upstream': {
      if (message.send !== send.number) return undefined;
      const { event } = message;
      if (event.kind === 'head') {
        if (send.head !== undefined) return undefined;
        return { kind: 'outcome', outcome: { kind: 'unknown', reason: 'unusable answer' } };
      }
      if (event.kind === 'ended') {
        const outcome = findCompletedOutcome(send, plan);
        return send.head === undefined
          ? { kind: 'outcome', outcome }
          : { kind: 'outcome', outcome, head: send.head };
      }
      const { isSent, reason } = event;
      if (isSent) return { kind: 'outcome', outcome: { kind: 'unknown', reason } };
      return { kind: 'outcome', outcome: { kind: 'not-run', reason, hasArrived: false } };
    }
    default:
      return message satisfies never;
  }
}

function findSilenceDeadline(send: ActiveSend, plan: SendPlan): number {
  const wholeDueAt = plan.wholeDueAt ?? Infinity;
  if (send.head === undefined) return Math.min(plan.headDueAt, wholeDueAt);
  return Math.min(send.progressAt + (plan.silenceMs ?? Infinity), wholeDueAt);
}

/**
 * Watches for silence of the server, before the head and between bytes; returns a function that
 * stops the watch.
 */
function startSilenceWatch(send: ActiveSend, request: GatewayRequest, plan: SendPlan): () => void {
  let timer: NodeJS.Timeout | undefined;
  let lastNoticeAt = send.progressAt;
  let checkDueAt = getSteadyMs();
  let caughtUpAt = 0;
  const check = (): void => {
    const now = getSteadyMs();
    if (send.isPaused) send.progressAt = now;
    if (now - checkDueAt > STOOD_STILL_MS) {
      caughtUpAt = now + CATCH_UP_MS;
      lastNoticeAt = now;
    }
    const deadlineAt = Math.max(findSilenceDeadline(send, plan), caughtUpAt);
    const isOverdue = deadlineAt <= now;
    if (isOverdue && (plan.canGiveUp?.() ?? true)) {
      offer(request.inbox, { kind: 'alarm', alarm: send.number });
      return;
    }
    const noticeAt = Math.max(lastNoticeAt, send.progressAt) + SILENCE_NOTICE_MS;
    if (!isOverdue && noticeAt <= now) {
      lastNoticeAt = now;
      plan.onSilence?.();
    }
    const checkAt = isOverdue ? now + GIVE_UP_CHECK_MS : deadlineAt;
    const wakeAt =
      plan.onSilence === undefined ? checkAt : Math.min(checkAt, now + SILENCE_NOTICE_MS);
    if (!Number.isFinite(wakeAt)) return;
    checkDueAt = wakeAt;
    timer = setTimeout(check, Math.max(1, wakeAt - now));
  };
  check();
  return () => clearTimeout(timer);
}

/**
 * Sends a request and waits for the outcome. Cancels the exchange unless a whole answer arrived.
 */
export function* sendOnce(
  state: GatewayState,
  request: GatewayRequest,
  plan: SendPlan,
): Task<SendResult> {
  const send = startSend(state, request, plan);
  const stopWatch = startSilenceWatch(send, request, plan);
  try {
    for (;;) {
      const message = yield* receive(request.inbox);
      if (message === undefined) return { kind: 'caller-gone' };
      const result = findSendResult(send, plan, message);
      if (result === undefined) continue;
      const isComplete = result.kind === 'outcome' && result.head !== undefined;
      if (!isComplete) send.exchange.cancel();
      return result;
    }
  } finally {
    stopWatch();
  }
}
