/** Open-loop client: sends each request at its time, measures its stream and checks its answer. */

import { Agent, request, type IncomingMessage } from 'node:http';
import { estimateTokens } from '@tarragonspool/core';
import { makeAnswerText } from '../engine/token-text.js';
import {
  FIRST_TOKEN_MS,
  getAnswerTargetMs,
  renderArrivalPrompt,
  type Arrival,
} from './workload.js';

/** How a request ended, as its client saw it. Times count from the scheduled arrival. */
export type Outcome = {
  readonly arrival: Arrival;
  readonly requestId: string;
  /** Entry VM that the request went to, and when, in milliseconds since the epoch. */
  readonly url: string;
  readonly sentAt: number;
  readonly kind: 'answered' | 'refused' | 'failed' | 'cancelled';
  /** Result code of a refusal or of a failure that carries one. */
  readonly code: number | undefined;
  readonly ran: string | undefined;
  readonly detail: string;
  readonly firstTokenMs: number | undefined;
  readonly endMs: number;
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  /** Whether the text, whole or broken off, begins the right answer. */
  readonly isTextRight: boolean;
};

/** What the client needs to know of a run. */
export type LoadOptions = {
  readonly callerUrls: readonly string[];
  readonly model: string;
  /** Begins the id of every request. */
  readonly idPrefix: string;
  readonly isKeepAlive?: boolean;
};

/** Longest wait for an answer; a failure counts with this time. */
export const CLIENT_TIMEOUT_MS = 8_000;

type Progress = {
  texts: string[];
  firstTokenAt: number | undefined;
  lastTokenAt: number;
  gapsMs: number[];
  isDone: boolean;
  problem: { code?: number; ran?: string; detail?: string } | undefined;
};

type Chunk = {
  choices?: readonly { delta?: { content?: string } }[];
  error?: { code: number; ran: string; detail: string };
};

function handleLine(progress: Progress, line: string): void {
  if (!line.startsWith('data: ')) return;
  if (line === 'data: [DONE]') {
    progress.isDone = true;
    return;
  }
  const chunk = JSON.parse(line.slice('data: '.length)) as Chunk;
  if (chunk.error !== undefined) progress.problem = chunk.error;
  const text = chunk.choices?.[0]?.delta?.content ?? '';
  if (text === '') return;
  const now = performance.now();
  if (progress.firstTokenAt === undefined) progress.firstTokenAt = now;
  else progress.gapsMs.push(now - progress.lastTokenAt);
  progress.lastTokenAt = now;
  progress.texts.push(text);
}

function readStream(incoming: IncomingMessage, progress: Progress, onEnd: () => void): void {
  let rest = '';
  incoming.setEncoding('utf8');
  incoming.on('data', (data: string) => {
    const lines = (rest + data).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) handleLine(progress, line);
  });
  incoming.on('end', () => {
    if (incoming.statusCode !== 200) progress.problem = JSON.parse(rest) as Progress['problem'];
    onEnd();
  });
}

function findKind(
  arrival: Arrival,
  progress: Progress,
  status: number | undefined,
): Pick<Outcome, 'kind' | 'detail'> {
  const { problem, isDone, texts } = progress;
  if (problem !== undefined) {
    const isRefused = status !== undefined && status !== 200 && problem.ran === 'not-run';
    return { kind: isRefused ? 'refused' : 'failed', detail: problem.detail ?? '' };
  }
  if (!isDone) return { kind: 'failed', detail: 'the connection closed' };
  const isRight =
    texts.join('') === makeAnswerText(renderArrivalPrompt(arrival), arrival.maxTokens);
  return isRight
    ? { kind: 'answered', detail: '' }
    : { kind: 'failed', detail: 'the answer is not that of the prompt' };
}

/** Sends one request now; `startedAt` is the run's start by `performance.now()`. */
export function sendArrival(
  options: LoadOptions,
  arrival: Arrival,
  startedAt: number,
  agent: Agent,
): Promise<Outcome> {
  const scheduledAt = startedAt + arrival.at;
  const sentAt = Date.now();
  const requestId = `${options.idPrefix}-${arrival.number}`;
  const url = options.callerUrls[arrival.vmIndex % options.callerUrls.length] ?? '';
  const progress: Progress = {
    texts: [],
    firstTokenAt: undefined,
    lastTokenAt: 0,
    gapsMs: [],
    isDone: false,
    problem: undefined,
  };
  return new Promise((resolve) => {
    let status: number | undefined;
    const outgoing = request(`${url}/v1/chat/completions`, {
      method: 'POST',
      agent,
      headers: {
        authorization: `Bearer ${arrival.caller.key}`,
        'content-type': 'application/json',
        'x-request-id': requestId,
        'x-first-token-target-ms': FIRST_TOKEN_MS,
        'x-answer-target-ms': getAnswerTargetMs(arrival),
      },
    });
    const end = (cause?: Pick<Outcome, 'kind' | 'detail'>): void => {
      const { firstTokenAt, gapsMs, texts, problem } = progress;
      const answer = makeAnswerText(renderArrivalPrompt(arrival), arrival.maxTokens);
      resolve({
        arrival,
        requestId,
        url,
        sentAt,
        isTextRight: answer.startsWith(texts.join('')),
        ...(cause ?? findKind(arrival, progress, status)),
        code: problem?.code,
        ran: problem?.ran,
        firstTokenMs: firstTokenAt === undefined ? undefined : firstTokenAt - scheduledAt,
        endMs: performance.now() - scheduledAt,
        gapsMs,
        tokens: texts.length,
      });
    };
    const stop = (cause: Pick<Outcome, 'kind' | 'detail'>): void => {
      end(cause);
      outgoing.destroy();
    };
    const timer = setTimeout(
      () => stop({ kind: 'failed', detail: 'the client timed out' }),
      CLIENT_TIMEOUT_MS,
    );
    const { cancelAt } = arrival;
    const cancelTimer =
      cancelAt === undefined
        ? undefined
        : setTimeout(() => stop({ kind: 'cancelled', detail: '' }), cancelAt - arrival.at);
    outgoing.on('response', (incoming) => {
      status = incoming.statusCode;
      readStream(incoming, progress, end);
      incoming.on('error', (error) => end({ kind: 'failed', detail: error.message }));
    });
    outgoing.on('error', (error) => end({ kind: 'failed', detail: error.message }));
    outgoing.on('close', () => {
      clearTimeout(timer);
      clearTimeout(cancelTimer);
    });
    const { sharedText, ownText, maxTokens } = arrival;
    const messages = [
      { role: 'system', content: sharedText },
      { role: 'user', content: ownText },
    ];
    const body = { model: options.model, messages, max_tokens: maxTokens, stream: true };
    outgoing.end(JSON.stringify(body));
  });
}

/** Sends every arrival at its time and waits for all outcomes. */
export async function runLoad(
  options: LoadOptions,
  arrivals: readonly Arrival[],
): Promise<Outcome[]> {
  const agent = new Agent({ keepAlive: options.isKeepAlive ?? true });
  const startedAt = performance.now();
  const outcomes: Promise<Outcome>[] = [];
  for (const arrival of arrivals) {
    const waitMs = startedAt + arrival.at - performance.now();
    if (waitMs > 0) {
      // eslint-disable-next-line no-await-in-loop -- arrivals follow each other
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    outcomes.push(sendArrival(options, arrival, startedAt, agent));
  }
  const settled = await Promise.all(outcomes);
  agent.destroy();
  return settled;
}

/** Whether both targets were met; requests of clients that hang up do not count. */
export function isGood(outcome: Outcome): boolean {
  const { kind, arrival, firstTokenMs = Infinity, endMs } = outcome;
  const isInTime = firstTokenMs <= FIRST_TOKEN_MS && endMs <= getAnswerTargetMs(arrival);
  return kind === 'answered' && arrival.cancelAt === undefined && isInTime;
}

/** Tokens of a prompt, as the engines count them. */
export function countPromptTokens(arrival: Arrival): number {
  return estimateTokens(renderArrivalPrompt(arrival));
}
