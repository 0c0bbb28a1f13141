/** Serves streams: a place first, then the prompt is read, then the answer is passed on. */

import {
  makeEventSplitter,
  type AskId,
  type EventSplitter,
  type PlaceAsk,
  type SendOutcome,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { EngineFailure, UpstreamId } from '@tarragonspool/protocol';
import type { PlaceReply } from '../pools/place-messages.js';
import { requestPlace } from '../pools/pool-task.js';
import { offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { UpstreamExchange } from '../upstreams/upstream-client.js';
import type { GatewayRequest } from './gateway-request.js';
import { takeRetryOf, type GatewayState } from './gateway-state.js';
import type { KvSource, PlacementFields } from './ports.js';
import { sendOnce, type AnswerHead, type EndOfRequest, type SendResult } from './sender.js';

/** What has happened to one stream so far. */
type StreamProgress = {
  readonly excluded: Set<UpstreamId>;
  /** Engines on which it has begun to run. */
  runs: number;
  failedPrefills: number;
  lastEventId: number | undefined;
  events: number;
  /** KV cache of the prompt that no engine has taken yet. */
  kvSource: KvSource | undefined;
  kvKeptUntil: number;
};

type Granted = Extract<PlaceReply, { kind: 'granted' }>;

/** Callers abandon a stream after a gap of the greatest of these. */
const MIN_ABANDON_MS = 2_000;
const TARGETS_TO_ABANDON = 4;
const GAPS_TO_ABANDON = 8;
const ABANDON_MARGIN_MS = 350;
const MAX_FAILED_PREFILLS = 3;
/** An engine that is alive reads any prompt within this time. */
const PREFILL_TIMEOUT_MS = 1_500;
const HEAD_TIMEOUT_MS = 1_500;
const SILENCE_MS = 1_200;
const HANDLE_MARGIN_MS = 150;
const DEFAULT_OUTPUT_SHARE = 0.5;
const HTTP_OK = 200;

function makeProgress(request: GatewayRequest): StreamProgress {
  return {
    excluded: new Set(),
    runs: 0,
    failedPrefills: 0,
    lastEventId: request.fields.lastEventId,
    events: 0,
    kvSource: undefined,
    kvKeptUntil: 0,
  };
}

function findPatienceEnd({ route, arrivedAt, deadlineAt }: GatewayRequest): number {
  const gapMs = Math.max(
    MIN_ABANDON_MS,
    TARGETS_TO_ABANDON * route.targetLatencyMs,
    GAPS_TO_ABANDON * (route.gapTargetMs ?? 0),
  );
  return Math.min(deadlineAt, arrivedAt + gapMs - ABANDON_MARGIN_MS);
}

function buildAsk(state: GatewayState, request: GatewayRequest, progress: StreamProgress): PlaceAsk {
  const { fields } = request;
  state.askCount += 1;
  const { maxOutputTokens = 0, expectedOutputTokens } = fields;
  return {
    askId: `${state.startName}/${state.askCount}` as AskId,
    vmId: state.settings.vmId,
    promptTokens: fields.promptTokens ?? 0,
    outputTokens: expectedOutputTokens ?? DEFAULT_OUTPUT_SHARE * maxOutputTokens,
    aimAt: request.aimAt,
    patienceEndsAt: findPatienceEnd(request),
    needsPrefill: progress.kvSource === undefined,
    excluded: [...progress.excluded],
  };
}

/** Asks for a place and waits for it; withdraws the ask if the request ends meanwhile. */
function* awaitPlace(
  state: GatewayState,
  request: GatewayRequest,
  ask: PlaceAsk,
): Task<PlaceReply | EndOfRequest> {
  const { service, inbox } = request;
  const onReply = (reply: PlaceReply): void => {
    offer(inbox, { kind: 'place', reply });
  };
  requestPlace(state.pools, { kind: 'ask', service, ask, onReply }, state.logger);
  for (;;) {
    const message = yield* receive(inbox);
    if (message?.kind === 'place' && message.reply.askId === ask.askId) return message.reply;
    if (message === undefined || message.kind === 'caller-gone' || message.kind === 'timed-out') {
      requestPlace(state.pools, { kind: 'withdraw', askId: ask.askId }, state.logger);
      return message ?? { kind: 'caller-gone' };
    }
  }
}

function findEngine(state: GatewayState, upstreamId: UpstreamId): UpstreamRecord | undefined {
  const record = state.upstreams.records.get(upstreamId);
  return record === undefined || record.isLeaving ? undefined : record;
}

function tellEngineFailed(
  state: GatewayState,
  request: GatewayRequest,
  upstreamId: UpstreamId,
  failure: EngineFailure,
): void {
  const { service } = request;
  requestPlace(state.pools, { kind: 'engine-failed', service, upstreamId, failure }, state.logger);
}

function classifyFailure(result: SendResult): EngineFailure {
  const outcome = readOutcome(result);
  return outcome.kind === 'not-run' ? 'full' : 'broken';
}

function readOutcome(result: SendResult): SendOutcome {
  if (result.kind === 'outcome') return result.outcome;
  return { kind: 'unknown', reason: result.kind };
}

/** Has the prompt read; keeps the handle of its KV cache in `progress`. */
function* runPrefill(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  engine: UpstreamRecord,
): Task<SendResult> {
  const sentAt = getSteadyMs();
  const parts: Buffer[] = [];
  const placement: SendFields = { isPrefillOnly: true, ...buildResumeFields(progress) };
  const result = yield* sendOnce(state, request, {
    server: engine,
    placement,
    headDueAt: sentAt + PREFILL_TIMEOUT_MS,
    silenceMs: SILENCE_MS,
    onSilence: () => tellEngineFailed(state, request, engine.upstreamId, 'silent'),
    onHead: () => undefined,
    onData: (chunk) => parts.push(chunk),
  });
  const outcome = readOutcome(result);
  const isRead = outcome.kind === 'answered' && outcome.status === HTTP_OK;
  const prefill = isRead ? state.ports.dialect.decodePrefill(Buffer.concat(parts)) : undefined;
  if (prefill !== undefined) {
    const now = getSteadyMs();
    const engineLimits = state.configuration?.services.get(request.service)?.engine;
    progress.kvSource = { address: engine.address, handle: prefill.handle };
    progress.kvKeptUntil = now + (engineLimits?.handleTtlMs ?? 0) - HANDLE_MARGIN_MS;
  }
  const { requestId } = request.fields;
  const tookMs = getSteadyMs() - sentAt;
  const { upstreamId } = engine;
  state.logger.info({ requestId, upstreamId, outcome, tookMs }, 'streams: prompt read');
  state.metrics.sends.inc({ step: 'prefill', outcome: outcome.kind });
  return result;
}

type SendFields = Omit<PlacementFields, 'upstreamId' | 'leftMs'>;

function buildResumeFields({ lastEventId, runs }: StreamProgress): SendFields {
  return runs > 0 && lastEventId !== undefined ? { resumeAfterEvent: lastEventId } : {};
}

/** Passes an answer on as it arrives, in whole events where it may be resumed. */
function makeRelay(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  onFirstEvent: () => void,
) {
  const { reply, route } = request;
  let hasEvent = false;
  const splitter: EventSplitter = makeEventSplitter();
  let isPassedOn = false;

  function write(bytes: Buffer, exchange: UpstreamExchange): void {
    if (bytes.length === 0 || reply.write(bytes)) return;
    exchange.pause();
    reply.onDrain(() => exchange.resume());
  }

  return {
    onHead: (head: AnswerHead): void => {
      isPassedOn = head.status === HTTP_OK && head.isSigned && !head.isNotRun;
      if (!isPassedOn) return;
      progress.runs += 1;
      progress.kvSource = undefined;
      if (reply.getState() === 'open') {
        reply.begin(head.status, state.ports.dialect.makeAnswerHeaders(head.rawHeaders));
      }
    },
    onData: (chunk: Buffer, exchange: UpstreamExchange): void => {
      if (!isPassedOn) return;
      const { whole, count, lastEventId } = splitter.split(chunk);
      if (count > 0 && !hasEvent) {
        hasEvent = true;
        onFirstEvent();
      }
      if (count > 0 && progress.events === 0) {
        const waitedMs = getSteadyMs() - request.arrivedAt;
        state.metrics.firstEventSeconds.observe(waitedMs / 1_000);
      }
      progress.events += count;
      progress.lastEventId = lastEventId ?? progress.lastEventId;
      write(route.isResumable ? whole : chunk, exchange);
    },
    finish: (): void => {
      const rest = splitter.takeRest();
      if (route.isResumable && rest.length > 0) reply.write(rest);
      reply.end();
    },
    isPassedOn: () => isPassedOn,
  };
}

/** How a run at a decode engine left the stream. */
type RunEnd = 'finished' | 'not-run' | 'broken' | 'over';

function judgeRun(result: SendResult, isPassedOn: boolean): RunEnd {
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') return 'over';
  if (result.kind === 'slow') return 'broken';
  const { outcome } = result;
  if (outcome.kind === 'not-run') return 'not-run';
  return outcome.kind === 'answered' && isPassedOn ? 'finished' : 'broken';
}

function* runDecode(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  engine: UpstreamRecord,
  askId: AskId,
): Task<{ end: RunEnd; result: SendResult }> {
  // An engine that reads the prompt itself has read it when its first event comes.
  const onFirstEvent = (): void =>
    requestPlace(state.pools, { kind: 'prefilled', askId }, state.logger);
  const relay = makeRelay(state, request, progress, onFirstEvent);
  const sentAt = getSteadyMs();
  const { route } = request;
  const { kvSource } = progress;
  const mayGoOn = route.isResumable && progress.runs + 1 < route.maxAttempts;
  const placement: SendFields = {
    ...buildResumeFields(progress),
    ...(kvSource === undefined ? {} : { kvSource }),
  };
  const result = yield* sendOnce(state, request, {
    server: engine,
    placement,
    headDueAt: mayGoOn ? sentAt + HEAD_TIMEOUT_MS : request.deadlineAt + 1,
    ...(mayGoOn ? { silenceMs: SILENCE_MS } : {}),
    onSilence: () => tellEngineFailed(state, request, engine.upstreamId, 'silent'),
    onHead: relay.onHead,
    onData: relay.onData,
  });
  const end = judgeRun(result, relay.isPassedOn());
  if (end === 'finished') relay.finish();
  const { requestId } = request.fields;
  const { upstreamId } = engine;
  const { events, runs } = progress;
  const tookMs = getSteadyMs() - sentAt;
  state.logger.info(
    { requestId, upstreamId, end, outcome: readOutcome(result), events, runs, tookMs },
    'streams: run ended',
  );
  state.metrics.sends.inc({ step: 'decode', outcome: end });
  return { end, result };
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
  tellEngineFailed(state, request, granted.prefill, classifyFailure(result));
  progress.excluded.add(granted.prefill);
  progress.failedPrefills += 1;
  if (progress.failedPrefills < MAX_FAILED_PREFILLS && takeRetryOf(state, request.service)) {
    return 'again';
  }
  refuseStream(request, progress, RETRY_AFTER_FAILURE_MS);
  return 'done';
}

/** Decides what follows a run that did not come to its end. */
function continueAfter(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  end: 'not-run' | 'broken',
): StepEnd {
  const { route, service } = request;
  const hasTime = request.deadlineAt - getSteadyMs() > MIN_ABANDON_MS / 4;
  if (end === 'not-run') {
    const isKept = progress.kvKeptUntil > getSteadyMs();
    if (!isKept) progress.kvSource = undefined;
    if (hasTime && takeRetryOf(state, service)) return 'again';
    refuseStream(request, progress, RETRY_AFTER_FAILURE_MS);
    return 'done';
  }
  progress.kvSource = undefined;
  const mayGoOn = route.isResumable && progress.runs < route.maxAttempts && hasTime;
  if (mayGoOn && takeRetryOf(state, service)) return 'again';
  failStream(request);
  return 'done';
}

function* runGranted(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  granted: Granted,
): Task<StepEnd> {
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
  if (end === 'finished' || end === 'over') return 'done';
  tellEngineFailed(state, request, decode, classifyFailure(result));
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
    const place = yield* awaitPlace(state, request, ask);
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
