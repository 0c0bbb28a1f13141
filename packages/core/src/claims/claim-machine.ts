/**
 * Claims the keys of calls that must run at most once, and records how the calls ended. Returns
 * actions only; the host performs the calls of the table. Times are milliseconds since the epoch.
 */

import {
  assertNever,
  parseClaimRow,
  type ClaimRow,
  type ReadResult,
  type TableRow,
  type TableWrite,
  type TransactResult,
} from '@tarragonspool/protocol';
import { compareRow, EXPIRY_MARGIN_MS, type RowFinding } from './claim-rows.js';
import type {
  BatchId,
  Claim,
  ClaimAction,
  ClaimEvent,
  ClaimGoal,
  ClaimJob,
  ClaimState,
  ClaimVerdict,
} from './claim-types.js';

const MAX_BATCH_ROWS = 64;
const MAX_BATCHES_IN_FLIGHT = 4;
const MAX_QUEUED_CLAIMS = 1_024;
const MAX_QUEUED_ENDINGS = 2_048;
const BATCH_WINDOW_MS = 4;
const TABLE_CALL_TIMEOUT_MS = 1_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 15_000;

/** Makes the initial state of the claim machine. */
export function makeClaimState(): ClaimState {
  return { queue: [], inFlight: new Map(), held: new Map(), nextBatchId: 1 };
}

/** Whether a claimed call may still be sent. Must be checked in the same step as the send. */
export function isDispatchAllowed(verdict: ClaimVerdict, now: number): boolean {
  return verdict.kind === 'claimed' && now < verdict.dispatchDeadline;
}

function makeJob(
  claim: Claim,
  goal: ClaimGoal,
  version: number | undefined,
  now: number,
): ClaimJob {
  const isClaim = goal.kind === 'claim';
  return {
    claim,
    goal,
    step: 'write',
    version,
    canWriteTakeEffect: false,
    failures: 0,
    readyAt: isClaim ? now + BATCH_WINDOW_MS : now,
    deadline: isClaim ? claim.claimDeadline : claim.expiresAt - EXPIRY_MARGIN_MS,
  };
}

function countQueued(state: ClaimState, kind: ClaimGoal['kind']): number {
  let count = 0;
  for (const job of state.queue) if (job.goal.kind === kind) count += 1;
  return count;
}

function answerClaim(job: ClaimJob, verdict: ClaimVerdict): ClaimAction {
  return { kind: 'answer', token: job.claim.token, verdict };
}

function addClaim(state: ClaimState, claim: Claim, now: number): ClaimAction[] {
  const job = makeJob(claim, { kind: 'claim' }, undefined, now);
  if (countQueued(state, 'claim') >= MAX_QUEUED_CLAIMS) {
    return [answerClaim(job, { kind: 'unavailable', isKeyReserved: false })];
  }
  state.queue.push(job);
  return [];
}

function addEnding(
  state: ClaimState,
  event: Extract<ClaimEvent, { kind: 'ended' }>,
): ClaimAction[] {
  const { token, ending, now } = event;
  const held = state.held.get(token);
  if (held === undefined) {
    return [{ kind: 'report-violation', invariant: 'ending-without-claim', token }];
  }
  state.held.delete(token);
  if (countQueued(state, 'end') >= MAX_QUEUED_ENDINGS) return [{ kind: 'drop-ending', token }];
  state.queue.push(makeJob(held.claim, { kind: 'end', ending }, held.version, now));
  return [];
}

function makeWrite({ claim, goal, version }: ClaimJob): TableWrite {
  const { token, fingerprint, dispatchDeadline, answerDeadline, expiresAt } = claim;
  const state = goal.kind === 'claim' ? ({ kind: 'claimed' } as const) : goal.ending;
  const row: ClaimRow = {
    token,
    fingerprint,
    dispatchDeadline,
    answerDeadline,
    expiresAt,
    state,
  };
  const value = JSON.stringify(row);
  const key = claim.rowKey;
  return version === undefined
    ? { kind: 'insert', key, value }
    : { kind: 'update', key, value, ifVersion: version };
}

/** Queues a failed job again after an exponential delay. */
function requeueWithBackoff(state: ClaimState, job: ClaimJob, now: number): void {
  job.failures += 1;
  job.readyAt = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(job.failures, 10));
  state.queue.push(job);
}

/** Queues a job for an immediate write, once the current version of its row is known. */
function requeueNow(state: ClaimState, job: ClaimJob, now: number): void {
  job.readyAt = now;
  job.step = 'write';
  state.queue.unshift(job);
}

function abandonJob(state: ClaimState, job: ClaimJob, now: number): ClaimAction[] {
  if (job.goal.kind === 'end') return [{ kind: 'drop-ending', token: job.claim.token }];
  if (job.canWriteTakeEffect) {
    // A `not-run` row blocks a delayed insert of this attempt and frees the key for the next one.
    const goal = { kind: 'end', ending: { kind: 'not-run' } } as const;
    state.queue.push(makeJob(job.claim, goal, job.version, now));
  }
  return [answerClaim(job, { kind: 'unavailable', isKeyReserved: job.canWriteTakeEffect })];
}

function handleWriteDone(state: ClaimState, job: ClaimJob, version: number): ClaimAction[] {
  if (job.goal.kind === 'end') return [];
  const { claim } = job;
  state.held.set(claim.token, { claim, version });
  return [answerClaim(job, { kind: 'claimed', dispatchDeadline: claim.dispatchDeadline })];
}

function applyFinding(
  state: ClaimState,
  job: ClaimJob,
  finding: RowFinding,
  now: number,
): ClaimAction[] {
  // The row may have expired and been swept while this VM was paused.
  if (job.goal.kind === 'end' && now >= job.deadline) return abandonJob(state, job, now);
  switch (finding.kind) {
    case 'done':
      return handleWriteDone(state, job, finding.version);
    case 'write':
      job.version = finding.version;
      if (now >= job.deadline) return abandonJob(state, job, now);
      requeueNow(state, job, now);
      return [];
    case 'verdict':
      return [answerClaim(job, finding.verdict)];
    case 'nothing':
      return [];
    case 'violation': {
      const { invariant } = finding;
      const report = { kind: 'report-violation', invariant, token: job.claim.token } as const;
      return job.goal.kind === 'claim' ? [report, answerClaim(job, { kind: 'unknown' })] : [report];
    }
    default:
      return assertNever(finding);
  }
}

function findRow(rows: readonly TableRow[], job: ClaimJob): TableRow | undefined {
  return rows.find((row) => row.key === job.claim.rowKey);
}

function handleConflict(
  state: ClaimState,
  jobs: readonly ClaimJob[],
  rows: readonly TableRow[],
  now: number,
): ClaimAction[] {
  const actions: ClaimAction[] = [];
  const hasConflictingRow = jobs.some((job) => findRow(rows, job) !== undefined);
  for (const job of jobs) {
    const row = findRow(rows, job);
    if (row !== undefined) {
      const finding = compareRow(job, parseClaimRow(row.value), row.version, now);
      actions.push(...applyFinding(state, job, finding, now));
    } else if (hasConflictingRow) {
      requeueNow(state, job, now);
    } else {
      job.step = 'read';
      requeueWithBackoff(state, job, now);
    }
  }
  return actions;
}

function handleTransacted(
  state: ClaimState,
  jobs: readonly ClaimJob[],
  result: TransactResult,
  now: number,
): ClaimAction[] {
  const actions: ClaimAction[] = [];
  switch (result.kind) {
    case 'committed':
      for (const job of jobs) actions.push(...handleWriteDone(state, job, (job.version ?? 0) + 1));
      return actions;
    case 'conflict':
      return handleConflict(state, jobs, result.rows, now);
    case 'lost':
      for (const job of jobs) {
        job.canWriteTakeEffect = true;
        job.step = 'read';
        job.readyAt = now;
        state.queue.unshift(job);
      }
      return actions;
    case 'unavailable':
      for (const job of jobs) {
        const isUnwritten = job.goal.kind === 'claim' && !job.canWriteTakeEffect;
        if (isUnwritten || now >= job.deadline) actions.push(...abandonJob(state, job, now));
        else requeueWithBackoff(state, job, now);
      }
      return actions;
    default:
      return assertNever(result);
  }
}

function handleRead(
  state: ClaimState,
  jobs: readonly ClaimJob[],
  result: ReadResult,
  now: number,
): ClaimAction[] {
  const actions: ClaimAction[] = [];
  for (const job of jobs) {
    if (result.kind === 'unavailable') {
      if (now >= job.deadline) actions.push(...abandonJob(state, job, now));
      else requeueWithBackoff(state, job, now);
      continue;
    }
    const row = findRow(result.rows, job);
    const value = row && parseClaimRow(row.value);
    const finding = compareRow(job, value, row?.version, now);
    actions.push(...applyFinding(state, job, finding, now));
  }
  return actions;
}

function takeBatch(state: ClaimState, now: number): ClaimJob[] {
  const batch: ClaimJob[] = [];
  const rest: ClaimJob[] = [];
  const keys = new Set<string>();
  for (const job of state.queue) {
    const isReady = job.readyAt <= now && job.step === (batch[0]?.step ?? job.step);
    if (!isReady || keys.has(job.claim.rowKey) || batch.length >= MAX_BATCH_ROWS) {
      rest.push(job);
      continue;
    }
    keys.add(job.claim.rowKey);
    batch.push(job);
  }
  state.queue = rest;
  return batch;
}

function sendBatch(state: ClaimState, batch: readonly ClaimJob[], now: number): ClaimAction {
  const batchId: BatchId = state.nextBatchId;
  state.nextBatchId += 1;
  state.inFlight.set(batchId, batch);
  const deadline = now + TABLE_CALL_TIMEOUT_MS;
  if (batch[0]?.step === 'read') {
    return { kind: 'read', batchId, keys: batch.map((job) => job.claim.rowKey), deadline };
  }
  return { kind: 'transact', batchId, writes: batch.map(makeWrite), deadline };
}

/** Abandons queued jobs whose deadline has passed. */
function abandonOverdueJobs(state: ClaimState, now: number): ClaimAction[] {
  const actions: ClaimAction[] = [];
  const overdue = state.queue.filter((job) => now >= job.deadline);
  if (overdue.length === 0) return actions;
  state.queue = state.queue.filter((job) => now < job.deadline);
  for (const job of overdue) actions.push(...abandonJob(state, job, now));
  return actions;
}

function sendReadyBatches(state: ClaimState, now: number): ClaimAction[] {
  const actions = abandonOverdueJobs(state, now);
  while (state.inFlight.size < MAX_BATCHES_IN_FLIGHT) {
    const batch = takeBatch(state, now);
    if (batch.length === 0) break;
    actions.push(sendBatch(state, batch, now));
  }
  return actions;
}

function applyEvent(state: ClaimState, event: ClaimEvent): ClaimAction[] {
  switch (event.kind) {
    case 'claim-asked':
      return addClaim(state, event.claim, event.now);
    case 'ended':
      return addEnding(state, event);
    case 'transacted':
    case 'read': {
      const jobs = state.inFlight.get(event.batchId) ?? [];
      state.inFlight.delete(event.batchId);
      return event.kind === 'read'
        ? handleRead(state, jobs, event.result, event.now)
        : handleTransacted(state, jobs, event.result, event.now);
    }
    case 'ticked':
      return [];
    default:
      return assertNever(event);
  }
}

/** Handles one event and returns the resulting actions. */
export function handleClaimEvent(state: ClaimState, event: ClaimEvent): ClaimAction[] {
  const actions = applyEvent(state, event);
  return [...actions, ...sendReadyBatches(state, event.now)];
}

/** Finds when the machine needs its next tick; undefined while no job waits. */
export function findNextClaimTick(state: ClaimState): number | undefined {
  let next: number | undefined;
  const isFull = state.inFlight.size >= MAX_BATCHES_IN_FLIGHT;
  for (const { readyAt, deadline } of state.queue) {
    const at = isFull ? deadline : Math.min(readyAt, deadline);
    if (next === undefined || at < next) next = at;
  }
  return next;
}

/** Counts jobs that are queued or in a call of the table, including outcomes to be recorded. */
export function countUnfinishedJobs(state: ClaimState): number {
  let count = state.queue.length;
  for (const jobs of state.inFlight.values()) count += jobs.length;
  return count;
}
