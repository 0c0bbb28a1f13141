/** Sends a request's prefill and decode orders to engines and returns their outcomes as events. */

import { isDispatchAllowed, type KvLocation } from '@tarragonspool/core';
import type {
  AttemptId,
  HoldOwner,
  ReservationRequest,
  ReservationGrant,
  UpstreamId,
} from '@tarragonspool/protocol';
import { notifyOrderFailed, notifyOrderCancelled } from '../quarantine/quarantine-task.js';
import { offer } from '../tasks/tasks.js';
import { findHoldDeadline, type RunningRequest } from './model-request.js';

function makeOwner(running: RunningRequest, attemptId: AttemptId): HoldOwner {
  const { parts, request } = running;
  return {
    requestId: request.requestId,
    attemptId,
    vmId: parts.vmId,
    incarnation: parts.incarnation,
    deadline: findHoldDeadline(request),
  };
}

function getOrderKey(upstreamId: UpstreamId, attemptId: AttemptId): string {
  return `${upstreamId} ${attemptId}`;
}

/** Builds the reservation request for one attempt. */
export function buildReservationRequest(
  running: RunningRequest,
  attempt: Pick<ReservationRequest, 'attemptId' | 'excluded'> & {
    readonly resumeFrom: UpstreamId | undefined;
    readonly movesFrom: AttemptId | undefined;
  },
): ReservationRequest {
  const { parts, request } = running;
  const { chat, deadlines } = request;
  const { attemptId, excluded, resumeFrom, movesFrom } = attempt;
  return {
    requestId: request.requestId,
    attemptId,
    vmId: parts.vmId,
    incarnation: parts.incarnation,
    callerId: request.callerId,
    service: request.service,
    target: chat.target,
    dataCentre: parts.dataCentre,
    promptTokens: chat.promptTokens,
    maxTokens: chat.maxTokens,
    prefixes: chat.prefixes,
    priority: request.priority,
    firstTokenDeadline: deadlines.firstTokenDeadline,
    answerDeadline: deadlines.answerDeadline,
    fingerprint: chat.fingerprint,
    excluded,
    ...(resumeFrom === undefined ? {} : { resumeFrom }),
    ...(movesFrom === undefined ? {} : { movesFrom }),
  };
}

/** Sends the prefill order of a grant to its prefill engine. */
export function sendPrefill(running: RunningRequest, grant: ReservationGrant): void {
  const { parts, request, inbox, stopOrders } = running;
  const { attemptId } = grant;
  const engine = parts.directory.engines.get(grant.prefill);
  if (engine === undefined) {
    const detail = 'the prefill engine is gone from the directory';
    const now = Date.now();
    offer(inbox, { kind: 'prefill-failed', attemptId, failure: 'unsent', detail, now });
    return;
  }
  if (request.permit !== undefined && !isDispatchAllowed(request.permit, Date.now())) {
    const detail = 'the dispatch deadline passed before the prefill was sent';
    const now = Date.now();
    offer(inbox, { kind: 'prefill-failed', attemptId, failure: 'unsent', detail, now });
    return;
  }
  const { chat } = request;
  const answerText = running.writtenTexts.join('');
  const order = {
    owner: makeOwner(running, attemptId),
    target: chat.target,
    prompt: chat.prompt,
    promptTokens: chat.promptTokens,
    prefixes: chat.prefixes,
    priority: request.priority,
    ...(answerText === '' ? {} : { answerText }),
  };
  running.dispatches += 1;
  const key = getOrderKey(grant.prefill, attemptId);
  const stop = engine.client.startPrefill(order, (outcome) => {
    stopOrders.delete(key);
    const now = Date.now();
    if (outcome.kind === 'prefilled') {
      offer(inbox, { kind: 'prefilled', attemptId, result: outcome.result, now });
      return;
    }
    const { failure, detail } = outcome;
    if (failure === 'unsent') running.dispatches -= 1;
    if (failure === 'broken') {
      notifyOrderFailed(parts.quarantine, grant.prefill, chat.fingerprint, false);
    }
    offer(inbox, { kind: 'prefill-failed', attemptId, failure, detail, now });
  });
  stopOrders.set(key, stop);
}

/** Sends the order to import the KV data and decode to the decode engine of a grant. */
export function sendDecode(
  running: RunningRequest,
  grant: ReservationGrant,
  location: KvLocation,
  fromIndex: number,
): void {
  const { parts, request, inbox, stopOrders } = running;
  const { attemptId } = grant;
  running.decodingAttempt = attemptId;
  const source = parts.directory.engines.get(location.upstreamId);
  const engine = parts.directory.engines.get(grant.decode);
  if (engine === undefined || source === undefined) {
    const detail = 'the decode engine or the KV source is gone from the directory';
    const now = Date.now();
    offer(inbox, { kind: 'decode-failed', attemptId, failure: 'unsent', detail, now });
    return;
  }
  const { chat } = request;
  const { upstreamId } = location;
  const order = {
    owner: makeOwner(running, attemptId),
    target: chat.target,
    source: { upstreamId, url: source.url, attemptId: location.attemptId },
    promptTokens: chat.promptTokens,
    maxTokens: chat.maxTokens,
    fromIndex,
    priority: request.priority,
    fingerprint: chat.fingerprint,
  };
  running.dispatches += 1;
  const key = getOrderKey(grant.decode, attemptId);
  const stop = engine.client.startDecode(order, (event) => {
    const now = Date.now();
    if (event.kind === 'frame') {
      offer(inbox, { kind: 'frame', frame: event.frame, now });
      return;
    }
    stopOrders.delete(key);
    const { failure, detail } = event;
    if (failure === 'broken') {
      const hasTokens = running.writtenTexts.length > fromIndex;
      notifyOrderFailed(parts.quarantine, grant.decode, chat.fingerprint, hasTokens);
    }
    offer(inbox, { kind: 'decode-failed', attemptId, failure, detail, now });
  });
  stopOrders.set(key, stop);
}

/** Closes the connection of an order and makes the engine free the resources that it holds. */
export function cancelOrder(
  running: RunningRequest,
  upstreamId: UpstreamId,
  attemptId: AttemptId,
): void {
  const key = getOrderKey(upstreamId, attemptId);
  const stop = running.stopOrders.get(key);
  stop?.();
  running.stopOrders.delete(key);
  if (stop !== undefined) {
    notifyOrderCancelled(running.parts.quarantine, upstreamId, running.request.chat.fingerprint);
  }
  const order = { upstreamId, attemptId, deadline: findHoldDeadline(running.request) };
  offer(running.parts.cancels, { kind: 'cancel', order });
}
