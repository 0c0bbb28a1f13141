/** Logs and counts the bodies, answers and connections that this VM cuts off at a limit. */

import type { UpstreamId } from '@tarragonspool/protocol';
import type { Excess } from '../http/size-limit.js';
import type { Logger } from '../logging/logger.js';
import type { UpstreamCall } from '../upstreams/upstream-client.js';
import type { GatewayMetrics } from '../gateway/gateway-metrics.js';
import type { HeldKind } from './held-bytes.js';

/** What was cut off. */
export type CutPart = HeldKind | 'requests' | 'connection' | 'refusal' | 'prefill' | 'engine-call';

/**
 * Why: its content, its number of pieces, what frames it, or all that is held together. Connections and bodies of callers
 * also for their time, or as the machine's descriptors are needed.
 */
export type CutReason =
  Excess | 'framing' | 'memory' | 'descriptors' | 'silent' | 'head-timeout' | 'body-timeout';

/** What is known of the part that was cut off. */
export type SizeCut = {
  readonly part: CutPart;
  readonly reason: CutReason;
  readonly bytes: number;
  /** The caller's id of the request, if it has one. */
  readonly requestId?: string | undefined;
  /** The server that sent it; undefined if a caller did. */
  readonly upstreamId?: UpstreamId;
  /** Its address, where only that is known. */
  readonly address?: string;
  /** The caller's address; undefined if a server sent it. */
  readonly caller?: string | undefined;
};

/** Metrics and log that record what is cut off. */
export type SizeCutParts = {
  readonly metrics: Pick<GatewayMetrics, 'sizeCuts'>;
  readonly logger: Logger;
};

/** Counts what is cut off, without a line in the log. */
export function countSizeCut(
  { metrics }: Pick<SizeCutParts, 'metrics'>,
  { part, reason }: SizeCut,
): void {
  metrics.sizeCuts.inc({ part, reason });
}

/** Records a body or an answer that is cut off. */
export function recordSizeCut(parts: SizeCutParts, cut: SizeCut): void {
  parts.logger.warn(cut, 'limits: cut off');
  countSizeCut(parts, cut);
}

/** Makes what a client of servers calls for an answer whose framing has no end. */
export function makeFramingRecord(
  parts: SizeCutParts,
): (call: UpstreamCall, bytes: number) => void {
  return ({ address, requestId }, bytes) =>
    recordSizeCut(parts, { part: 'answer', reason: 'framing', bytes, requestId, address });
}
