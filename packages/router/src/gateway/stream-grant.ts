/** Runs a stream on the engines of a granted slot: prefill where needed, then decode. */

import { canGoOnElsewhere, listUsableUpstreams, type SendRefusal } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import { takeServiceRetries, type GatewayState } from './gateway-state.js';
import { endQuarantined } from './quarantine/quarantine-check.js';
import { endUnfinished, failStream, refuseStream } from './stream-ends.js';
import { runGranted, settleRun, type GrantedRun } from './stream-handover.js';
import {
  askDecode,
  endGrant,
  findRefusedEngine,
  awaitPrefill,
  type SlotGrant,
} from './stream-prepare.js';
import {
  countRetries,
  MAX_FAILED_PREFILLS,
  MIN_REMAINING_MS,
  notifyEngineFailed,
  type StreamProgress,
} from './stream-progress.js';

/** Refusals by decode engines after which the KV cache of a prompt counts as lost. */
const MAX_KV_HANDLE_REFUSALS = 2;
const RETRY_AFTER_FAILURE_MS = 1_000;

/** Whether the stream requests a slot again. */
export type NextAction = 'again' | 'done';

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
): Task<'ready' | 'again' | 'done'> {
  const prefillEnd = yield* awaitPrefill(state, request, progress, grant);
  switch (prefillEnd.kind) {
    case 'ready':
      return 'ready';
    case 'refused':
      endIfQuarantined(state, request, grant, prefillEnd.refusal);
      return 'done';
    case 'caller-gone':
    case 'timed-out':
      endGrant(state, grant, false);
      endUnfinished(request, prefillEnd, progress);
      return 'done';
    case 'failed':
      endGrant(state, grant, false);
      if (
        progress.failedPrefills < MAX_FAILED_PREFILLS &&
        takeServiceRetries(state, request.service)
      ) {
        return 'again';
      }
      refuseStream(request, progress, {
        reason: 'prefill-failed',
        retryAfterMs: RETRY_AFTER_FAILURE_MS,
      });
      return 'done';
    default:
      return prefillEnd satisfies never;
  }
}

/**
 * Handles a refusal by a decode engine, which may be full or unable to fetch the KV cache. After a
 * second refusal the cache counts as lost, and the engine that holds it is reported. An engine with
 * other weights has not tried to fetch it.
 */
function checkKvHandle(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  hasOtherWeights: boolean,
): void {
  const { kvSource } = progress;
  if (kvSource === undefined) return;
  if (!hasOtherWeights) progress.handleRefusals += 1;
  const isStored = progress.kvExpiresAt > getSteadyMs();
  if (isStored && progress.handleRefusals < MAX_KV_HANDLE_REFUSALS) return;
  progress.kvSource = undefined;
  progress.handleRefusals = 0;
  if (isStored) notifyEngineFailed(state, request, kvSource.upstreamId, 'handle-lost');
}

/** Whether a decode engine other than this one may get a stream. */
function hasOtherEngine(
  state: GatewayState,
  { service }: GatewayRequest,
  { excluded, origin }: StreamProgress,
  decode: UpstreamId,
): boolean {
  return listUsableUpstreams(state.upstreams, service, getSteadyMs()).some(
    ({ upstreamId, stage, softwareVersion }) =>
      stage === 'decode' &&
      upstreamId !== decode &&
      !excluded.has(upstreamId) &&
      softwareVersion === (origin?.softwareVersion ?? softwareVersion),
  );
}

/** How a run ended that did not finish its stream. */
type UnfinishedRun = Pick<GrantedRun, 'hasOtherWeights'> & {
  readonly end: 'not-run' | 'broken' | 'unconfirmed';
  readonly decode: UpstreamId;
};

/** Decides whether a stream is tried again after a decode that did not finish. */
function continueAfter(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  { end, decode, hasOtherWeights }: UnfinishedRun,
): NextAction {
  const { route, service } = request;
  if (hasOtherWeights && !hasOtherEngine(state, request, progress, decode)) {
    failStream(request, 'no-engine');
    return 'done';
  }
  const hasTime = request.deadlineAt - getSteadyMs() > MIN_REMAINING_MS;
  if (end === 'not-run') {
    checkKvHandle(state, request, progress, hasOtherWeights);
    if (hasTime && takeServiceRetries(state, service, countRetries(progress))) return 'again';
    refuseStream(request, progress, { reason: 'not-run', retryAfterMs: RETRY_AFTER_FAILURE_MS });
    return 'done';
  }
  progress.kvSource = undefined;
  const canContinue =
    canGoOnElsewhere(progress.place) && progress.runs < route.maxAttempts && hasTime;
  if (canContinue && takeServiceRetries(state, service, countRetries(progress))) return 'again';
  failStream(request, end === 'broken' ? 'engine-failed' : 'end-unconfirmed');
  return 'done';
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
    const unsent = { end: 'not-run', decode: grant.decode, hasOtherWeights: false } as const;
    return continueAfter(state, request, progress, unsent);
  }
  const { server } = clearance;
  const plan = { grant, server, claim: () => true, onSent: () => undefined };
  const run = yield* runGranted(state, request, progress, plan);
  if (!run.isSettled) settleRun(state, request, progress, run);
  const { end, result, hasOtherWeights } = run;
  const { decode } = run.grant;
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') {
    endUnfinished(request, result, progress);
    return 'done';
  }
  if (end === 'finished' || end === 'over') return 'done';
  // Another engine tells whether the stream has ended, if there is one that may get it.
  const asksOther = end === 'unconfirmed' && hasOtherEngine(state, request, progress, decode);
  if (asksOther) progress.excluded.add(decode);
  return continueAfter(state, request, progress, { end, decode, hasOtherWeights });
}
