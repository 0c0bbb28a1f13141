/** Serves streams: a place first, then the prompt is read, then the answer is passed on. */

import { createHash } from 'node:crypto';
import type { SlotRequestId, SlotRequest } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { PlaceReply } from '../pools/place-messages.js';
import { requestPlace } from '../pools/pool-task.js';
import { offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import { takeRetryOf, type GatewayState } from './gateway-state.js';
import type { EndOfRequest, SendResult } from './sender.js';
import { runDecode } from './stream-decode.js';
import { runPrefill } from './stream-prefill.js';
import {
  judgeFailure,
  findEngine,
  findPatienceEnd,
  makeProgress,
  notifyEngineFailed,
  type StreamProgress,
} from './stream-progress.js';

type Granted = Extract<PlaceReply, { kind: 'granted' }>;

/** Refusals after which the KV cache of a prompt is taken for lost. */
const MAX_HANDLE_REFUSALS = 2;
const MAX_FAILED_PREFILLS = 3;
/** Time that one more run needs at least. */
const LEAST_LEFT_MS = 500;
const DEFAULT_OUTPUT_SHARE = 0.5;
/** Pause between events that is on time where the route names none. */
const DEFAULT_PAUSE_MS = 1_000;

/** Digests what stays the same when a caller tries again. */
function digestPrompt({ path, fields }: GatewayRequest): string {
  const text = `${path} ${fields.promptKey ?? fields.requestId}`;
  return createHash('sha256').update(text).digest('base64');
}

function buildAsk(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
): SlotRequest {
  const { fields } = request;
  state.askCount += 1;
  const { maxOutputTokens = 0, expectedOutputTokens } = fields;
  return {
    askId: `${state.startName}/${state.askCount}` as SlotRequestId,
    vmId: state.settings.vmId,
    contentKey: digestPrompt(request),
    promptTokens: fields.promptTokens ?? 0,
    outputTokens: expectedOutputTokens ?? DEFAULT_OUTPUT_SHARE * maxOutputTokens,
    aimAt: request.aimAt,
    pauseMs: request.route.gapTargetMs ?? DEFAULT_PAUSE_MS,
    patienceEndsAt: findPatienceEnd(request),
    needsPrefill: progress.kvSource === undefined,
    isContinued: progress.prefillSends > 0 || progress.runs > 0,
    endsBy: Infinity,
    excluded: [...progress.excluded],
  };
}

/** Asks for a place and waits for it; withdraws the ask if the request ends meanwhile. */
function* awaitPlace(
  state: GatewayState,
  request: GatewayRequest,
  ask: SlotRequest,
  hasRun: boolean,
): Task<PlaceReply | EndOfRequest> {
  const { service, inbox } = request;
  const onReply = (reply: PlaceReply): void => {
    offer(inbox, { kind: 'place', reply });
  };
  requestPlace(state.pools, { kind: 'ask', service, ask, hasRun, onReply }, state.logger);
  for (;;) {
    const message = yield* receive(inbox);
    if (message?.kind === 'place' && message.reply.askId === ask.askId) return message.reply;
    if (message === undefined || message.kind === 'caller-gone' || message.kind === 'timed-out') {
      requestPlace(state.pools, { kind: 'withdraw', askId: ask.askId }, state.logger);
      return message ?? { kind: 'caller-gone' };
    }
  }
}

function endOver(request: GatewayRequest, end: EndOfRequest, progress: StreamProgress): void {
  if (end.kind === 'caller-gone') return;
  const { reply } = request;
  if (reply.getState() === 'begun') reply.breakOff();
  else reply.refuse(progress.runs === 0 ? 'upstream-timeout' : 'outcome-unknown');
}

function failStream(request: GatewayRequest): void {
  const { reply } = request;
  if (reply.getState() === 'begun') reply.breakOff();
  else reply.refuse('upstream-failed');
}

/** Refuses truthfully: only a stream that ran nowhere has not run. */
function refuseStream(
  request: GatewayRequest,
  progress: StreamProgress,
  retryAfterMs: number,
): void {
  const { reply } = request;
  if (reply.getState() === 'begun') reply.breakOff();
  else if (progress.runs > 0) reply.refuse('upstream-failed');
  else reply.refuse('deadline-unreachable', retryAfterMs);
}

const RETRY_AFTER_FAILURE_MS = 1_000;

type StepEnd = 'again' | 'done';

/** Reads the prompt for a granted place; true if the run may start. */
function* preparePrompt(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  granted: Granted,
): Task<'ready' | StepEnd> {
  if (granted.prefill === undefined || progress.kvSource !== undefined) return 'ready';
  const { askId } = granted;
  const engine = findEngine(state, granted.prefill);
  const result: SendResult =
    engine === undefined
      ? { kind: 'outcome', outcome: { kind: 'not-run', reason: 'engine is gone' } }
      : yield* runPrefill(state, request, progress, engine);
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
    requestPlace(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
    endOver(request, result, progress);
    return 'done';
  }
  if (progress.kvSource !== undefined) {
    requestPlace(state.pools, { kind: 'prefilled', askId }, state.logger);
    return 'ready';
  }
  requestPlace(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
  notifyEngineFailed(state, request, granted.prefill, judgeFailure(result));
  progress.failedPrefills += 1;
  if (progress.failedPrefills < MAX_FAILED_PREFILLS && takeRetryOf(state, request.service)) {
    return 'again';
  }
  refuseStream(request, progress, RETRY_AFTER_FAILURE_MS);
  return 'done';
}

/**
 * An engine that refuses may be full, or may not get the KV cache. After a second refusal the cache
 * is taken for lost, and the engine that made it is reported.
 */
function checkHandle(state: GatewayState, request: GatewayRequest, progress: StreamProgress): void {
  const { kvSource } = progress;
  if (kvSource === undefined) return;
  progress.handleRefusals += 1;
  const isKept = progress.kvKeptUntil > getSteadyMs();
  if (isKept && progress.handleRefusals < MAX_HANDLE_REFUSALS) return;
  progress.kvSource = undefined;
  progress.handleRefusals = 0;
  if (isKept) notifyEngineFailed(state, request, kvSource.upstreamId, 'handle-lost');
}

/** Arrivals that one more try brings: the run, and its prompt if that has been read before. */
function countArrivals({ kvSource, prefillSends }: StreamProgress): number {
  return kvSource === undefined && prefillSends > 0 ? 2 : 1;
}

/** Decides what follows a run that did not come to its end. */
function continueAfter(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  end: 'not-run' | 'broken',
): StepEnd {
  const { route, service } = request;
  const hasTime = request.deadlineAt - getSteadyMs() > LEAST_LEFT_MS;
  if (end === 'not-run') {
    checkHandle(state, request, progress);
    if (hasTime && takeRetryOf(state, service, countArrivals(progress))) return 'again';
    refuseStream(request, progress, RETRY_AFTER_FAILURE_MS);
    return 'done';
  }
  progress.kvSource = undefined;
  const mayGoOn = route.isResumable && progress.runs < route.maxAttempts && hasTime;
  if (mayGoOn && takeRetryOf(state, service, countArrivals(progress))) return 'again';
  failStream(request);
  return 'done';
}

/** Finds a granted engine that this VM does not list: its list or the owner's is out of date. */
function findMissingEngine(
  state: GatewayState,
  { prefill, decode }: Granted,
): UpstreamId | undefined {
  for (const upstreamId of [prefill, decode]) {
    if (upstreamId !== undefined && findEngine(state, upstreamId) === undefined) return upstreamId;
  }
  return undefined;
}

/** Gives the place back and asks for one without this engine; nothing was sent, so nothing is retried. */
function avoidEngine(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  { askId }: Granted,
  upstreamId: UpstreamId,
): StepEnd {
  const { requestId } = request.fields;
  state.logger.warn({ requestId, upstreamId }, 'streams: granted engine is not listed here');
  progress.excluded.add(upstreamId);
  requestPlace(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
  return 'again';
}

function* runGranted(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  granted: Granted,
): Task<StepEnd> {
  const missing = findMissingEngine(state, granted);
  if (missing !== undefined && !progress.excluded.has(missing)) {
    return avoidEngine(state, request, progress, granted, missing);
  }
  const prepared = yield* preparePrompt(state, request, progress, granted);
  if (prepared !== 'ready') return prepared;
  const { askId, decode } = granted;
  const engine = findEngine(state, decode);
  if (engine === undefined) {
    requestPlace(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
    return continueAfter(state, request, progress, 'not-run');
  }
  const runsBefore = progress.runs;
  const { end, result } = yield* runDecode(state, request, progress, engine, askId);
  const didFinish = end === 'finished';
  requestPlace(state.pools, { kind: 'end', askId, didFinish }, state.logger);
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
    endOver(request, result, progress);
    return 'done';
  }
  const { fingerprint } = request;
  if (end === 'finished') state.contents.recordAnswered(fingerprint);
  if (end === 'finished' || end === 'over') return 'done';
  if (end === 'broken') state.contents.recordBroken(decode, fingerprint, progress.events > 0);
  notifyEngineFailed(state, request, decode, judgeFailure(result));
  progress.excluded.add(decode);
  // A send that may have reached the engine counts as a run even if nothing came back.
  if (end === 'broken' && progress.runs === runsBefore) progress.runs += 1;
  return continueAfter(state, request, progress, end);
}

/** Serves one stream. */
export function* runStreamRequest(state: GatewayState, request: GatewayRequest): Task {
  const progress = makeProgress(request);
  for (;;) {
    const ask = buildAsk(state, request, progress);
    const place = yield* awaitPlace(state, request, ask, progress.runs > 0);
    const { requestId } = request.fields;
    const waitedMs = getSteadyMs() - request.arrivedAt;
    state.logger.info(
      { requestId, ask, place, waitedMs, version: request.configurationVersion },
      'streams: place',
    );
    if (place.kind === 'caller-gone' || place.kind === 'timed-out') {
      endOver(request, place, progress);
      return;
    }
    if (place.kind === 'refused') {
      refuseStream(request, progress, place.retryAfterMs);
      return;
    }
    const end = yield* runGranted(state, request, progress, place);
    if (end === 'done') return;
  }
}
