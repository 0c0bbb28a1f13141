/** Ends streams that have no whole answer. */

import type { BreakReason } from './caller-reply.js';
import type { GatewayRequest } from './gateway-request.js';
import type { RequestEnd } from './sender.js';
import type { StreamProgress } from './stream-progress.js';

/** Ends a stream whose request has ended before its answer did. */
export function endUnfinished(
  request: GatewayRequest,
  end: RequestEnd,
  progress: StreamProgress,
): void {
  if (end.kind === 'caller-gone') return;
  const { reply } = request;
  if (reply.getState() === 'begun') reply.breakOff('deadline');
  else reply.refuse(progress.runs === 0 ? 'upstream-timeout' : 'outcome-unknown');
}

/** Ends a stream that may have run and cannot go on. */
export function failStream(request: GatewayRequest, reason: BreakReason): void {
  const { reply } = request;
  if (reply.getState() === 'begun') reply.breakOff(reason);
  else reply.refuse('upstream-failed');
}

/** Refuses a stream; reports it as not executed only if no engine has started it. */
export function refuseStream(
  request: GatewayRequest,
  progress: StreamProgress,
  { reason, retryAfterMs }: { readonly reason: BreakReason; readonly retryAfterMs: number },
): void {
  const { reply } = request;
  if (reply.getState() === 'begun') reply.breakOff(reason);
  else if (progress.runs > 0) reply.refuse('upstream-failed');
  else reply.refuse('deadline-unreachable', retryAfterMs);
}
