/** Finds why a request may not be sent to any server. */

import type { Fingerprint, PromptPartId } from '@tarragonspool/protocol';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';

/** What crashes servers: the whole content of a request, or one of these parts of its prompt. */
export type QuarantineReason =
  | { readonly kind: 'content'; readonly fingerprint: Fingerprint }
  | { readonly kind: 'parts'; readonly parts: readonly PromptPartId[] };

/** Finds why a request is refused; undefined if it may be sent. Asked before each send. */
export function findQuarantineReason(
  { contentGuard, partGuard }: GatewayState,
  { content, sharedParts }: GatewayRequest,
): QuarantineReason | undefined {
  const { fingerprint } = content;
  if (contentGuard.isQuarantined(fingerprint)) return { kind: 'content', fingerprint };
  const found = partGuard.findQuarantined(sharedParts);
  return found && { kind: 'parts', parts: found.parts };
}

/** Ends a request whose content has come into quarantine since it arrived. */
export function endQuarantined(state: GatewayState, request: GatewayRequest): void {
  const { reply, fields } = request;
  const reason = findQuarantineReason(state, request);
  state.logger.warn({ requestId: fields.requestId, reason }, 'quarantine: request ended');
  if (reason !== undefined) state.metrics.quarantined.inc({ reason: reason.kind });
  if (reply.getState() === 'begun') reply.breakOff('quarantined');
  else reply.refuse('quarantined');
}
