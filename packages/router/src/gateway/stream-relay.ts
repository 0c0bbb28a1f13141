/**
 * Forwards the answer of one run of a stream to its caller, in whole events and in order. What does not follow on the
 * events that the caller has ends the run before it is passed on.
 */

import {
  dropByteOrderMark,
  judgeEvent,
  makeEventIds,
  makeEventSplitter,
  recordEventId,
  type AnswerProgress,
  type Route,
  type StreamPart,
} from '@tarragonspool/core';
import type { AnswerCut, UpstreamId } from '@tarragonspool/protocol';
import { findExcess } from '../http/size-limit.js';
import { dropWholeAnswerHeaders, findMediaType } from '../http/whole-answer-headers.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { AnswerFraming, UpstreamExchange } from '../upstreams/upstream-client.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import type { AnswerHead } from './sender.js';
import { recordSizeCut, type CutReason } from '../intake/size-cuts.js';
import { countEvents, type StreamProgress } from './stream-progress.js';

const HTTP_OK = 200;
const MAX_UNUSED_BYTES = 65_536;
/** A longer event is no event: the engine is in trouble. */
const MAX_EVENT_BYTES = 1_048_576;
const MS_PER_S = 1_000;
/** An engine that has sent events for this long was not crashed by the prompt. */
const SOUND_AFTER_MS = 500;

/** What a run may do whose place another run of its stream may take. */
export type RunTurn = {
  /** Whether the run may write to the answer; asked when its engine is heard, before anything is written. */
  readonly claim: () => boolean;
  /** Whether another run has taken its place. */
  readonly isDisplaced: () => boolean;
  /** Whether the run may be given up; asked again and again while its engine is silent. */
  readonly canGiveUp: () => boolean;
};

/** Whether another run can be asked if a stream has ended. */
export function canAskOtherRuns({ isResumable, maxAttempts }: Route): boolean {
  return isResumable && maxAttempts > 1;
}

/** Records what the events of a run tell of the prompt and of the engine. */
function makeEventRecorder(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  onFirstEvent: () => void,
) {
  let firstEventAt: number | undefined;
  let isKnownSound = false;
  let events = 0;
  let lastEventAt = 0;
  let longestPauseMs = 0;

  function recordSound(): void {
    isKnownSound = true;
    state.partGuard.recordAnswered(request.sharedParts);
  }

  return {
    hasEvents: () => firstEventAt !== undefined,
    recordEvents: (count: number): void => {
      const now = getSteadyMs();
      if (firstEventAt === undefined) {
        firstEventAt = now;
        onFirstEvent();
      } else {
        longestPauseMs = Math.max(longestPauseMs, now - lastEventAt);
      }
      events += count;
      lastEventAt = now;
      const waitedMs = now - request.arrivedAt;
      if (progress.events === 0) state.metrics.firstEventSeconds.observe(waitedMs / MS_PER_S);
      countEvents(progress, count, waitedMs);
      if (!isKnownSound && now >= firstEventAt + SOUND_AFTER_MS) recordSound();
    },
    getAnswerProgress: (): AnswerProgress | undefined => {
      if (firstEventAt === undefined) return undefined;
      return { events, streamedMs: lastEventAt - firstEventAt, longestPauseMs };
    },
    getIdleMs: () => getSteadyMs() - lastEventAt,
    recordEnd: (): void => {
      if (firstEventAt !== undefined && !isKnownSound) recordSound();
    },
  };
}

/** Forwards the answer of one run as it arrives. */
export function makeEventRelay(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  run: {
    readonly upstreamId: UpstreamId;
    readonly turn: RunTurn;
    readonly onFirstEvent: () => void;
    /** Called when an answer begins that only its connection will end, and that no other run can go on with. */
    readonly onClosing: () => void;
  },
) {
  const { upstreamId, turn, onFirstEvent, onClosing } = run;
  const { reply, route } = request;
  const splitter = makeEventSplitter(state.ports.dialect.decodeWeightVersion);
  const recorder = makeEventRecorder(state, request, progress, onFirstEvent);
  const eventIds = makeEventIds(progress.place.lastId);
  const isContinued = reply.getState() === 'begun';
  let isForwarding = false;
  let isUsable = false;
  let hasOtherWeights = false;
  let isFirstPart = true;
  /** Only an event with a number shows where the run goes on. */
  let numberedEvents = 0;
  let unusedBytes = 0;
  let abort = (): void => undefined;
  let isCut = false;
  let framing: AnswerFraming | undefined;

  /** Ends the run: of its present event, or of all that this VM holds, there is too much. */
  function cut(reason: CutReason): void {
    isCut = true;
    const { requestId } = request.fields;
    const bytes = splitter.rest.countBytes();
    recordSizeCut(state, { part: 'event', reason, bytes, requestId, upstreamId });
    splitter.takeRest();
    abort();
  }

  const held = state.heldBytes.begin('event', () => cut('memory'));

  function write(bytes: Buffer, exchange: UpstreamExchange | undefined): void {
    if (bytes.length === 0 || reply.write(bytes) || exchange === undefined) return;
    // Servers cut off answers that stay unread for some seconds, so answers are read ahead of slow callers.
    if (state.heldBytes.hasRoomToReadAhead()) return;
    exchange.pause();
    reply.onDrain(() => exchange.resume());
  }

  /** Whether an answer may go on with what has begun: one of another media type is no part of it. */
  function canFollow({ rawHeaders }: AnswerHead): boolean {
    return reply.getState() === 'open' || findMediaType(rawHeaders) === progress.mediaType;
  }

  /**
   * Whether an engine has other weights than those of the answer that has begun: by the version that its head names, or
   * by its refusal, if that names none.
   */
  function isOfOtherWeights({ weightVersion, isUnexpected }: AnswerHead): boolean {
    if (progress.weightVersion === undefined) return false;
    return weightVersion === undefined ? isUnexpected : weightVersion !== progress.weightVersion;
  }

  function begin({ status, rawHeaders, weightVersion }: AnswerHead): void {
    progress.mediaType = findMediaType(rawHeaders);
    progress.weightVersion = weightVersion;
    const headers = state.ports.dialect.makeAnswerHeaders(rawHeaders);
    // Another engine may go on with the answer of a route that can be resumed.
    const kept = route.isResumable ? dropWholeAnswerHeaders(headers) : headers;
    reply.begin(status, kept);
  }

  /** Judges parts one after the other; returns those that may be passed on, and why the next one may not. */
  function takeParts(parts: readonly StreamPart[]): {
    bytes: Buffer;
    count: number;
    fault?: string;
  } {
    const taken: Buffer[] = [];
    let count = 0;
    for (const part of parts) {
      if (part.kind === 'event') {
        recordEventId(eventIds, part.id);
        const verdict = judgeEvent(progress.place, part.id, numberedEvents === 0);
        if (verdict.kind === 'out-of-order') {
          return { bytes: Buffer.concat(taken), count, fault: verdict.fault };
        }
        progress.place = verdict.place;
        progress.weightVersion = part.weightVersion ?? progress.weightVersion;
        if (part.id.kind === 'number') numberedEvents += 1;
        count += 1;
      }
      // In the middle of an answer a byte order mark would be a part of the next line.
      taken.push(isFirstPart && isContinued ? dropByteOrderMark(part.bytes) : part.bytes);
      isFirstPart = false;
    }
    return { bytes: Buffer.concat(taken), count };
  }

  /** Passes on the parts that follow; returns whether there was an event, and why the next part does not follow. */
  function writeParts(
    parts: readonly StreamPart[],
    exchange?: UpstreamExchange,
  ): { hasEvents: boolean; fault: string | undefined } {
    const { bytes, count, fault } = takeParts(parts);
    if (count > 0) {
      turn.claim();
      recorder.recordEvents(count);
    }
    write(bytes, exchange);
    return { hasEvents: count > 0, fault };
  }

  /** How the answer ended, as far as its events tell. */
  function describeEnd(): AnswerCut {
    const { events = 0, streamedMs = 0 } = recorder.getAnswerProgress() ?? {};
    const pauseMs = events > 1 ? streamedMs / (events - 1) : undefined;
    return { isBroken: false, idleMs: recorder.getIdleMs(), pauseMs };
  }

  return {
    onHead: (head: AnswerHead): void => {
      framing = head.framing;
      isUsable = head.status === HTTP_OK && head.isSigned && !head.isNotRun;
      hasOtherWeights = (isUsable || head.isUnexpected) && isOfOtherWeights(head);
      isForwarding = isUsable && !hasOtherWeights && canFollow(head) && turn.claim();
      if (!isForwarding) return;
      progress.runs += 1;
      progress.kvSource = undefined;
      if (framing === 'connection' && !canAskOtherRuns(route)) onClosing();
      if (reply.getState() === 'open') begin(head);
    },
    onData: (chunk: Buffer, exchange: UpstreamExchange): boolean => {
      if (turn.isDisplaced()) return false;
      // The body of a refusal is not used; it may be without end.
      if (!isForwarding) {
        // Its engine would work on for nobody.
        if (isUsable && hasOtherWeights) exchange.abort('weights of another version');
        unusedBytes += chunk.length;
        if (unusedBytes > MAX_UNUSED_BYTES) exchange.abort('answer too large');
        return false;
      }
      abort = (): void => exchange.abort('event too large');
      const { hasEvents, fault } = writeParts(splitter.split(chunk), exchange);
      const excess = findExcess(splitter.rest, MAX_EVENT_BYTES);
      if (fault !== undefined) exchange.abort(fault);
      else if (excess !== undefined) cut(excess);
      else held.update(splitter.rest.countBytes());
      return hasEvents;
    },
    /** Takes the end of an answer that its framing says is whole; returns why it is not. */
    findCut: (): string | undefined => {
      if (!isForwarding || turn.isDisplaced()) return undefined;
      // Its end may have come before it was given up.
      if (isCut) return 'event too large';
      if (splitter.isInsideEvent()) return 'answer ended inside an event';
      const { fault } = writeParts(splitter.takeRest());
      if (fault !== undefined) return fault;
      // The head of a resumed answer may be all that the caller still lacks.
      const lacksEvents = !recorder.hasEvents() && progress.place.lastId === undefined;
      return lacksEvents && framing === 'connection' ? 'answer ended before an event' : undefined;
    },
    /** Ends the caller's answer. */
    finish: (): void => {
      recorder.recordEnd();
      reply.end();
    },
    isForwarding: () => isForwarding,
    /** Whether the run was not joined, or refused, as its engine has other weights, which is no fault of that engine. */
    hasOtherWeights: () => hasOtherWeights,
    /** Whether this engine has sent events. */
    hasEvents: recorder.hasEvents,
    /** Number and times of the events of this engine; undefined before the first. */
    getAnswerProgress: recorder.getAnswerProgress,
    /**
     * Whether the end of a whole answer is the end of its stream. A connection that is closed may as well be that of
     * an engine that died.
     */
    isEndKnown: (): boolean => framing !== 'connection',
    describeEnd,
    /** Whether as many events have come as the request allows tokens. */
    hasAllTokens: (): boolean => {
      const { maxOutputTokens = Infinity } = request.fields;
      return numberedEvents > 0 && numberedEvents >= maxOutputTokens;
    },
    /** How the answer's end is told, and the bytes after its last whole event. */
    getEnd: () => ({ framing, restBytes: splitter.rest.countBytes(), eventIds }),
    /** Holds nothing any more. */
    close: (): void => {
      held.end();
      splitter.takeRest();
    },
  };
}
