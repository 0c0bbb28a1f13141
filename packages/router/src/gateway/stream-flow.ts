/** Serves streams: requests a slot, prefills the prompt, then forwards the answer. */

import {
  findLimit,
  listUnusableUpstreams,
  listUsableUpstreams,
  type SlotRequestId,
  type SlotRequest,
  type StreamOrigin,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { SlotReply } from '../pools/place-messages.js';
import { sendPoolMessage } from '../pools/pool-task.js';
import { offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import { takeServiceRetries, type GatewayState } from './gateway-state.js';
import { findQuarantineReason } from './quarantine-check.js';
import type { RequestEnd, SendResult } from './sender.js';
import { runDecode } from './stream-decode.js';
import { runPrefill } from './stream-prefill.js';
import {
  findEngineFailure,
  findEngine,
  findFirstEventDeadline,
  makeStreamProgress,
  notifyEngineFailed,
  type StreamProgress,
} from './stream-progress.js';
import { findStreamOrigin } from './stream-resume.js';
import { findRetryAfterMs } from './upstream-notices.js';

type SlotGrant = Extract<SlotReply, { kind: 'granted' }>;

/** Refusals by decode engines after which the KV cache of a prompt counts as lost. */
const MAX_KV_HANDLE_REFUSALS = 2;
const MAX_FAILED_PREFILLS = 3;
/** Least time before the deadline for which one more attempt is worth starting. */
const MIN_REMAINING_MS = 500;
const DEFAULT_OUTPUT_SHARE = 0.5;
/** Target for the gap between events if the route has none. */
const DEFAULT_GAP_TARGET_MS = 1_000;

function buildSlotRequest(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
): SlotRequest {
  const { fields } = request;
  state.slotRequestCount += 1;
  const { maxOutputTokens = 0, expectedOutputTokens } = fields;
  const unusable = listUnusableUpstreams(state.upstreams, request.service, getSteadyMs());
  const { leaving, paused } = unusable;
  return {
    askId: `${state.processStartId}/${state.slotRequestCount}` as SlotRequestId,
    vmId: state.settings.vmId,
    dataCentre: state.settings.dataCentre,
    rank: request.route.priority,
    contentKey: request.contentKey,
    promptTokens: fields.promptTokens ?? 0,
    outputTokens: expectedOutputTokens ?? DEFAULT_OUTPUT_SHARE * maxOutputTokens,
    aimAt: request.aimAt,
    pauseMs: request.route.gapTargetMs ?? DEFAULT_GAP_TARGET_MS,
    patienceEndsAt: findFirstEventDeadline(request),
    needsPrefill: progress.kvSource === undefined,
    isContinued: progress.prefillSends > 0 || progress.runs > 0 || progress.origin !== undefined,
    endsBy: Infinity,
    excluded: [...new Set([...progress.excluded, ...leaving, ...paused])],
    softwareVersion: progress.origin?.softwareVersion,
  };
}

/**
 * Requests a slot and waits for the reply; withdraws the slot request if the caller's request ends.
 */
function* awaitSlotReply(
  state: GatewayState,
  request: GatewayRequest,
  pending: SlotRequest,
  hasRun: boolean,
): Task<SlotReply | RequestEnd> {
  const { service, inbox } = request;
  const onReply = (reply: SlotReply): void => {
    offer(inbox, { kind: 'place', reply });
  };
  sendPoolMessage(
    state.pools,
    { kind: 'ask', service, ask: pending, hasRun, onReply },
    state.logger,
  );
  for (;;) {
    const message = yield* receive(inbox);
    if (message?.kind === 'place' && message.reply.askId === pending.askId) return message.reply;
    if (message === undefined || message.kind === 'caller-gone' || message.kind === 'timed-out') {
      sendPoolMessage(state.pools, { kind: 'withdraw', askId: pending.askId }, state.logger);
      return message ?? { kind: 'caller-gone' };
    }
  }
}

function endUnfinished(request: GatewayRequest, end: RequestEnd, progress: StreamProgress): void {
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

/** Refuses a stream; reports it as not executed only if no engine has started it. */
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

type NextAction = 'again' | 'done';

/**
 * Finds an engine of a grant that may get the request now. It may not if it is leaving, paused or not
 * listed by this VM, or if it has named a limit and the grant includes no permit.
 */
function findGrantedEngine(
  state: GatewayState,
  { permits }: SlotGrant,
  upstreamId: UpstreamId,
): UpstreamRecord | undefined {
  const engine = findEngine(state, upstreamId);
  if (engine === undefined) return undefined;
  const isLimited = findLimit(state.limits, upstreamId, engine.incarnation) !== undefined;
  return isLimited && !permits.includes(upstreamId) ? undefined : engine;
}

/** Prefills the prompt for a granted slot if needed; `ready` if decoding may start. */
function* ensurePrefilled(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  grant: SlotGrant,
): Task<'ready' | NextAction> {
  if (grant.prefill === undefined || progress.kvSource !== undefined) return 'ready';
  const { askId } = grant;
  const engine = findGrantedEngine(state, grant, grant.prefill);
  const result: SendResult =
    engine === undefined
      ? { kind: 'outcome', outcome: { kind: 'not-run', reason: 'engine is gone' } }
      : yield* runPrefill(state, request, progress, engine);
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
    sendPoolMessage(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
    endUnfinished(request, result, progress);
    return 'done';
  }
  if (progress.kvSource !== undefined) {
    sendPoolMessage(state.pools, { kind: 'prefilled', askId }, state.logger);
    return 'ready';
  }
  sendPoolMessage(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
  notifyEngineFailed(state, request, grant.prefill, findEngineFailure(result));
  progress.failedPrefills += 1;
  if (progress.failedPrefills < MAX_FAILED_PREFILLS && takeServiceRetries(state, request.service)) {
    return 'again';
  }
  refuseStream(request, progress, RETRY_AFTER_FAILURE_MS);
  return 'done';
}

/**
 * Handles a refusal by a decode engine, which may be full or unable to fetch the KV cache. After a
 * second refusal the cache counts as lost, and the engine that holds it is reported.
 */
function checkKvHandle(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
): void {
  const { kvSource } = progress;
  if (kvSource === undefined) return;
  progress.handleRefusals += 1;
  const isStored = progress.kvExpiresAt > getSteadyMs();
  if (isStored && progress.handleRefusals < MAX_KV_HANDLE_REFUSALS) return;
  progress.kvSource = undefined;
  progress.handleRefusals = 0;
  if (isStored) notifyEngineFailed(state, request, kvSource.upstreamId, 'handle-lost');
}

/** Counts the retries of one more attempt: the decode, and the prefill if it is repeated. */
function countRetries({ kvSource, prefillSends }: StreamProgress): number {
  return kvSource === undefined && prefillSends > 0 ? 2 : 1;
}

/** Decides whether a stream is tried again after a decode that did not finish. */
function continueAfter(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  end: 'not-run' | 'broken',
): NextAction {
  const { route, service } = request;
  const hasTime = request.deadlineAt - getSteadyMs() > MIN_REMAINING_MS;
  if (end === 'not-run') {
    checkKvHandle(state, request, progress);
    if (hasTime && takeServiceRetries(state, service, countRetries(progress))) return 'again';
    refuseStream(request, progress, RETRY_AFTER_FAILURE_MS);
    return 'done';
  }
  progress.kvSource = undefined;
  const canContinue = route.isResumable && progress.runs < route.maxAttempts && hasTime;
  if (canContinue && takeServiceRetries(state, service, countRetries(progress))) return 'again';
  failStream(request);
  return 'done';
}

/** Whether an engine may go on with a stream: only those of the version that began it may. */
function isOfOrigin({ softwareVersion }: UpstreamRecord, { origin }: StreamProgress): boolean {
  return (origin?.softwareVersion ?? softwareVersion) === softwareVersion;
}

/** Finds an engine of a grant that this VM may not use. */
function findUnusableEngine(
  state: GatewayState,
  progress: StreamProgress,
  grant: SlotGrant,
): UpstreamId | undefined {
  const { prefill, decode } = grant;
  const canPrefill = prefill === undefined || findGrantedEngine(state, grant, prefill);
  if (!canPrefill) return prefill;
  const engine = findGrantedEngine(state, grant, decode);
  return engine !== undefined && isOfOrigin(engine, progress) ? undefined : decode;
}

/**
 * Frees the slot and excludes an engine from the next slot request; no retry, as nothing was sent.
 */
function excludeEngine(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  { askId }: SlotGrant,
  upstreamId: UpstreamId,
): NextAction {
  const { requestId } = request.fields;
  state.logger.warn(
    { requestId, upstreamId },
    'streams: granted engine is not listed by this VM, leaving, paused or limited',
  );
  progress.excluded.add(upstreamId);
  sendPoolMessage(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
  return 'again';
}

/**
 * Ends a request whose content has come into quarantine since it arrived, and frees its slot; returns
 * whether it did. Asked before each send.
 */
function endQuarantined(
  state: GatewayState,
  request: GatewayRequest,
  { askId }: SlotGrant,
): boolean {
  const reason = findQuarantineReason(state, request);
  if (reason === undefined) return false;
  sendPoolMessage(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
  const { reply, fields } = request;
  state.logger.warn({ requestId: fields.requestId, reason }, 'quarantine: request ended');
  state.metrics.quarantined.inc({ reason: reason.kind });
  if (reply.getState() === 'begun') reply.breakOff();
  else reply.refuse('quarantined');
  return true;
}

function* runGrantedStream(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  grant: SlotGrant,
): Task<NextAction> {
  const unusable = findUnusableEngine(state, progress, grant);
  if (unusable !== undefined && !progress.excluded.has(unusable)) {
    return excludeEngine(state, request, progress, grant, unusable);
  }
  if (endQuarantined(state, request, grant)) return 'done';
  const prepared = yield* ensurePrefilled(state, request, progress, grant);
  if (prepared !== 'ready') return prepared;
  if (endQuarantined(state, request, grant)) return 'done';
  const { askId, decode } = grant;
  const engine = findGrantedEngine(state, grant, decode);
  if (engine === undefined || !isOfOrigin(engine, progress)) {
    sendPoolMessage(state.pools, { kind: 'end', askId, didFinish: false }, state.logger);
    return continueAfter(state, request, progress, 'not-run');
  }
  const runsBefore = progress.runs;
  const { end, result, hasEvents } = yield* runDecode(state, request, progress, engine, askId);
  const didFinish = end === 'finished';
  sendPoolMessage(state.pools, { kind: 'end', askId, didFinish }, state.logger);
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
    endUnfinished(request, result, progress);
    return 'done';
  }
  const { fingerprint, sharedParts: promptParts } = request;
  if (end === 'finished') state.contentGuard.recordAnswered(fingerprint);
  if (end === 'finished' || end === 'over') return 'done';
  const content = { fingerprint, hasEvents, promptParts };
  if (end === 'broken') state.contentGuard.recordBroken(decode, content);
  notifyEngineFailed(state, request, decode, findEngineFailure(result));
  progress.excluded.add(decode);
  // A send that may have reached the engine counts as executed even if no answer arrived.
  if (end === 'broken' && progress.runs === runsBefore) progress.runs += 1;
  return continueAfter(state, request, progress, end);
}

/** Finds why no engine may get a stream, as far as this VM's list tells; undefined if one may. */
function findNoEngineReason(
  state: GatewayState,
  { service }: GatewayRequest,
  progress: StreamProgress,
): 'version-gone' | 'no-upstream' | undefined {
  const now = getSteadyMs();
  const isDecoder = (engine: UpstreamRecord): boolean =>
    engine.stage === 'decode' && isOfOrigin(engine, progress);
  if (listUsableUpstreams(state.upstreams, service, now).some(isDecoder)) return undefined;
  const listed = [...state.upstreams.records.values()].filter(
    (engine) => engine.service === service && isDecoder(engine),
  );
  if (progress.origin !== undefined && listed.every(({ isLeaving }) => isLeaving)) {
    return 'version-gone';
  }
  const { leaving, paused } = listUnusableUpstreams(state.upstreams, service, now);
  return progress.runs > 0 || leaving.length + paused.length === 0 ? undefined : 'no-upstream';
}

/**
 * Ends a stream that no engine may get: all leave or pause, or none is left of the version that
 * began it. Returns whether it did.
 */
function endWithoutEngine(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
): boolean {
  const reason = findNoEngineReason(state, request, progress);
  if (reason === undefined) return false;
  const { reply, service, fields } = request;
  const { requestId } = fields;
  const { origin, runs } = progress;
  const { leaving, paused } = listUnusableUpstreams(state.upstreams, service, getSteadyMs());
  state.logger.info(
    { requestId, service, reason, origin, leaving, paused },
    'streams: no engine may be used',
  );
  if (runs > 0 || reply.getState() === 'begun') failStream(request);
  else if (reason === 'version-gone') reply.refuse(reason);
  else reply.refuse(reason, findRetryAfterMs(state, service));
  return true;
}

/** Serves a stream that begins, or that goes on where it began. */
function* runStream(
  state: GatewayState,
  request: GatewayRequest,
  origin: StreamOrigin | undefined,
): Task {
  const progress = makeStreamProgress(request, origin);
  for (;;) {
    if (endWithoutEngine(state, request, progress)) return;
    const slotRequest = buildSlotRequest(state, request, progress);
    const slotReply = yield* awaitSlotReply(state, request, slotRequest, progress.runs > 0);
    const { requestId } = request.fields;
    const waitedMs = getSteadyMs() - request.arrivedAt;
    state.logger.info(
      {
        requestId,
        ask: slotRequest,
        place: slotReply,
        waitedMs,
        version: request.configurationVersion,
        lastEventId: progress.lastEventId,
        resumedStream: request.fields.resumedStream,
      },
      'streams: slot request answered',
    );
    const outcome = slotReply.kind === 'refused' ? slotReply.reason : slotReply.kind;
    state.metrics.slotReplies.inc({ rank: slotRequest.rank, outcome });
    if (slotReply.kind === 'caller-gone' || slotReply.kind === 'timed-out') {
      endUnfinished(request, slotReply, progress);
      return;
    }
    if (slotReply.kind === 'refused') {
      refuseStream(request, progress, slotReply.retryAfterMs);
      return;
    }
    const end = yield* runGrantedStream(state, request, progress, slotReply);
    if (end === 'done') return;
  }
}

/** A home of the stream's service that did not answer may do so after this time. */
const RETRY_AFTER_UNKNOWN_MS = 500;

/** Serves one stream, on further engines if one fails and the retry budget allows it. */
export function* runStreamRequest(state: GatewayState, request: GatewayRequest): Task {
  const result = yield* findStreamOrigin(state, request);
  switch (result.kind) {
    case 'new':
      yield* runStream(state, request, undefined);
      return;
    case 'known': {
      const { origin } = result;
      const { service } = origin;
      const isTarget = request.route.targets.some((target) => target.service === service);
      if (isTarget) yield* runStream(state, { ...request, service }, origin);
      else request.reply.refuse('version-gone');
      return;
    }
    case 'unknown':
      request.reply.refuse('stream-unknown', RETRY_AFTER_UNKNOWN_MS);
      return;
    case 'caller-gone':
      return;
    case 'timed-out':
      request.reply.refuse('upstream-timeout');
      return;
    default:
      result satisfies never;
  }
}
