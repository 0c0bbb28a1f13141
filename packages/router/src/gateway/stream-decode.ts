/** Runs a stream on a decode engine. */

import {
  canGoOnElsewhere,
  type AnswerProgress,
  type ClearedUpstream,
  type SlotRequestId,
} from '@tarragonspool/core';
import { findLife, type AnswerMaker } from '../answer-ends/answer-ends.js';
import { sendPoolMessage } from '../pools/pool-task.js';
import { readReportAnyWay } from '../stages/engine-calls.js';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { sendOnce, type SendResult } from './sender.js';
import {
  buildResumeFields,
  buildWeightFields,
  getSendOutcome,
  notifyEngineFailed,
  recordStreamOrigin,
  type SendFields,
  type StreamProgress,
} from './stream-progress.js';
import { canAskOtherRuns, makeEventRelay, type RunTurn } from './stream-relay.js';

const HEAD_TIMEOUT_MS = 1_500;
const SILENCE_MS = 1_200;
/** An engine that another run may follow answers within this time if it lives. */
const LIFE_TIMEOUT_MS = 1_000;
/** It is the only one that can tell the end, and may stand still for a moment, or its machine. */
const ONLY_LIFE_TIMEOUT_MS = 2_500;
/** A log line names at most this many parts of a prompt. */
const MAX_LOGGED_PARTS = 16;

/**
 * How the decoding of a stream on one engine ended; `over` if the request itself ended. After `unconfirmed` the
 * stream may have ended, or its engine may have died.
 */
export type DecodeEnd = 'finished' | 'unconfirmed' | 'not-run' | 'broken' | 'over';

/** How a run ended. */
export type DecodeRun = {
  readonly end: DecodeEnd;
  readonly result: SendResult;
  /** Whether its engine sent any events. */
  readonly hasEvents: boolean;
  /** Whether its engine sent the head of an answer that can be used. */
  readonly hasHead: boolean;
  /** Whether its engine could not go on as it has other weights than those of the answer. */
  readonly hasOtherWeights: boolean;
  /** How its events came; undefined if there were none. */
  readonly answerProgress: AnswerProgress | undefined;
};

function findDecodeEnd(
  result: SendResult,
  relay: ReturnType<typeof makeEventRelay>,
  isDisplaced: boolean,
): DecodeEnd {
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') return 'over';
  if (result.kind === 'slow' || isDisplaced) return 'broken';
  const { outcome } = result;
  if (outcome.kind === 'not-run') return 'not-run';
  if (outcome.kind !== 'answered' || !relay.isForwarding()) return 'broken';
  return relay.isEndKnown() ? 'finished' : 'unconfirmed';
}

/**
 * Finds how a stream ended about which no other run is asked, or of which the one that was asked has no more (RFC 9112,
 * 8, holds an answer complete that ends with its connection).
 */
function* awaitEndByEngine(
  state: GatewayState,
  { fields: { requestId }, deadlineAt, route }: GatewayRequest,
  {
    engine,
    turn,
    relay,
    maker,
  }: {
    readonly engine: ClearedUpstream;
    readonly turn: RunTurn;
    readonly relay: ReturnType<typeof makeEventRelay>;
    readonly maker: AnswerMaker | undefined;
  },
): Task<'finished' | 'broken'> {
  const timeoutMs = canAskOtherRuns(route) ? LIFE_TIMEOUT_MS : ONLY_LIFE_TIMEOUT_MS;
  const until = Math.min(deadlineAt, getSteadyMs() + timeoutMs);
  const { isEnded } = yield* state.answerEnds.awaitVerdict({
    server: engine,
    requestId,
    askLife: function* askLife() {
      const report = yield* readReportAnyWay(state, engine, until);
      return findLife(engine, maker ?? { start: undefined }, report);
    },
    until,
    hasAllTokens: relay.hasAllTokens(),
    seenEnd: relay.describeEnd(),
  });
  // Meanwhile another run may have taken the place.
  return isEnded && !turn.isDisplaced() ? 'finished' : 'broken';
}

/** Runs a stream on one decode engine. */
export function* runDecode(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  plan: {
    readonly engine: ClearedUpstream;
    readonly slotRequestId: SlotRequestId;
    readonly turn: RunTurn;
    /** Called when the run has been sent. */
    readonly onSent: () => void;
  },
): Task<DecodeRun> {
  const { engine, slotRequestId, turn, onSent } = plan;
  // An engine that does a local prefill has finished it when its first event arrives.
  const onFirstEvent = (): void => {
    recordStreamOrigin(state, request, progress, engine);
    sendPoolMessage(state.pools, { kind: 'prefilled', askId: slotRequestId }, state.logger);
  };
  const { upstreamId, softwareVersion } = engine;
  let maker: AnswerMaker | undefined;
  const onClosing = (): void => {
    maker = state.answerEnds.beginAnswer((until) => readReportAnyWay(state, engine, until));
  };
  const run = { upstreamId, turn, onFirstEvent, onClosing };
  const relay = makeEventRelay(state, request, progress, run);
  const sentAt = getSteadyMs();
  const { route } = request;
  const { kvSource } = progress;
  const canContinue = canGoOnElsewhere(progress.place) && progress.runs + 1 < route.maxAttempts;
  const placement: SendFields = {
    ...buildResumeFields(progress),
    ...buildWeightFields(progress),
    ...(kvSource === undefined ? {} : { kvSource }),
  };
  const result = yield* sendOnce(state, request, {
    server: engine,
    placement,
    onSent,
    headDueAt: canContinue ? sentAt + HEAD_TIMEOUT_MS : request.deadlineAt + 1,
    ...(canContinue ? { silenceMs: SILENCE_MS } : {}),
    canGiveUp: turn.canGiveUp,
    onSilence: () => notifyEngineFailed(state, request, engine.upstreamId, 'silent'),
    onHead: relay.onHead,
    onData: relay.onData,
    findCut: relay.findCut,
  });
  const isDisplaced = turn.isDisplaced();
  const seenEnd = findDecodeEnd(result, relay, isDisplaced);
  const isAsked = relay.hasEvents() && canAskOtherRuns(route);
  const isJudgedByEngine = seenEnd === 'unconfirmed' && !isAsked;
  const end = isJudgedByEngine
    ? yield* awaitEndByEngine(state, request, { engine, turn, relay, maker })
    : seenEnd;
  const { framing, restBytes, eventIds } = relay.getEnd();
  relay.close();
  if (end === 'finished') relay.finish();
  const hasOtherWeights = relay.hasOtherWeights();
  const { requestId, promptParts } = request.fields;
  const { events, runs, firstEventMs, longestGapMs, weightVersion } = progress;
  const tookMs = getSteadyMs() - sentAt;
  state.logger.info(
    {
      requestId,
      upstreamId,
      softwareVersion,
      end,
      outcome: getSendOutcome(result),
      framing,
      restBytes,
      eventIds,
      weightVersion,
      hasOtherWeights,
      events,
      runs,
      isDisplaced,
      tookMs,
      firstEventMs,
      longestGapMs,
      // What streams that broke off had in common shows only from their prompts.
      ...(end === 'broken' ? { promptParts: promptParts.slice(0, MAX_LOGGED_PARTS) } : {}),
    },
    'streams: decode run ended',
  );
  state.metrics.sends.inc({ step: 'decode', outcome: end });
  const hasHead = relay.isForwarding();
  const answerProgress = relay.getAnswerProgress();
  return { end, result, hasEvents: relay.hasEvents(), hasHead, hasOtherWeights, answerProgress };
}
