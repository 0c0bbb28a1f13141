/** Runs a stream on the engines of a granted slot: prefill where needed, then decode. */

import type { SendClearance, SendRefusal } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { SlotReply } from '../pools/place-messages.js';
import { sendPoolMessage } from '../pools/pool-task.js';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import { takeServiceRetries, type GatewayState } from './gateway-state.js';
import { endQuarantined } from './quarantine-check.js';
import { askRequestSend } from './send-question.js';
import type { SendResult } from './sender.js';
import { runDecode } from './stream-decode.js';
import { endUnfinished, failStream, refuseStream } from './stream-ends.js';
import { runPrefill } from './stream-prefill.js';
import { findEngineFailure, notifyEngineFailed, type StreamProgress } from './stream-progress.js';

type SlotGrant = Extract<SlotReply, { kind: 'granted' }>;

/** Refusals by decode engines after which the KV cache of a prompt counts as lost. */
const MAX_KV_HANDLE_REFUSALS = 2;
const MAX_FAILED_PREFILLS = 3;
/** Least time before the deadline for which one more attempt is worth starting. */
const MIN_REMAINING_MS = 500;
const RETRY_AFTER_FAILURE_MS = 1_000;

/** Whether the stream requests a slot again. */
export type NextAction = 'again' | 'done';

function endGrant(state: GatewayState, { askId }: SlotGrant, didFinish: boolean): void {
  sendPoolMessage(state.pools, { kind: 'end', askId, didFinish }, state.logger);
}

/** Asks whether an engine of a grant may get the prefill of a stream. */
function askPrefill(
  state: GatewayState,
  request: GatewayRequest,
  { permits }: SlotGrant,
  upstreamId: UpstreamId,
): SendClearance {
  return askRequestSend(state, request, { upstreamId, hasPermit: permits.includes(upstreamId) });
}

/** Asks whether an engine of a grant may get the decode: only one of the version that began it may. */
function askDecode(
  state: GatewayState,
  request: GatewayRequest,
  { origin }: StreamProgress,
  { permits, decode: upstreamId }: SlotGrant,
): SendClearance {
  const hasPermit = permits.includes(upstreamId);
  const softwareVersion = origin?.softwareVersion;
  return askRequestSend(state, request, { upstreamId, hasPermit, softwareVersion });
}

/** Ends a stream that may not be sent anywhere, and frees its slot; returns whether it did. */
function endIfQuarantined(
  state: GatewayState,
  request: GatewayRequest,
  grant: SlotGrant,
  { reason }: SendRefusal,
): boolean {
  if (reason !== 'quarantined') return false;
  endGrant(state, grant, false);
  endQuarantined(state, request);
  return true;
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
  const clearance = askPrefill(state, request, grant, grant.prefill);
  if (clearance.kind === 'refused' && endIfQuarantined(state, request, grant, clearance.refusal)) {
    return 'done';
  }
  const result: SendResult =
    clearance.kind === 'refused'
      ? { kind: 'outcome', outcome: { kind: 'not-run', reason: clearance.refusal.reason } }
      : yield* runPrefill(state, request, progress, clearance.server);
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
    endGrant(state, grant, false);
    endUnfinished(request, result, progress);
    return 'done';
  }
  if (progress.kvSource !== undefined) {
    sendPoolMessage(state.pools, { kind: 'prefilled', askId }, state.logger);
    return 'ready';
  }
  endGrant(state, grant, false);
  notifyEngineFailed(state, request, grant.prefill, findEngineFailure(result));
  progress.failedPrefills += 1;
  if (progress.failedPrefills < MAX_FAILED_PREFILLS && takeServiceRetries(state, request.service)) {
    return 'again';
  }
  refuseStream(request, progress, {
    reason: 'prefill-failed',
    retryAfterMs: RETRY_AFTER_FAILURE_MS,
  });
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
    refuseStream(request, progress, { reason: 'not-run', retryAfterMs: RETRY_AFTER_FAILURE_MS });
    return 'done';
  }
  progress.kvSource = undefined;
  const canContinue = route.isResumable && progress.runs < route.maxAttempts && hasTime;
  if (canContinue && takeServiceRetries(state, service, countRetries(progress))) return 'again';
  failStream(request, 'engine-failed');
  return 'done';
}

/** An engine of a grant that may not be used. */
type RefusedEngine = { readonly upstreamId: UpstreamId; readonly refusal: SendRefusal };

/** Finds an engine of a grant that may not get the stream; undefined if both may. */
function findRefusedEngine(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  grant: SlotGrant,
): RefusedEngine | undefined {
  const { prefill, decode } = grant;
  if (prefill !== undefined) {
    const clearance = askPrefill(state, request, grant, prefill);
    if (clearance.kind === 'refused') return { upstreamId: prefill, refusal: clearance.refusal };
  }
  const clearance = askDecode(state, request, progress, grant);
  if (clearance.kind === 'refused') return { upstreamId: decode, refusal: clearance.refusal };
  return undefined;
}

/** Runs a stream on the engines of a grant, and frees its slot. */
export function* runGrantedStream(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  grant: SlotGrant,
): Task<NextAction> {
  const refused = findRefusedEngine(state, request, progress, grant);
  if (refused !== undefined) {
    const { upstreamId, refusal } = refused;
    if (endIfQuarantined(state, request, grant, refusal)) return 'done';
    if (!progress.excluded.has(upstreamId)) {
      // Nothing was sent, so this takes no retry.
      progress.excluded.add(upstreamId);
      endGrant(state, grant, false);
      return 'again';
    }
  }
  const prepared = yield* ensurePrefilled(state, request, progress, grant);
  if (prepared !== 'ready') return prepared;
  const clearance = askDecode(state, request, progress, grant);
  if (clearance.kind === 'refused') {
    if (endIfQuarantined(state, request, grant, clearance.refusal)) return 'done';
    endGrant(state, grant, false);
    return continueAfter(state, request, progress, 'not-run');
  }
  const { askId, decode } = grant;
  const runsBefore = progress.runs;
  const { server } = clearance;
  const { end, result, hasEvents } = yield* runDecode(state, request, progress, server, askId);
  endGrant(state, grant, end === 'finished');
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
