/** Runs a stream at a decode engine and passes its events on as they arrive. */

import { makeEventSplitter, type SlotRequestId, type UpstreamRecord } from '@tarragonspool/core';
import { requestPlace } from '../pools/pool-task.js';
import type { Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';
import type { UpstreamExchange } from '../upstreams/upstream-client.js';
import type { GatewayRequest } from './gateway-request.js';
import type { GatewayState } from './gateway-state.js';
import { sendOnce, type AnswerHead, type SendResult } from './sender.js';
import {
  buildResumeFields,
  countEvents,
  readOutcome,
  notifyEngineFailed,
  type SendFields,
  type StreamProgress,
} from './stream-progress.js';

const HEAD_TIMEOUT_MS = 1_500;
const SILENCE_MS = 1_200;
const HTTP_OK = 200;
const MS_PER_S = 1_000;

/** Passes an answer on as it arrives, in whole events where it may be resumed. */
function makeRelay(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  onFirstEvent: () => void,
) {
  const { reply, route } = request;
  let hasEvent = false;
  const splitter = makeEventSplitter();
  let isPassedOn = false;

  function write(bytes: Buffer, exchange: UpstreamExchange): void {
    if (bytes.length === 0 || reply.write(bytes)) return;
    exchange.pause();
    reply.onDrain(() => exchange.resume());
  }

  return {
    onHead: (head: AnswerHead): void => {
      isPassedOn = head.status === HTTP_OK && head.isSigned && !head.isNotRun;
      if (!isPassedOn) return;
      progress.runs += 1;
      progress.kvSource = undefined;
      if (reply.getState() === 'open') {
        reply.begin(head.status, state.ports.dialect.makeAnswerHeaders(head.rawHeaders));
      }
    },
    onData: (chunk: Buffer, exchange: UpstreamExchange): void => {
      if (!isPassedOn) return;
      const { whole, count, lastEventId } = splitter.split(chunk);
      if (count > 0 && !hasEvent) {
        hasEvent = true;
        onFirstEvent();
      }
      if (count > 0) {
        const waitedMs = getSteadyMs() - request.arrivedAt;
        if (progress.events === 0) state.metrics.firstEventSeconds.observe(waitedMs / MS_PER_S);
        countEvents(progress, count, waitedMs);
      }
      progress.lastEventId = lastEventId ?? progress.lastEventId;
      write(route.isResumable ? whole : chunk, exchange);
    },
    finish: (): void => {
      const rest = splitter.takeRest();
      if (route.isResumable && rest.length > 0) reply.write(rest);
      reply.end();
    },
    isPassedOn: () => isPassedOn,
  };
}

/** How a run at a decode engine left the stream. */
export type RunEnd = 'finished' | 'not-run' | 'broken' | 'over';

function judgeRun(result: SendResult, isPassedOn: boolean): RunEnd {
  if (result.kind === 'caller-gone' || result.kind === 'timed-out') return 'over';
  if (result.kind === 'slow') return 'broken';
  const { outcome } = result;
  if (outcome.kind === 'not-run') return 'not-run';
  return outcome.kind === 'answered' && isPassedOn ? 'finished' : 'broken';
}

/** Runs a stream at one engine. */
export function* runDecode(
  state: GatewayState,
  request: GatewayRequest,
  progress: StreamProgress,
  engine: UpstreamRecord,
  askId: SlotRequestId,
): Task<{ end: RunEnd; result: SendResult }> {
  // An engine that reads the prompt itself has read it when its first event comes.
  const onFirstEvent = (): void =>
    requestPlace(state.pools, { kind: 'prefilled', askId }, state.logger);
  const relay = makeRelay(state, request, progress, onFirstEvent);
  const sentAt = getSteadyMs();
  const { route } = request;
  const { kvSource } = progress;
  const mayGoOn = route.isResumable && progress.runs + 1 < route.maxAttempts;
  const placement: SendFields = {
    ...buildResumeFields(progress),
    ...(kvSource === undefined ? {} : { kvSource }),
  };
  const result = yield* sendOnce(state, request, {
    server: engine,
    placement,
    headDueAt: mayGoOn ? sentAt + HEAD_TIMEOUT_MS : request.deadlineAt + 1,
    ...(mayGoOn ? { silenceMs: SILENCE_MS } : {}),
    onSilence: () => notifyEngineFailed(state, request, engine.upstreamId, 'silent'),
    onHead: relay.onHead,
    onData: relay.onData,
  });
  const end = judgeRun(result, relay.isPassedOn());
  if (end === 'finished') relay.finish();
  const { requestId } = request.fields;
  const { upstreamId } = engine;
  const { events, runs, firstEventMs, longestGapMs } = progress;
  const tookMs = getSteadyMs() - sentAt;
  state.logger.info(
    {
      requestId,
      upstreamId,
      end,
      outcome: readOutcome(result),
      events,
      runs,
      tookMs,
      firstEventMs,
      longestGapMs,
    },
    'streams: run ended',
  );
  state.metrics.sends.inc({ step: 'decode', outcome: end });
  return { end, result };
}
