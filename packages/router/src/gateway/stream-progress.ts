/** What a stream has gone through so far, and what its steps share. */

import type { SendOutcome, UpstreamRecord } from '@tarragonspool/core';
import type { EngineFailure, UpstreamId } from '@tarragonspool/protocol';
import { requestPlace } from '../pools/pool-task.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { KvSource, PlacementFields } from './ports.js';
import type { SendResult } from './sender.js';

/** What has happened to one stream so far. */
export type StreamProgress = {
  readonly excluded: Set<UpstreamId>;
  /** Engines on which it has begun to run. */
  runs: number;
  failedPrefills: number;
  prefillSends: number;
  lastEventId: number | undefined;
  events: number;
  /** From arrival to the first event, in milliseconds; undefined before it. */
  firstEventMs: number | undefined;
  lastEventAt: number;
  /** Longest pause between events, in milliseconds. */
  longestGapMs: number;
  /** KV cache of the prompt that no engine has taken yet. */
  kvSource: KvSource | undefined;
  kvKeptUntil: number;
  /** Engines that refused the request with this KV cache. */
  handleRefusals: number;
};

/** Callers abandon a stream after a gap of the greatest of these. */
const MIN_ABANDON_MS = 2_000;
const TARGETS_TO_ABANDON = 4;
const GAPS_TO_ABANDON = 8;
const ABANDON_MARGIN_MS = 350;

/** Makes the progress of a stream that has just arrived. */
export function makeProgress(request: GatewayRequest): StreamProgress {
  return {
    excluded: new Set(),
    runs: 0,
    failedPrefills: 0,
    prefillSends: 0,
    lastEventId: request.fields.lastEventId,
    events: 0,
    firstEventMs: undefined,
    lastEventAt: 0,
    longestGapMs: 0,
    kvSource: undefined,
    kvKeptUntil: 0,
    handleRefusals: 0,
  };
}

/** Finds until when the caller waits for the first event. */
export function findPatienceEnd({ route, arrivedAt, deadlineAt }: GatewayRequest): number {
  const gapMs = Math.max(
    MIN_ABANDON_MS,
    TARGETS_TO_ABANDON * route.targetLatencyMs,
    GAPS_TO_ABANDON * (route.gapTargetMs ?? 0),
  );
  return Math.min(deadlineAt, arrivedAt + gapMs - ABANDON_MARGIN_MS);
}

/** What a send adds beside the server and the time that is left. */
export type SendFields = Omit<PlacementFields, 'upstreamId' | 'leftMs'>;

/** Counts events that are passed on. */
export function countEvents(progress: StreamProgress, count: number, waitedMs: number): void {
  const now = getSteadyMs();
  progress.events += count;
  if (progress.firstEventMs === undefined) progress.firstEventMs = waitedMs;
  else progress.longestGapMs = Math.max(progress.longestGapMs, now - progress.lastEventAt);
  progress.lastEventAt = now;
}

/** Builds the fields by which another engine goes on after the last whole event. */
export function buildResumeFields({ lastEventId, runs }: StreamProgress): SendFields {
  return runs > 0 && lastEventId !== undefined ? { resumeAfterEvent: lastEventId } : {};
}

/** Finds an engine that may get new work. */
export function findEngine(
  state: GatewayState,
  upstreamId: UpstreamId,
): UpstreamRecord | undefined {
  const record = state.upstreams.records.get(upstreamId);
  return record === undefined || record.isLeaving ? undefined : record;
}

/** Reads the outcome of a send; one that was dropped may have run. */
export function readOutcome(result: SendResult): SendOutcome {
  if (result.kind === 'outcome') return result.outcome;
  return { kind: 'unknown', reason: result.kind };
}

/** Tells what a send shows of its engine. */
export function judgeFailure(result: SendResult): EngineFailure {
  const outcome = readOutcome(result);
  return outcome.kind === 'not-run' ? 'full' : 'broken';
}

/** Tells the pool of a failed engine. */
export function notifyEngineFailed(
  state: GatewayState,
  request: GatewayRequest,
  upstreamId: UpstreamId,
  failure: EngineFailure,
): void {
  const { service } = request;
  requestPlace(state.pools, { kind: 'engine-failed', service, upstreamId, failure }, state.logger);
}
