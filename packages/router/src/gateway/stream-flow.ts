/** Serves streams: requests a slot, runs the stream on its engines, on further ones if one fails. */

import {
  listRefusedUpstreams,
  listUsableUpstreams,
  type StreamOrigin,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { ServiceName } from '@tarragonspool/protocol';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { buildContent, makeScope, moveParts } from './quarantine/quarantine-scope.js';
import { endUnfinished, failStream, refuseStream } from './stream-ends.js';
import { runGrantedStream } from './stream-grant.js';
import { makeStreamProgress, type StreamProgress } from './stream-progress.js';
import { findStreamOrigin } from './stream-resume.js';
import { awaitSlotReply, buildSlotRequest } from './stream-slot.js';
import { findRetryAfterMs } from './upstream-notices.js';

/** Finds why no engine may get a stream, as far as this VM's list tells; undefined if one may. */
function findNoEngineReason(
  state: GatewayState,
  { service }: GatewayRequest,
  progress: StreamProgress,
): 'version-gone' | 'no-upstream' | undefined {
  const now = getSteadyMs();
  const isDecoder = ({ stage, softwareVersion }: UpstreamRecord): boolean =>
    stage === 'decode' && softwareVersion === (progress.origin?.softwareVersion ?? softwareVersion);
  const usable = listUsableUpstreams(state.upstreams, service, now).filter(isDecoder);
  if (usable.some(state.access.hasWay)) return undefined;
  const listed = [...state.upstreams.records.values()].filter(
    (engine) => engine.service === service && isDecoder(engine),
  );
  if (progress.origin !== undefined && listed.every(({ isLeaving }) => isLeaving)) {
    return 'version-gone';
  }
  const refused = listRefusedUpstreams(state.upstreams, service, now);
  const isWithout = refused.length > 0 || usable.length > 0;
  return progress.runs > 0 || !isWithout ? undefined : 'no-upstream';
}

/**
 * Ends a stream that no engine may get: all leave or pause, or none is left of the version that
 * began it. Returns whether it did.
 */
function endWithoutEngine(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
): boolean {
  const reason = findNoEngineReason(state, request, progress);
  if (reason === undefined) return false;
  const { reply, service, fields } = request;
  const { requestId } = fields;
  const { origin, runs } = progress;
  const refused = listRefusedUpstreams(state.upstreams, service, getSteadyMs());
  state.logger.info(
    { requestId, service, reason, origin, refused },
    'streams: no engine may be used',
  );
  if (runs > 0 || reply.getState() === 'begun') failStream(request, 'no-engine');
  else if (reason === 'version-gone') reply.refuse(reason);
  else reply.refuse(reason, findRetryAfterMs(state, service));
  return true;
}

/** Serves a stream that begins, or that goes on where it began. */
function* runStream(
  state: GatewayState,
  request: GatewayRequest,
  origin: StreamOrigin | undefined,
): Task {
  const progress = makeStreamProgress(request, origin);
  for (;;) {
    if (endWithoutEngine(state, request, progress)) return;
    const slotRequest = buildSlotRequest(state, request, progress);
    const slotReply = yield* awaitSlotReply(state, request, slotRequest, progress.runs > 0);
    const { requestId } = request.fields;
    const waitedMs = getSteadyMs() - request.arrivedAt;
    state.logger.info(
      {
        requestId,
        ask: slotRequest,
        place: slotReply,
        waitedMs,
        version: request.configurationVersion,
        lastEventId: progress.place.lastId,
        resumedStream: request.fields.resumedStream,
      },
      'streams: slot request answered',
    );
    const outcome = slotReply.kind === 'refused' ? slotReply.reason : slotReply.kind;
    state.metrics.slotReplies.inc({ rank: slotRequest.rank, outcome });
    if (slotReply.kind === 'caller-gone' || slotReply.kind === 'timed-out') {
      endUnfinished(request, slotReply, progress);
      return;
    }
    if (slotReply.kind === 'refused') {
      const { retryAfterMs } = slotReply;
      refuseStream(request, progress, { reason: 'slot-refused', retryAfterMs });
      return;
    }
    const end = yield* runGrantedStream(state, request, progress, slotReply);
    if (end === 'done') return;
  }
}

/** Sends a request to the service where its stream began. */
function moveToService(request: GatewayRequest, service: ServiceName): GatewayRequest {
  const scope = makeScope(request.route.host, service);
  const content = buildContent(scope, request.content.digest);
  return { ...request, service, content, sharedParts: moveParts(scope, request.sharedParts) };
}

/** A home of the stream's service that did not answer may do so after this time. */
const RETRY_AFTER_UNKNOWN_MS = 500;

/** Serves one stream, on further engines if one fails and the retry budget allows it. */
export function* runStreamRequest(state: GatewayState, request: GatewayRequest): Task {
  const result = yield* findStreamOrigin(state, request);
  switch (result.kind) {
    case 'new':
      yield* runStream(state, request, undefined);
      return;
    case 'known': {
      const { origin } = result;
      const { service } = origin;
      const isTarget = request.route.targets.some((target) => target.service === service);
      if (isTarget) yield* runStream(state, moveToService(request, service), origin);
      else request.reply.refuse('version-gone');
      return;
    }
    case 'unknown':
      request.reply.refuse('stream-unknown', RETRY_AFTER_UNKNOWN_MS);
      return;
    case 'caller-gone':
      return;
    case 'timed-out':
      request.reply.refuse('upstream-timeout');
      return;
    default:
      result satisfies never;
  }
}
