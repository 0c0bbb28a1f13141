/** Prepares a granted slot: asks whether its engines may get the stream, and has the prompt prefilled. */

import type { AnswerProgress, SendClearance, SendRefusal } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { SlotReply } from '../pools/place-messages.js';
import { sendPoolMessage } from '../pools/pool-task.js';
import type { Task } from '../tasks/tasks.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { askRequestSend } from './send-question.js';
import type { RequestEnd, SendResult } from './sender.js';
import { runPrefill } from './stream-prefill.js';
import { findEngineFailure, notifyEngineFailed, type StreamProgress } from './stream-progress.js';

/** A slot that the owner of the pool has granted. */
export type SlotGrant = Extract<SlotReply, { kind: 'granted' }>;

/** Frees the slot of a grant; `didFinish` if the answer was completed, then with its progress. */
export function endGrant(
  state: GatewayState,
  { askId }: SlotGrant,
  didFinish: boolean,
  progress?: AnswerProgress,
): void {
  sendPoolMessage(state.pools, { kind: 'end', askId, didFinish, progress }, state.logger);
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
export function askDecode(
  state: GatewayState,
  request: GatewayRequest,
  { origin }: StreamProgress,
  { permits, decode: upstreamId }: SlotGrant,
): SendClearance {
  const hasPermit = permits.includes(upstreamId);
  const softwareVersion = origin?.softwareVersion;
  return askRequestSend(state, request, { upstreamId, hasPermit, softwareVersion });
}

/** An engine of a grant that may not be used. */
export type RefusedEngine = { readonly upstreamId: UpstreamId; readonly refusal: SendRefusal };

/** Finds an engine of a grant that may not get the stream; undefined if both may. */
export function findRefusedEngine(
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

/** How the prefill for a grant ended. */
export type PrefillEnd =
  | { readonly kind: 'ready' }
  | { readonly kind: 'refused'; readonly refusal: SendRefusal }
  /** The engine did not prefill the prompt; the pool has been told. */
  | { readonly kind: 'failed' }
  | RequestEnd;

function buildRefusedResult({ reason }: SendRefusal): SendResult {
  return { kind: 'outcome', outcome: { kind: 'not-run', reason, hasArrived: false } };
}

/** Prefills the prompt for a granted slot if needed. The caller frees the slot unless it is ready. */
export function* awaitPrefill(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  grant: SlotGrant,
): Task<PrefillEnd> {
  const { askId, prefill } = grant;
  if (prefill === undefined || progress.kvSource !== undefined) return { kind: 'ready' };
  const clearance = askPrefill(state, request, grant, prefill);
  const isQuarantined = clearance.kind === 'refused' && clearance.refusal.reason === 'quarantined';
  if (isQuarantined) return clearance;
  const result: SendResult =
    clearance.kind === 'refused'
      ? buildRefusedResult(clearance.refusal)
      : yield* runPrefill(state, request, progress, clearance.server);
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') return result;
  if (progress.kvSource !== undefined) {
    sendPoolMessage(state.pools, { kind: 'prefilled', askId }, state.logger);
    return { kind: 'ready' };
  }
  notifyEngineFailed(state, request, prefill, findEngineFailure(result));
  progress.failedPrefills += 1;
  return { kind: 'failed' };
}
