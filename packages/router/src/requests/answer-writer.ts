/** Writes a model's answer to its caller; no other module does. */

import type { ServerResponse } from 'node:http';
import type { Refusal, RequestId } from '@tarragonspool/protocol';
import { buildProblem, sendRefusal } from '../http/refusals.js';

/** Writer of one answer, streamed or whole. */
export type AnswerWriter = {
  /**
   * Writes one token; false if too much of the answer is buffered because the caller reads slowly.
   */
  writeToken(text: string): boolean;
  finish(finishReason: 'stop' | 'length', tokens: number): void;
  fail(refusal: Refusal): void;
};

/** Metadata of an answer. */
export type AnswerMetadata = {
  readonly requestId: RequestId;
  readonly modelText: string;
  readonly promptTokens: number;
  readonly isStreamed: boolean;
  /** Milliseconds since the epoch. */
  readonly arrivedAt: number;
};

const MAX_UNSENT_BYTES = 1_048_576;
const MS_PER_SECOND = 1_000;

function buildUsage(promptTokens: number, tokens: number) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
  };
}

function makeStreamedWriter(response: ServerResponse, metadata: AnswerMetadata): AnswerWriter {
  const common = {
    id: `chatcmpl-${metadata.requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(metadata.arrivedAt / MS_PER_SECOND),
    model: metadata.modelText,
  };
  const prefix = JSON.stringify(common).slice(0, -1);

  function renderChunk(delta: string, finishReason: string): string {
    return `data: ${prefix},"choices":[{"index":0,"delta":${delta},"finish_reason":${finishReason}}]}\n\n`;
  }

  /**
   * Renders the first chunk together with the first token, so that each write is one system call.
   */
  function renderHead(): string {
    if (response.headersSent) return '';
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
    return renderChunk('{"role":"assistant","content":""}', 'null');
  }

  return {
    writeToken(text) {
      response.write(renderHead() + renderChunk(`{"content":${JSON.stringify(text)}}`, 'null'));
      return response.writableLength <= MAX_UNSENT_BYTES;
    },
    finish(finishReason, tokens) {
      const head = renderHead();
      const last = renderChunk('{}', JSON.stringify(finishReason));
      const usage = buildUsage(metadata.promptTokens, tokens);
      const total = `data: ${JSON.stringify({ ...common, choices: [], usage })}\n\n`;
      response.end(`${head}${last}${total}data: [DONE]\n\n`);
    },
    fail(refusal) {
      if (!response.headersSent) {
        sendRefusal(response, refusal, Date.now(), metadata.requestId);
        return;
      }
      const error = buildProblem(refusal, metadata.requestId);
      response.end(`data: ${JSON.stringify({ error })}\n\n`);
    },
  };
}

function makeWholeWriter(response: ServerResponse, metadata: AnswerMetadata): AnswerWriter {
  const texts: string[] = [];
  return {
    writeToken(text) {
      texts.push(text);
      return true;
    },
    finish(finishReason, tokens) {
      const message = { role: 'assistant', content: texts.join('') };
      const body = JSON.stringify({
        id: `chatcmpl-${metadata.requestId}`,
        object: 'chat.completion',
        created: Math.floor(metadata.arrivedAt / MS_PER_SECOND),
        model: metadata.modelText,
        choices: [{ index: 0, message, finish_reason: finishReason }],
        usage: buildUsage(metadata.promptTokens, tokens),
      });
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    },
    fail(refusal) {
      sendRefusal(response, refusal, Date.now(), metadata.requestId);
    },
  };
}

/** Makes the writer for one answer. */
export function makeAnswerWriter(response: ServerResponse, metadata: AnswerMetadata): AnswerWriter {
  return metadata.isStreamed
    ? makeStreamedWriter(response, metadata)
    : makeWholeWriter(response, metadata);
}
