/** Requests slots for streams from the VM that owns the pool. */

import { listRefusedUpstreams, type SlotRequest, type SlotRequestId } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { SlotReply } from '../pools/place-messages.js';
import { sendPoolMessage } from '../pools/pool-task.js';
import { offer, receive, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { RequestEnd } from './sender.js';
import { findEventDeadline, type StreamProgress } from './stream-progress.js';

const DEFAULT_OUTPUT_SHARE = 0.5;
/** Longest tenant that a slot request may name; longer ones are cut to their beginning. */
const MAX_TENANT_LENGTH = 256;
/** Target for the gap between events if the route has none. */
const DEFAULT_GAP_TARGET_MS = 1_000;

/** Lists the engines that may get no requests of this VM; slots come with their permits. */
function listExcluded(
  { upstreams }: GatewayState,
  { service }: GatewayRequest,
  { excluded }: StreamProgress,
): UpstreamId[] {
  const refused = listRefusedUpstreams(upstreams, service, getSteadyMs());
  const unusable = refused.filter(({ reason }) => reason !== 'no-permit');
  return [...new Set([...excluded, ...unusable.map(({ upstreamId }) => upstreamId)])];
}

/** Builds the slot request of a stream for its next attempt. */
export function buildSlotRequest(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
): SlotRequest {
  const { fields } = request;
  state.slotRequestCount += 1;
  const { promptTokens = 0, maxOutputTokens = 0, expectedOutputTokens } = fields;
  const outputTokens = expectedOutputTokens ?? DEFAULT_OUTPUT_SHARE * maxOutputTokens;
  // No engine generates more than it holds; a claim of more would count in the pool's estimates.
  const maxTokens =
    state.configuration?.services.get(request.service)?.engine?.kvCapacityTokens ?? Infinity;
  return {
    askId: `${state.processStartId}/${state.slotRequestCount}` as SlotRequestId,
    vmId: state.settings.vmId,
    dataCentre: state.settings.dataCentre,
    rank: request.rank,
    tenant: request.tenant?.name.slice(0, MAX_TENANT_LENGTH),
    contentKey: request.contentKey,
    promptTokens: Math.min(promptTokens, maxTokens),
    outputTokens: Math.min(outputTokens, maxTokens),
    maxOutputTokens:
      fields.maxOutputTokens === undefined ? undefined : Math.min(maxOutputTokens, maxTokens),
    aimAt: request.aimAt,
    pauseMs: request.route.gapTargetMs ?? DEFAULT_GAP_TARGET_MS,
    patienceEndsAt: findEventDeadline(request, progress),
    deadlineAt: request.deadlineAt,
    needsPrefill: progress.kvSource === undefined,
    isContinued: progress.prefillSends > 0 || progress.runs > 0 || progress.origin !== undefined,
    endsBy: Infinity,
    excluded: listExcluded(state, request, progress),
    softwareVersion: progress.origin?.softwareVersion,
  };
}

/**
 * Requests a slot and waits for the reply; withdraws the slot request if the caller's request ends.
 */
export function* awaitSlotReply(
  state: GatewayState,
  request: GatewayRequest,
  pending: SlotRequest,
  hasRun: boolean,
): Task<SlotReply | RequestEnd> {
  const { service, inbox } = request;
  const onReply = (reply: SlotReply): void => {
    offer(inbox, { kind: 'place', reply });
  };
  sendPoolMessage(
    state.pools,
    { kind: 'ask', service, ask: pending, hasRun, onReply },
    state.logger,
  );
  for (;;) {
    const message = yield* receive(inbox);
    if (message?.kind === 'place' && message.reply.askId === pending.askId) return message.reply;
    if (message === undefined || message.kind === 'caller-gone' || message.kind === 'timed-out') {
      sendPoolMessage(state.pools, { kind: 'withdraw', askId: pending.askId }, state.logger);
      return message ?? { kind: 'caller-gone' };
    }
  }
}
