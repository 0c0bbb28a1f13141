/** Runs a stream on a decode engine and forwards its events as they arrive. */

import {
  makeEventIds,
  makeEventSplitter,
  recordEventId,
  type ClearedUpstream,
  type SlotRequestId,
} from '@tarragonspool/core';
import { sendPoolMessage } from '../pools/pool-task.js';
import { dropWholeAnswerHeaders, findMediaType } from '../http/whole-answer-headers.js';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { AnswerFraming, UpstreamExchange } from '../upstreams/upstream-client.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { sendOnce, type AnswerHead, type SendResult } from './sender.js';
import {
  buildResumeFields,
  countEvents,
  getSendOutcome,
  notifyEngineFailed,
  recordStreamOrigin,
  type SendFields,
  type StreamProgress,
} from './stream-progress.js';

const HEAD_TIMEOUT_MS = 1_500;
const SILENCE_MS = 1_200;
const HTTP_OK = 200;
const MAX_UNUSED_BYTES = 65_536;
/** A longer event is no event: the engine is in trouble. */
const MAX_EVENT_COST_BYTES = 1_048_576;
const MS_PER_S = 1_000;
/** An engine that has sent events for this long was not crashed by the prompt. */
const SOUND_AFTER_MS = 500;
/** A log line names at most this many parts of a prompt. */
const MAX_LOGGED_PARTS = 16;

/** What a run may do whose place another run of its stream may take. */
export type RunTurn = {
  /** Whether the run may write to the answer; asked when its engine is heard, before anything is written. */
  readonly claim: () => boolean;
  /** Whether another run has taken its place. */
  readonly isDisplaced: () => boolean;
  /** Whether the run may be given up; asked again and again while its engine is silent. */
  readonly canGiveUp: () => boolean;
};

/** Forwards an answer as it arrives, in whole events if the route is resumable. */
function makeEventRelay(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  turn: RunTurn,
  onFirstEvent: () => void,
) {
  const { reply, route } = request;
  let firstEventAt: number | undefined;
  let isKnownSound = false;
  const splitter = makeEventSplitter();
  const eventIds = makeEventIds(progress.lastEventId);
  let isForwarding = false;
  let unusedBytes = 0;
  let framing: AnswerFraming | undefined;

  function write(bytes: Buffer, exchange: UpstreamExchange): void {
    if (bytes.length === 0 || reply.write(bytes)) return;
    exchange.pause();
    reply.onDrain(() => exchange.resume());
  }

  /** Records what the events of an answer tell of the prompt and of the engine. */
  function recordEvents(count: number): void {
    const now = getSteadyMs();
    if (firstEventAt === undefined) {
      firstEventAt = now;
      onFirstEvent();
    }
    const waitedMs = now - request.arrivedAt;
    if (progress.events === 0) state.metrics.firstEventSeconds.observe(waitedMs / MS_PER_S);
    countEvents(progress, count, waitedMs);
    if (isKnownSound || now < firstEventAt + SOUND_AFTER_MS) return;
    isKnownSound = true;
    state.partGuard.recordAnswered(request.sharedParts);
  }

  /** Whether an answer may go on with what has begun: one of another media type is no part of it. */
  function canFollow({ rawHeaders }: AnswerHead): boolean {
    return reply.getState() === 'open' || findMediaType(rawHeaders) === progress.mediaType;
  }

  function begin({ status, rawHeaders }: AnswerHead): void {
    progress.mediaType = findMediaType(rawHeaders);
    const headers = state.ports.dialect.makeAnswerHeaders(rawHeaders);
    // Another engine may go on with the answer of a route that can be resumed.
    reply.begin(status, route.isResumable ? dropWholeAnswerHeaders(headers) : headers);
  }

  return {
    onHead: (head: AnswerHead): void => {
      framing = head.framing;
      const isUsable = head.status === HTTP_OK && head.isSigned && !head.isNotRun;
      isForwarding = isUsable && canFollow(head) && turn.claim();
      if (!isForwarding) return;
      progress.runs += 1;
      progress.kvSource = undefined;
      if (reply.getState() === 'open') begin(head);
    },
    onData: (chunk: Buffer, exchange: UpstreamExchange): boolean => {
      if (turn.isDisplaced()) return false;
      // The body of a refusal is not used; it may be without end.
      if (!isForwarding) {
        unusedBytes += chunk.length;
        if (unusedBytes > MAX_UNUSED_BYTES) exchange.abort('answer too large');
        return false;
      }
      const parts = splitter.split(chunk);
      const whole = Buffer.concat(parts.map(({ bytes }) => bytes));
      let count = 0;
      for (const part of parts) {
        if (part.kind === 'filler') continue;
        count += 1;
        recordEventId(eventIds, part.id);
        if (part.id.kind === 'number') progress.lastEventId = part.id.value;
      }
      if (count > 0) turn.claim();
      if (count > 0) recordEvents(count);
      write(route.isResumable ? whole : chunk, exchange);
      if (splitter.countRestCost() > MAX_EVENT_COST_BYTES) exchange.abort('event too large');
      return count > 0;
    },
    finish: (): void => {
      if (firstEventAt !== undefined && !isKnownSound) {
        state.partGuard.recordAnswered(request.sharedParts);
      }
      const rest = splitter.takeRest();
      if (route.isResumable) for (const { bytes } of rest) reply.write(bytes);
      reply.end();
    },
    isForwarding: () => isForwarding,
    /** Whether this engine has sent events. */
    hasEvents: () => firstEventAt !== undefined,
    findCut: (): string | undefined => {
      if (!isForwarding) return undefined;
      if (splitter.isInsideEvent()) return 'answer ended inside an event';
      // The head of a resumed answer may be all that the caller still lacks.
      const lacksEvents = firstEventAt === undefined && progress.lastEventId === undefined;
      return lacksEvents && framing === 'connection' ? 'answer ended before an event' : undefined;
    },
    /** How the answer's end is told, and the bytes after its last whole event. */
    getEnd: () => ({ framing, restBytes: splitter.countRest(), eventIds }),
  };
}

/** How the decoding of a stream on one engine ended; `over` if the request itself ended. */
export type DecodeEnd = 'finished' | 'not-run' | 'broken' | 'over';

/** How a run ended. */
export type DecodeRun = {
  readonly end: DecodeEnd;
  readonly result: SendResult;
  /** Whether its engine sent any events. */
  readonly hasEvents: boolean;
  /** Whether its engine sent the head of an answer that can be used. */
  readonly hasHead: boolean;
};

function findDecodeEnd(result: SendResult, isForwarded: boolean, isDisplaced: boolean): DecodeEnd {
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') return 'over';
  if (result.kind === 'slow' || isDisplaced) return 'broken';
  const { outcome } = result;
  if (outcome.kind === 'not-run') return 'not-run';
  return outcome.kind === 'answered' && isForwarded ? 'finished' : 'broken';
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
  const relay = makeEventRelay(state, request, progress, turn, onFirstEvent);
  const sentAt = getSteadyMs();
  const { route } = request;
  const { kvSource } = progress;
  const canContinue = route.isResumable && progress.runs + 1 < route.maxAttempts;
  const placement: SendFields = {
    ...buildResumeFields(progress),
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
  const end = findDecodeEnd(result, relay.isForwarding(), isDisplaced);
  const { framing, restBytes, eventIds } = relay.getEnd();
  if (end === 'finished') relay.finish();
  const { requestId, promptParts } = request.fields;
  const { upstreamId, softwareVersion } = engine;
  const { events, runs, firstEventMs, longestGapMs } = progress;
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
  return { end, result, hasEvents: relay.hasEvents(), hasHead: relay.isForwarding() };
}
