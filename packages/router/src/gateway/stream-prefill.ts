/** Has an engine prefill the prompt of a stream. */

import { makeByteCollector, type ClearedUpstream } from '@tarragonspool/core';
import { findExcess } from '../http/size-limit.js';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { sendOnce, type SendResult } from './sender.js';
import { recordSizeCut } from '../intake/size-cuts.js';
import {
  buildResumeFields,
  getSendOutcome,
  notifyEngineFailed,
  type SendFields,
  type StreamProgress,
} from './stream-progress.js';

/** A live engine prefills any prompt within this time. */
const PREFILL_TIMEOUT_MS = 1_500;
const SILENCE_MS = 1_200;
/** A KV cache is not used in this last part of its lifetime. */
const KV_EXPIRY_MARGIN_MS = 150;
const HTTP_OK = 200;
/** The answer to a prefill names a handle; more bytes are no such answer. */
const MAX_ANSWER_BYTES = 65_536;

/** Prefills the prompt on an engine; stores the handle of its KV cache in `progress`. */
export function* runPrefill(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  engine: ClearedUpstream,
): Task<SendResult> {
  const sentAt = getSteadyMs();
  progress.prefillSends += 1;
  const body = makeByteCollector();
  const placement: SendFields = { isPrefillOnly: true, ...buildResumeFields(progress) };
  const result = yield* sendOnce(state, request, {
    server: engine,
    placement,
    headDueAt: sentAt + PREFILL_TIMEOUT_MS,
    silenceMs: SILENCE_MS,
    onSilence: () => notifyEngineFailed(state, request, engine.upstreamId, 'silent'),
    onHead: () => undefined,
    wholeDueAt: sentAt + PREFILL_TIMEOUT_MS,
    onData: (chunk, exchange) => {
      body.append(chunk);
      const reason = findExcess(body, MAX_ANSWER_BYTES);
      if (reason === undefined) return true;
      const bytes = body.countBytes();
      const { requestId } = request.fields;
      const { upstreamId } = engine;
      recordSizeCut(state, { part: 'prefill', reason, bytes, requestId, upstreamId });
      exchange.abort('answer too large');
      return true;
    },
  });
  const outcome = getSendOutcome(result);
  const isPrefilled = outcome.kind === 'answered' && outcome.status === HTTP_OK;
  const prefill = isPrefilled ? state.ports.dialect.decodePrefill(body.take()) : undefined;
  if (prefill !== undefined) {
    const now = getSteadyMs();
    const engineLimits = state.configuration?.services.get(request.service)?.engine;
    const { address, upstreamId } = engine;
    progress.kvSource = { address, upstreamId, handle: prefill.handle };
    progress.handleRefusals = 0;
    progress.kvExpiresAt = now + (engineLimits?.handleTtlMs ?? 0) - KV_EXPIRY_MARGIN_MS;
  }
  const { requestId } = request.fields;
  const tookMs = getSteadyMs() - sentAt;
  const { upstreamId } = engine;
  state.logger.info(
    { requestId, upstreamId, outcome, tookMs },
    'streams: prefill of the prompt ended',
  );
  state.metrics.sends.inc({ step: 'prefill', outcome: outcome.kind });
  return result;
}
