/** Progress of a stream, and functions that its prefill and decode steps share. */

import {
  makeStreamPlace,
  type SendOutcome,
  type StreamOrigin,
  type StreamPlace,
  type UpstreamRecord,
} from '@tarragonspool/core';
import type { EngineFailure, StreamId, UpstreamId, WeightVersion } from '@tarragonspool/protocol';
import { sendPoolMessage } from '../pools/pool-task.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { KvSource, PlacementFields } from './ports.js';
import type { SendResult } from './sender.js';
import { digestLongId } from './short-id.js';

/** Progress of one stream over all its attempts. */
export type StreamProgress = {
  readonly excluded: Set<UpstreamId>;
  /** Engines that have started to execute the stream, as far as known. */
  runs: number;
  failedPrefills: number;
  prefillSends: number;
  /** What the caller has of the stream. */
  place: StreamPlace;
  /** Where the stream began, at this VM or another; undefined before its first event. */
  origin: StreamOrigin | undefined;
  /** Media type of the answer that has begun; undefined before, or if its head names none. */
  mediaType: string | undefined;
  /**
   * Version of the weights that made the last event: of the head that began the answer, then of each event that names
   * one. Undefined before, or if neither names one.
   */
  weightVersion: WeightVersion | undefined;
  events: number;
  /** Time from arrival to the first event, in milliseconds; undefined before it. */
  firstEventMs: number | undefined;
  /** 0 before the first event. */
  lastEventAt: number;
  /** Longest pause between events, in milliseconds. */
  longestGapMs: number;
  /** KV cache of the prompt; undefined once a decode engine has accepted it. */
  kvSource: KvSource | undefined;
  kvExpiresAt: number;
  /** Refusals by decode engines since this KV cache was stored. */
  handleRefusals: number;
};

/** Callers abandon a stream after a gap of the longest of these times. */
const MIN_ABANDON_GAP_MS = 2_000;
const ABANDON_LATENCY_TARGETS = 4;
const ABANDON_GAP_TARGETS = 8;
const ABANDON_MARGIN_MS = 350;

/** Makes the progress of a stream that has just arrived. */
export function makeStreamProgress(
  { route, fields }: GatewayRequest,
  origin: StreamOrigin | undefined,
): StreamProgress {
  return {
    excluded: new Set(),
    runs: 0,
    failedPrefills: 0,
    prefillSends: 0,
    place: makeStreamPlace(route.isResumable, route.isResumable ? fields.lastEventId : undefined),
    origin,
    mediaType: undefined,
    weightVersion: undefined,
    events: 0,
    firstEventMs: undefined,
    lastEventAt: 0,
    longestGapMs: 0,
    kvSource: undefined,
    kvExpiresAt: 0,
    handleRefusals: 0,
  };
}

/** Finds the caller's deadline for the next event, which counts from the last one. */
export function findEventDeadline(
  { route, arrivedAt, deadlineAt }: GatewayRequest,
  { lastEventAt }: StreamProgress,
): number {
  const abandonMs = Math.max(
    MIN_ABANDON_GAP_MS,
    ABANDON_LATENCY_TARGETS * route.targetLatencyMs,
    ABANDON_GAP_TARGETS * (route.gapTargetMs ?? 0),
  );
  return Math.min(deadlineAt, Math.max(arrivedAt, lastEventAt) + abandonMs - ABANDON_MARGIN_MS);
}

/** Prefills of one stream that may fail. */
export const MAX_FAILED_PREFILLS = 3;
/** Least time before the deadline for which one more attempt is worth starting. */
export const MIN_REMAINING_MS = 500;

/** Counts the retries of one more attempt: the decode, and the prefill if it is repeated. */
export function countRetries({ kvSource, prefillSends }: StreamProgress): number {
  return kvSource === undefined && prefillSends > 0 ? 2 : 1;
}

/** Fields of a send besides the server and the remaining time. */
export type SendFields = Omit<PlacementFields, 'upstreamId' | 'leftMs' | 'sender'>;

/** Counts forwarded events; `waitedMs` is the time since the request arrived. */
export function countEvents(progress: StreamProgress, count: number, waitedMs: number): void {
  const now = getSteadyMs();
  progress.events += count;
  if (progress.firstEventMs === undefined) progress.firstEventMs = waitedMs;
  else progress.longestGapMs = Math.max(progress.longestGapMs, now - progress.lastEventAt);
  progress.lastEventAt = now;
}

/** After its deadline a caller may resume a stream for this long at most. */
const RESUME_MARGIN_MS = 5_000;

/** Records which engine began a stream that may be resumed, once its first event has arrived. */
export function recordStreamOrigin(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  { service, softwareVersion }: UpstreamRecord,
): void {
  progress.origin ??= { service, softwareVersion };
  if (!request.route.isResumable) return;
  const { requestId, resumedStream, leftMs = 0 } = request.fields;
  const deadlineAt = Math.max(request.deadlineAt, request.arrivedAt + leftMs);
  state.streamOrigins.recordOwn({
    streamId: resumedStream ?? (digestLongId(requestId) as StreamId),
    contentKey: request.contentKey,
    origin: progress.origin,
    expiresAt: deadlineAt + RESUME_MARGIN_MS,
  });
}

/** Builds the fields that keep a further run to the weights of the answer that has begun. */
export function buildWeightFields({ weightVersion }: StreamProgress): SendFields {
  return weightVersion === undefined ? {} : { weightVersion };
}

/** Builds the fields with which another engine continues after the last whole event. */
export function buildResumeFields({ place: { lastId }, runs }: StreamProgress): SendFields {
  return runs > 0 && lastId !== undefined ? { resumeAfterEvent: lastId } : {};
}

/**
 * Returns the outcome of a send; it is unknown for a cancelled send, which may have been executed.
 */
export function getSendOutcome(result: SendResult): SendOutcome {
  if (result.kind === 'outcome') return result.outcome;
  return { kind: 'unknown', reason: result.kind };
}

/** Finds the kind of engine failure that a failed send indicates. */
export function findEngineFailure(result: SendResult): EngineFailure {
  const outcome = getSendOutcome(result);
  return outcome.kind === 'not-run' ? 'full' : 'broken';
}

/** Whether others may not see the failure: this VM may only have lost its own way to the engine. */
function isDoubtful(failure: EngineFailure): boolean {
  return failure === 'broken' || failure === 'silent';
}

/** Notifies the pool of a failed engine, unless this VM seems to be cut off itself. */
export function notifyEngineFailed(
  state: GatewayState,
  request: GatewayRequest,
  upstreamId: UpstreamId,
  failure: EngineFailure,
): void {
  const { service } = request;
  const { pools, logger, access } = state;
  const notify = (): void =>
    sendPoolMessage(pools, { kind: 'engine-failed', service, upstreamId, failure }, logger);
  if (!isDoubtful(failure)) {
    notify();
    return;
  }
  access.paths.tryPath(upstreamId).then(
    (answer) => {
      if (answer !== 'unknown') notify();
      else logger.info({ upstreamId, failure }, 'paths: failure of an engine not told to its pool');
    },
    (error: unknown) =>
      logger.error({ upstreamId, err: error }, 'paths: way to an engine not tried'),
  );
}
