/**
 * Runs a stream on a granted slot, and lets it go on at another engine while its own one is silent. The
 * silent run stays open until the other one has begun, and goes on if it is heard first: a server that is
 * silent may be sound.
 */

import { canGoOnElsewhere, type ClearedUpstream } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import { makeChannel, offer, receive, startTask, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import { REQUEST_INBOX_CAPACITY, type GatewayRequest } from './gateway-request.js';
import { takeServiceRetries, type GatewayState } from './gateway-state.js';
import { recordBrokenContent } from './quarantine/broken-content.js';
import { runDecode, type DecodeRun } from './stream-decode.js';
import {
  askDecode,
  endGrant,
  findRefusedEngine,
  awaitPrefill,
  type SlotGrant,
} from './stream-prepare.js';
import {
  countRetries,
  findEngineFailure,
  MAX_FAILED_PREFILLS,
  MIN_REMAINING_MS,
  notifyEngineFailed,
  type StreamProgress,
} from './stream-progress.js';
import type { RunTurn } from './stream-relay.js';
import { awaitSlotReply, buildSlotRequest } from './stream-slot.js';

/** A run of a stream on the engine of a grant. */
export type GrantedRun = DecodeRun & {
  readonly grant: SlotGrant;
  /** Whether its slot has been freed and its engine's failure been told. */
  readonly isSettled: boolean;
};

/** An engine that got a run and refuses it does so within this time; one that says nothing for longer has it. */
const REFUSAL_MS = 300;
/** Another engine is looked for again after this time. */
const SEARCH_PAUSE_MS = 300;

/** One attempt to go on at another engine, with an inbox and a progress of its own. */
type Attempt = {
  readonly request: GatewayRequest;
  readonly progress: StreamProgress;
  /** `sent` until the engine has begun or refused; `taken` once it has the place of the silent one. */
  state: 'searching' | 'sent' | 'taken' | 'cancelled';
  sentAt: number;
};

type AttemptEnd =
  | { readonly kind: 'run'; readonly run: GrantedRun }
  /** No engine could take the stream. */
  | { readonly kind: 'none' }
  | { readonly kind: 'failed'; readonly error: unknown };

/** Turn of a run whose place another one may take. */
type Handover = RunTurn & {
  /** Ends the search for another engine, unless the place is taken. */
  readonly cancel: () => void;
  /** Gives the place to the attempt that is under way, if there is one: the silent run broke off. */
  readonly takeOver: () => void;
  /** Whether the pool has been told of the silent engine. */
  readonly isReported: () => boolean;
  /**
   * Waits for the end of the run that took the place; undefined if no engine took the stream. `first` is
   * how the silent one ended.
   */
  readonly awaitEnd: (first: DecodeRun) => Task<GrantedRun | undefined>;
};

/** Gets a slot, takes the retries and has the prompt prefilled; undefined if that fails. */
function* awaitGrant(
  state: GatewayState,
  { request, progress }: Attempt,
): Task<SlotGrant | undefined> {
  const slotRequest = buildSlotRequest(state, request, progress);
  const grant = yield* awaitSlotReply(state, request, slotRequest, true);
  if (grant.kind !== 'granted') return undefined;
  const isAllowed =
    findRefusedEngine(state, request, progress, grant) === undefined &&
    takeServiceRetries(state, request.service, countRetries(progress));
  const prefillEnd = isAllowed ? yield* awaitPrefill(state, request, progress, grant) : undefined;
  if (prefillEnd?.kind === 'ready') return grant;
  endGrant(state, grant, false);
  return undefined;
}

/** What a run of a stream needs besides the request and its progress. */
type RunPlan = {
  readonly grant: SlotGrant;
  readonly server: ClearedUpstream;
  /** Whether the run may write to the answer; asked as soon as it has something to write. */
  readonly claim: () => boolean;
  /** Called when the run has been sent. */
  readonly onSent: () => void;
};

function makeHandover(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  plan: RunPlan,
): Handover {
  const { requestId } = request.fields;
  const { decode } = plan.grant;
  const refusedBy = new Set<UpstreamId>([decode]);
  let hasBegun = false;
  let isReported = false;
  let attempt: Attempt | undefined;
  let searchAt = 0;
  let end: AttemptEnd | undefined;
  /** A KV cache that an attempt has had made and no engine has taken. */
  let kvCache: Pick<StreamProgress, 'kvSource' | 'kvExpiresAt'> | undefined;

  /** Counts the engines that may have begun the stream, with the silent one. */
  function countRuns(): number {
    return progress.runs + (hasBegun ? 0 : 1);
  }

  function claimFor(own: Attempt): boolean {
    if (own.state === 'cancelled' || !plan.claim()) return false;
    if (own.state !== 'taken') {
      state.logger.info({ requestId, from: decode }, 'streams: another engine takes over');
      // The silent engine is not to work on beside the other one.
      offer(request.inbox, { kind: 'displaced' });
    }
    own.state = 'taken';
    return true;
  }

  /** Keeps the KV cache for the next attempt if the engine of this one did not run it. */
  function keepKvCache({ progress: { kvSource, kvExpiresAt } }: Attempt, run: DecodeRun): void {
    if (run.end === 'not-run') kvCache = { kvSource, kvExpiresAt };
  }

  /** Returns the KV cache that has been kept, if it is still stored. */
  function getKvCache(): Pick<StreamProgress, 'kvSource' | 'kvExpiresAt'> {
    const kept = kvCache;
    const isStored = kept !== undefined && kept.kvExpiresAt > getSteadyMs();
    return isStored ? kept : { kvSource: undefined, kvExpiresAt: 0 };
  }

  function* runAttempt(own: Attempt): Task {
    const grant = yield* awaitGrant(state, own);
    if (grant === undefined) return;
    const clearance = askDecode(state, own.request, own.progress, grant);
    if (own.state === 'cancelled' || clearance.kind === 'refused') {
      endGrant(state, grant, false);
      return;
    }
    if (own.state === 'searching') own.state = 'sent';
    kvCache = undefined;
    const next: RunPlan = {
      grant,
      server: clearance.server,
      claim: () => claimFor(own),
      onSent: () => {
        own.sentAt = getSteadyMs();
      },
    };
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a run may be handed over again
    const run = yield* runGranted(state, own.request, own.progress, next);
    if ((own.state as Attempt['state']) === 'taken') {
      end = { kind: 'run', run };
      return;
    }
    if (!run.isSettled) endGrant(state, run.grant, false);
    if ((own.state as Attempt['state']) === 'cancelled') return;
    if (run.hasOtherWeights) keepKvCache(own, run);
    else notifyEngineFailed(state, request, grant.decode, findEngineFailure(run.result));
    refusedBy.add(grant.decode);
    if (run.end === 'broken') progress.runs += 1;
  }

  function handleAttemptEnd(own: Attempt, error: unknown): void {
    if (error !== undefined) {
      state.logger.error({ requestId, err: error }, 'streams: handover task failed');
    }
    if (own.state === 'taken') {
      end ??= error === undefined ? { kind: 'none' } : { kind: 'failed', error };
      offer(request.inbox, { kind: 'handover-ended' });
      return;
    }
    progress.failedPrefills = own.progress.failedPrefills;
    progress.prefillSends = own.progress.prefillSends;
    if (attempt !== own) return;
    attempt = undefined;
    searchAt = getSteadyMs() + SEARCH_PAUSE_MS;
  }

  /** Tells the pool once that the engine is overdue, so that it gets no new work for a while. */
  function notifyOverdue(): void {
    if (isReported) return;
    isReported = true;
    notifyEngineFailed(state, request, decode, 'broken');
  }

  function startAttempt(): void {
    const excluded = new Set([...progress.excluded, ...refusedBy]);
    const own: Attempt = {
      request: { ...request, inbox: makeChannel(REQUEST_INBOX_CAPACITY) },
      progress: { ...progress, runs: countRuns(), ...getKvCache(), excluded },
      state: 'searching',
      sentAt: Infinity,
    };
    attempt = own;
    const { events, place } = progress;
    state.logger.info(
      { requestId, upstreamId: decode, events, lastEventId: place.lastId },
      'streams: engine is silent, another one is looked for',
    );
    startTask(
      'handover',
      () => runAttempt(own),
      (_name, error) => handleAttemptEnd(own, error),
    );
  }

  function cancel(): void {
    if (attempt === undefined || attempt.state === 'taken') return;
    // The other engine may have begun it meanwhile.
    if (attempt.state === 'sent') progress.runs += 1;
    attempt.state = 'cancelled';
    offer(attempt.request.inbox, { kind: 'caller-gone' });
    attempt = undefined;
  }

  function isTaken(): boolean {
    return attempt?.state === 'taken';
  }

  return {
    claim: () => {
      if (isTaken()) return false;
      cancel();
      hasBegun = true;
      return plan.claim();
    },
    isDisplaced: isTaken,
    canGiveUp: () => {
      const now = getSteadyMs();
      notifyOverdue();
      if (attempt === undefined) {
        const hasTime = request.deadlineAt - now > MIN_REMAINING_MS;
        const mayPrefill = progress.failedPrefills < MAX_FAILED_PREFILLS;
        const hasAttempts = countRuns() < request.route.maxAttempts;
        const mayRun = mayPrefill && hasAttempts && canGoOnElsewhere(progress.place);
        if (hasTime && mayRun && now >= searchAt) startAttempt();
        return false;
      }
      if (attempt.state === 'sent' && now - attempt.sentAt >= REFUSAL_MS) claimFor(attempt);
      return isTaken();
    },
    cancel,
    takeOver: () => {
      if (attempt !== undefined) claimFor(attempt);
    },
    isReported: () => isReported,
    *awaitEnd({ result }) {
      const own = attempt;
      if (own === undefined) throw new Error('no run has taken the place');
      const { kind } = result;
      if (kind === 'caller-gone' || kind === 'timed-out') offer(own.request.inbox, { kind });
      while (end === undefined) {
        const message = (yield* receive(request.inbox)) ?? { kind: 'caller-gone' };
        const isOver = message.kind === 'caller-gone' || message.kind === 'timed-out';
        if (isOver) offer(own.request.inbox, message);
      }
      const { excluded } = progress;
      for (const upstreamId of own.progress.excluded) excluded.add(upstreamId);
      switch (end.kind) {
        case 'failed':
          throw end.error;
        case 'none':
          return undefined;
        case 'run':
          Object.assign(progress, { ...own.progress, excluded });
          return end.run;
        default:
          return end satisfies never;
      }
    },
  };
}

/** Records how a run ended, and frees its slot; `isReported` if the pool knows of its engine's failure. */
export function settleRun(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  {
    grant,
    end,
    result,
    hasEvents,
    hasHead,
    hasOtherWeights,
    answerProgress,
  }: Omit<GrantedRun, 'isSettled'>,
  isReported = false,
): void {
  const didFinish = end === 'finished' || end === 'unconfirmed';
  endGrant(state, grant, didFinish, didFinish ? answerProgress : undefined);
  const { content, sharedParts: promptParts } = request;
  if (end === 'finished') state.contentGuard.recordAnswered(content.fingerprint);
  if (end === 'finished' || end === 'unconfirmed' || end === 'over') return;
  const { decode } = grant;
  const broken = { content, hasEvents, promptParts };
  const isFailure = !hasOtherWeights;
  if (end === 'broken' && isFailure) recordBrokenContent(state, decode, broken);
  if (!isReported && isFailure) {
    notifyEngineFailed(state, request, decode, findEngineFailure(result));
  }
  progress.excluded.add(decode);
  // A send that may have reached the engine counts as executed even if no answer arrived.
  if (end === 'broken' && !hasHead) progress.runs += 1;
}

/** Runs a stream on a granted slot; returns the last run if others have taken its place. */
export function* runGranted(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  plan: RunPlan,
): Task<GrantedRun> {
  const { grant, server } = plan;
  const handover = makeHandover(state, request, progress, plan);
  const run = yield* runDecode(state, request, progress, {
    engine: server,
    slotRequestId: grant.askId,
    turn: handover,
    onSent: plan.onSent,
  });
  const hasFailed = run.end === 'broken' || run.end === 'not-run';
  if (hasFailed && !handover.isDisplaced()) handover.takeOver();
  if (!handover.isDisplaced()) {
    handover.cancel();
    return { ...run, grant, isSettled: false };
  }
  settleRun(state, request, progress, { ...run, grant }, handover.isReported());
  const next = yield* handover.awaitEnd(run);
  return next ?? { ...run, grant, isSettled: true };
}
