/** Serves requests of plain services: buffers the whole answer of a server before forwarding it. */

import {
  chooseNextStep,
  listRefusedUpstreams,
  listUsableUpstreams,
  makeByteCollector,
  recordAnswerTime,
  recordOutcome,
  type ClearedUpstream,
  type NextStep,
  type OwnOutcome,
  type SendOutcome,
} from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import { findExcess } from '../http/size-limit.js';
import { MAX_ANSWER_BYTES } from '../intake/request-sizes.js';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { CallProgress } from './call-progress.js';
import { awaitRoom, hasRoomElsewhere } from './call-room.js';
import { chooseCallServer, listCandidates } from './call-server.js';
import type { GatewayRequest } from './gateway-request.js';
import { findLoad, takeServiceRetries, type GatewayState } from './gateway-state.js';
import { recordBrokenContent } from './quarantine/broken-content.js';
import { endQuarantined } from './quarantine/quarantine-check.js';
import { sendOnce, type AnswerHead, type SendResult } from './sender.js';
import { recordSizeCut, type CutReason } from '../intake/size-cuts.js';
import { findRetryAfterMs } from './upstream-notices.js';

/** A server that reported that it is full gets no requests for this long. */
const FULL_AVOID_MS = 150;
const UNREACHABLE_AVOID_MS = 1_000;
/** Share of the latency target after which an idempotent request is sent to another server. */
const RESEND_TARGET_SHARE = 0.6;
/** Least time before the deadline for which one more send is worth starting. */
const MIN_REMAINING_MS = 25;
const RETRY_AFTER_MS = 400;
const FIRST_SERVER_ERROR = 500;

/** The body in blocks: a copy of a large one would double its memory. */
type WholeAnswer = { readonly head: AnswerHead; readonly body: readonly Buffer[] };

function findHeadDueAt(request: GatewayRequest, progress: CallProgress, now: number): number {
  const { route } = request;
  const canResend = route.kind === 'idempotent' && progress.runs + 1 < route.maxAttempts;
  return canResend ? now + RESEND_TARGET_SHARE * route.targetLatencyMs : request.deadlineAt + 1;
}

function recordSendOutcome(
  state: GatewayState,
  server: ClearedUpstream,
  outcome: SendOutcome,
  sentAt: number,
): void {
  const now = getSteadyMs();
  const load = findLoad(state, server.upstreamId);
  switch (outcome.kind) {
    case 'answered':
      recordOutcome(load, outcome.status >= FIRST_SERVER_ERROR, now);
      recordAnswerTime(load, now - sentAt);
      return;
    case 'not-run': {
      const isFull = outcome.reason.startsWith('status');
      load.avoidUntil = now + (isFull ? FULL_AVOID_MS : UNREACHABLE_AVOID_MS);
      return;
    }
    case 'unknown':
      recordOutcome(load, true, now);
      return;
    default:
      outcome satisfies never;
  }
}

function recordContentOutcome(
  state: GatewayState,
  { content, sharedParts: promptParts }: GatewayRequest,
  upstreamId: UpstreamId,
  result: SendResult,
): void {
  if (result.kind !== 'outcome') return;
  if (result.outcome.kind === 'answered') state.contentGuard.recordAnswered(content.fingerprint);
  if (result.outcome.kind === 'unknown') {
    const broken = { content, hasEvents: false, promptParts };
    recordBrokenContent(state, upstreamId, broken);
  }
}

/** Finds how a send counts in the load of its server; one that leaves or pauses is not full. */
function findOwnOutcome(
  { upstreams }: GatewayState,
  { service }: GatewayRequest,
  server: ClearedUpstream,
  outcome: SendOutcome,
): OwnOutcome {
  if (outcome.kind === 'answered') return 'answered';
  if (outcome.kind !== 'not-run' || !outcome.hasArrived) return 'other';
  const usable = listUsableUpstreams(upstreams, service, getSteadyMs());
  return usable.some(({ upstreamId }) => upstreamId === server.upstreamId) ? 'refused' : 'other';
}

/** Whether some other server may get the call now; takes the retry if so. */
function takeOtherServer(
  state: GatewayState,
  request: GatewayRequest,
  { upstreamId }: ClearedUpstream,
  progress: CallProgress,
): boolean {
  if (!hasRoomElsewhere(state, request, progress)) return false;
  const { service, deadlineAt } = request;
  const candidates = listCandidates(state, request);
  const hasOther = candidates.some((other) => other.upstreamId !== upstreamId);
  const hasTime = deadlineAt - getSteadyMs() > MIN_REMAINING_MS;
  return hasOther && hasTime && takeServiceRetries(state, service);
}

function* sendCall(
  state: GatewayState,
  request: GatewayRequest,
  server: ClearedUpstream,
  progress: CallProgress,
): Task<{ result: SendResult; answer?: WholeAnswer }> {
  const load = findLoad(state, server.upstreamId);
  const sentAt = getSteadyMs();
  const body = makeByteCollector();
  let abort = (): void => undefined;
  let isCut = false;
  const cut = (reason: CutReason): void => {
    isCut = true;
    const { requestId } = request.fields;
    const { upstreamId } = server;
    const bytes = body.countBytes();
    recordSizeCut(state, { part: 'answer', reason, bytes, requestId, upstreamId });
    body.take();
    abort();
  };
  const held = state.heldBytes.begin('answer', () => cut('memory'));
  load.inFlight += 1;
  const endSend = state.sharedLoads.beginSend(request.service, server.upstreamId, sentAt);
  const result = yield* sendOnce(state, request, {
    server,
    placement: {},
    headDueAt: findHeadDueAt(request, progress, sentAt),
    canGiveUp: () => takeOtherServer(state, request, server, progress),
    onHead: () => undefined,
    onData: (chunk, exchange) => {
      abort = (): void => exchange.abort('answer too large');
      body.append(chunk);
      const excess = findExcess(body, MAX_ANSWER_BYTES);
      if (excess !== undefined) cut(excess);
      else held.update(body.countBytes());
      return true;
    },
    // Its end may have come before it was given up.
    findCut: () => (isCut ? 'answer too large' : undefined),
  });
  held.end();
  load.inFlight -= 1;
  const outcome: SendOutcome =
    result.kind === 'outcome' ? result.outcome : { kind: 'unknown', reason: result.kind };
  const ownOutcome = findOwnOutcome(state, request, server, outcome);
  if (ownOutcome === 'refused') progress.fullServers += 1;
  endSend(ownOutcome, getSteadyMs());
  if (result.kind === 'outcome' || result.kind === 'slow') {
    recordSendOutcome(state, server, outcome, sentAt);
  }
  recordContentOutcome(state, request, server.upstreamId, result);
  const { requestId } = request.fields;
  const { upstreamId } = server;
  const tookMs = getSteadyMs() - sentAt;
  state.logger.debug({ requestId, upstreamId, outcome, tookMs }, 'calls: send ended');
  state.metrics.sends.inc({ step: 'call', outcome: outcome.kind });
  if (result.kind !== 'outcome' || result.head === undefined) return { result };
  return { result, answer: { head: result.head, body: body.takeBlocks() } };
}

function refuseAfterTimeout(request: GatewayRequest, result: SendResult, runs: number): void {
  if (result.kind !== 'timed-out') return;
  request.reply.refuse(runs === 0 ? 'deadline-unreachable' : 'upstream-timeout');
}

function answerCall(
  state: GatewayState,
  request: GatewayRequest,
  step: NextStep,
  answer: WholeAnswer | undefined,
): void {
  const { reply } = request;
  switch (step.kind) {
    case 'forward': {
      if (answer === undefined) return;
      const { head, body } = answer;
      const headers = state.ports.dialect.makeAnswerHeaders(head.rawHeaders);
      reply.answer(head.status, headers, body);
      return;
    }
    case 'refuse':
      reply.refuse('no-upstream', RETRY_AFTER_MS);
      return;
    case 'fail':
      reply.refuse('upstream-failed');
      return;
    case 'retry':
      return;
    default:
      step satisfies never;
  }
}

/** Refuses a call that no server may get; reports it as not executed only if none has started it. */
function refuseWithoutServer(
  state: GatewayState,
  { reply, service, fields: { requestId } }: GatewayRequest,
  { runs }: CallProgress,
): void {
  const refused = listRefusedUpstreams(state.upstreams, service, getSteadyMs());
  state.logger.info({ requestId, service, refused }, 'calls: no server may be used');
  if (runs === 0) reply.refuse('no-upstream', findRetryAfterMs(state, service));
  else reply.refuse('upstream-failed');
}

function hasUsableServer({ upstreams }: GatewayState, service: ServiceName): boolean {
  return listUsableUpstreams(upstreams, service, getSteadyMs()).length > 0;
}

/** Takes the retry of a call; a send of which nothing arrived costs none, while another server is left. */
function takeRetry(
  state: GatewayState,
  { service }: GatewayRequest,
  { tried }: CallProgress,
  outcome: SendOutcome,
): boolean {
  const usable = listUsableUpstreams(state.upstreams, service, getSteadyMs());
  if (outcome.kind === 'not-run' && !outcome.hasArrived) {
    return usable.some(({ upstreamId }) => !tried.has(upstreamId));
  }
  // A service whose servers all pause takes nothing from the budget.
  return usable.length > 0 && takeServiceRetries(state, service);
}

/** Serves one request of a plain service, with retries within the retry budget. */
export function* runCallRequest(state: GatewayState, request: GatewayRequest): Task {
  const { route, service, fields } = request;
  const progress: CallProgress = { tried: new Set(), runs: 0, fullServers: 0 };
  state.sharedLoads.recordArrival(service, request.tenant?.name ?? '');
  for (;;) {
    const room = yield* awaitRoom(state, request, progress);
    if (room.kind === 'caller-gone' || room.kind === 'timed-out') {
      refuseAfterTimeout(request, room, progress.runs);
      return;
    }
    if (room.kind === 'no-room') {
      request.reply.refuse('queue-full', room.retryAfterMs);
      return;
    }
    const choice = yield* chooseCallServer(state, request, progress.tried);
    if (choice.kind === 'caller-gone' || choice.kind === 'timed-out') {
      refuseAfterTimeout(request, choice, progress.runs);
      return;
    }
    if (choice.kind === 'none') {
      refuseWithoutServer(state, request, progress);
      return;
    }
    if (choice.kind === 'quarantined') {
      endQuarantined(state, request);
      return;
    }
    const { server } = choice;
    progress.tried.add(server.upstreamId);
    const { result, answer } = yield* sendCall(state, request, server, progress);
    if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
      refuseAfterTimeout(request, result, progress.runs + 1);
      return;
    }
    const outcome: SendOutcome =
      result.kind === 'slow' ? { kind: 'unknown', reason: 'slow' } : result.outcome;
    if (outcome.kind !== 'not-run') progress.runs += 1;
    const hasTime = request.deadlineAt - getSteadyMs() > MIN_REMAINING_MS;
    const history = {
      kind: route.kind,
      isResumable: route.isResumable,
      runs: progress.runs,
      maxAttempts: route.maxAttempts,
      mayRetry: true,
    };
    let step = chooseNextStep(outcome, history);
    const canRetry = (): boolean => hasTime && takeRetry(state, request, progress, outcome);
    // The retry of a call that was given up has been taken.
    if (step.kind === 'retry' && result.kind !== 'slow' && !canRetry()) {
      step = chooseNextStep(outcome, { ...history, mayRetry: false });
    }
    const { requestId } = fields;
    const { upstreamId } = server;
    const { runs } = progress;
    state.logger.info(
      {
        requestId,
        upstreamId,
        outcome,
        runs,
        step: step.kind,
        version: request.configurationVersion,
      },
      'calls: outcome of the send',
    );
    if (step.kind === 'retry') continue;
    const lacksServers = step.kind === 'refuse' && !hasUsableServer(state, service);
    if (lacksServers) refuseWithoutServer(state, request, progress);
    else answerCall(state, request, step, answer);
    return;
  }
}
