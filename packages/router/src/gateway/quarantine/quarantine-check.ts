/** Finds why a request may not be sent to any server. */

import type { Fingerprint, PromptPartId } from '@tarragonspool/protocol';
import type { Logger } from '../../logging/logger.js';
import type { ContentGuard } from './content-guard.js';
import type { GatewayMetrics } from '../gateway-metrics.js';
import type { GatewayRequest } from '../gateway-request.js';
import type { PartGuard } from './part-guard.js';

/** What crashes servers: the whole content of a request, or one of these parts of its prompt. */
export type QuarantineReason =
  | { readonly kind: 'content'; readonly fingerprint: Fingerprint }
  | { readonly kind: 'parts'; readonly parts: readonly PromptPartId[] };

/** Guards that know what crashes servers. */
export type QuarantineCheckGuards = {
  readonly contentGuard: Pick<ContentGuard, 'isQuarantined'>;
  readonly partGuard: Pick<PartGuard, 'findQuarantined'>;
};

/** Dependencies of the end of a request. */
export type QuarantineEndParts = QuarantineCheckGuards & {
  readonly metrics: Pick<GatewayMetrics, 'quarantined'>;
  readonly logger: Logger;
};

/** Finds why a request is refused; undefined if it may be sent. Asked before each send. */
export function findQuarantineReason(
  { contentGuard, partGuard }: QuarantineCheckGuards,
  { content, sharedParts }: GatewayRequest,
): QuarantineReason | undefined {
  const { fingerprint } = content;
  if (contentGuard.isQuarantined(fingerprint)) return { kind: 'content', fingerprint };
  const found = partGuard.findQuarantined(sharedParts);
  return found && { kind: 'parts', parts: found.parts };
}

/** Ends a request whose content has come into quarantine since it arrived. */
export function endQuarantined(parts: QuarantineEndParts, request: GatewayRequest): void {
  const { reply, fields } = request;
  const reason = findQuarantineReason(parts, request);
  parts.logger.warn({ requestId: fields.requestId, reason }, 'quarantine: request ended');
  if (reason !== undefined) parts.metrics.quarantined.inc({ reason: reason.kind });
  if (reply.getState() === 'begun') reply.breakOff('quarantined');
  else reply.refuse('quarantined');
}
