/** Makes a call wait, or refuses it, while the servers of its service have no room. */

import { judgeCall, MAX_FULL_SERVERS, type RoomVerdict } from '@tarragonspool/core';
import type { ServiceSummary } from '@tarragonspool/protocol';
import { offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { findNextCandidate } from './call-server.js';
import type { CallProgress } from './call-progress.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { RequestEnd } from './sender.js';

/** Whether a call may be sent now. */
export type RoomResult =
  | { readonly kind: 'room' }
  | { readonly kind: 'no-room'; readonly retryAfterMs: number }
  | RequestEnd;

/** Longest wait for one summary before the call is judged again, since summaries may stop. */
const CHECK_MS = 250;

/** Judges a call by the summary and by the servers that refused it as full. */
function judge(
  state: GatewayState,
  request: GatewayRequest,
  summary: ServiceSummary,
  progress: CallProgress,
): RoomVerdict {
  const server = findNextCandidate(state, request, progress.tried);
  // The choice of the server, which follows, finds the reason why there is none.
  if (server === undefined) return { kind: 'send' };
  const known = summary.servers.find(({ upstreamId }) => upstreamId === server.upstreamId);
  const { aimAt, deadlineAt, tenant } = request;
  const fraction = state.takeFraction();
  const call = { tenant: tenant?.name ?? '', aimAt, deadlineAt, fraction, now: getSteadyMs() };
  const verdict = judgeCall(summary, { ...call, answerMs: known?.answerMs ?? 0 });
  if (progress.fullServers < MAX_FULL_SERVERS || verdict.kind === 'refuse') return verdict;
  return { kind: 'refuse', retryAfterMs: summary.retryAfterMs };
}

/** Waits for the next summary, up to a time. */
function* awaitSummary(
  { sharedLoads }: GatewayState,
  { inbox, service }: GatewayRequest,
  { isLate, until }: Extract<RoomVerdict, { kind: 'wait' }>,
): Task<RequestEnd | undefined> {
  const wake = (): void => {
    offer(inbox, { kind: 'room' });
  };
  const endWait = sharedLoads.beginWait(service, isLate ? 'waitingLate' : 'waiting', wake);
  const timer = setTimeout(wake, Math.max(1, Math.min(CHECK_MS, until - getSteadyMs())));
  try {
    for (;;) {
      const message = yield* receive(inbox);
      if (message === undefined) return { kind: 'caller-gone' };
      if (message.kind === 'caller-gone' || message.kind === 'timed-out') return message;
      if (message.kind === 'room') return undefined;
    }
  } finally {
    clearTimeout(timer);
    endWait();
  }
}

/**
 * Waits until the servers have room for a call, if it can wait; without a fresh summary there is room.
 */
export function* awaitRoom(
  state: GatewayState,
  request: GatewayRequest,
  progress: CallProgress,
): Task<RoomResult> {
  const { sharedLoads, metrics, logger } = state;
  const { service } = request;
  const { requestId } = request.fields;
  let waitedFrom: number | undefined;
  const end = (result: RoomResult): RoomResult => {
    if (result.kind === 'no-room') metrics.callsWithoutRoom.inc();
    if (waitedFrom !== undefined) metrics.callsWaited.inc({ outcome: result.kind });
    if (waitedFrom === undefined && result.kind === 'room') return result;
    const waitedMs = waitedFrom === undefined ? 0 : getSteadyMs() - waitedFrom;
    logger.info({ requestId, service, waitedMs, ...result }, 'loads: call waited or was refused');
    return result;
  };
  // A call that may have run is repeated at once, within the retry budget, or not at all.
  if (progress.runs > 0) return { kind: 'room' };
  for (;;) {
    const summary = sharedLoads.findSummary(service, getSteadyMs());
    if (summary === undefined) return end({ kind: 'room' });
    const verdict = judge(state, request, summary, progress);
    if (verdict.kind === 'send') return end({ kind: 'room' });
    if (verdict.kind === 'refuse') {
      return end({ kind: 'no-room', retryAfterMs: verdict.retryAfterMs });
    }
    waitedFrom ??= getSteadyMs();
    const ended = yield* awaitSummary(state, request, verdict);
    if (ended !== undefined) return end(ended);
  }
}

/** Whether some other server has room for a call that is slow at one; true if that is not known. */
export function hasRoomElsewhere(
  { sharedLoads }: GatewayState,
  { service }: GatewayRequest,
  { tried }: CallProgress,
): boolean {
  const summary = sharedLoads.findSummary(service, getSteadyMs());
  if (summary === undefined) return true;
  return summary.servers.some(
    ({ upstreamId, inFlight, handles }) => !tried.has(upstreamId) && inFlight < handles,
  );
}
