/** The one place that writes a model's answer to its caller. */

import type { ServerResponse } from 'node:http';
import type { Refusal, RequestId } from '@tarragonspool/protocol';
import { buildProblem, sendRefusal } from '../http/refusals.js';

/** Writes one answer, streamed or whole. */
export type AnswerWriter = {
  /** Writes one token; false once the caller reads too slowly to go on. */
  writeToken(text: string): boolean;
  finish(finishReason: 'stop' | 'length', tokens: number): void;
  fail(refusal: Refusal): void;
};

/** What an answer carries besides its text. */
export type AnswerHeading = {
  readonly requestId: RequestId;
  readonly modelText: string;
  readonly promptTokens: number;
  readonly isStreamed: boolean;
  /** Milliseconds since the epoch. */
  readonly arrivedAt: number;
};

const MAX_UNREAD_BYTES = 1_048_576;
const MS_PER_SECOND = 1_000;

function buildUsage(promptTokens: number, tokens: number) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}

function makeStreamedWriter(response: ServerResponse, heading: AnswerHeading): AnswerWriter {
  const common = {
    id: `chatcmpl-${heading.requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(heading.arrivedAt / MS_PER_SECOND),
    model: heading.modelText,
  };
  const prefix = JSON.stringify(common).slice(0, -1);

  function renderChunk(delta: string, finishReason: string): string {
    return `data: ${prefix},"choices":[{"index":0,"delta":${delta},"finish_reason":${finishReason}}]}\n\n`;
  }

  /** Starts the answer with its first write; each write is one system call. */
  function renderHead(): string {
    if (response.headersSent) return '';
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
    return renderChunk('{"role":"assistant","content":""}', 'null');
  }

  return {
    writeToken(text) {
      response.write(renderHead() + renderChunk(`{"content":${JSON.stringify(text)}}`, 'null'));
      return response.writableLength <= MAX_UNREAD_BYTES;
    },
    finish(finishReason, tokens) {
      const head = renderHead();
      const last = renderChunk('{}', JSON.stringify(finishReason));
      const usage = buildUsage(heading.promptTokens, tokens);
      const total = `data: ${JSON.stringify({ ...common, choices: [], usage })}\n\n`;
      response.end(`${head}${last}${total}data: [DONE]\n\n`);
    },
    fail(refusal) {
      if (!response.headersSent) {
        sendRefusal(response, refusal, Date.now(), heading.requestId);
        return;
      }
      const error = buildProblem(refusal, heading.requestId);
      response.end(`data: ${JSON.stringify({ error })}\n\n`);
    },
  };
}

function makeWholeWriter(response: ServerResponse, heading: AnswerHeading): AnswerWriter {
  const texts: string[] = [];
  return {
    writeToken(text) {
      texts.push(text);
      return true;
    },
    finish(finishReason, tokens) {
      const message = { role: 'assistant', content: texts.join('') };
      const body = JSON.stringify({
        id: `chatcmpl-${heading.requestId}`,
        object: 'chat.completion',
        created: Math.floor(heading.arrivedAt / MS_PER_SECOND),
        model: heading.modelText,
        choices: [{ index: 0, message, finish_reason: finishReason }],
        usage: buildUsage(heading.promptTokens, tokens),
      });
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    },
    fail(refusal) {
      sendRefusal(response, refusal, Date.now(), heading.requestId);
    },
  };
}

/** Makes the writer for one answer. */
export function makeAnswerWriter(response: ServerResponse, heading: AnswerHeading): AnswerWriter {
  return heading.isStreamed
    ? makeStreamedWriter(response, heading)
    : makeWholeWriter(response, heading);
}
