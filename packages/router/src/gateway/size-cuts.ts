/** Logs and counts the bodies and answers that this VM cuts off because they are too large. */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { GatewayState } from './gateway-state.js';

/** What was cut off. */
export type CutPart =
  'body' | 'requests' | 'answer' | 'event' | 'refusal' | 'prefill' | 'engine-call';

/** Why: its content, its number of pieces, what frames it, or all that is held together. */
export type CutReason = 'content' | 'pieces' | 'framing' | 'memory';

/** What is known of the part that was cut off. */
export type SizeCut = {
  readonly part: CutPart;
  readonly reason: CutReason;
  readonly bytes: number;
  /** The caller's id of the request, if it has one. */
  readonly requestId?: string | undefined;
  /** The server that sent it; undefined if a caller did. */
  readonly upstreamId?: UpstreamId;
  /** The caller's address; undefined if a server sent it. */
  readonly caller?: string | undefined;
};

/** Records a body or an answer that is cut off. */
export function recordSizeCut(
  { metrics, logger }: Pick<GatewayState, 'metrics' | 'logger'>,
  cut: SizeCut,
): void {
  const { part, reason } = cut;
  logger.warn(cut, 'limits: cut off');
  metrics.sizeCuts.inc({ part, reason });
}
