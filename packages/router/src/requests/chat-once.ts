/** Runs a chat request with an idempotency key at most once and records its answer. */

import type { ServerResponse } from 'node:http';
import type { ClaimEnding, IdempotencyKey, Refusal } from '@tarragonspool/protocol';
import { ANSWERED, type Exchange, type FilterVerdict } from '../callers/exchange.js';
import type { LedgerInbox } from '../claims/claim-ledger.js';
import {
  makeAnsweredEnding,
  runOnce,
  type DispatchPermit,
  type OnceResult,
} from '../claims/run-once.js';
import type { Task } from '../tasks/tasks.js';
import { copyAnswer } from './answer-copy.js';
import type { AnswerWriter } from './answer-writer.js';
import { runModelRequest } from './model-request-task.js';
import { findLastDeadline, type ModelRequest, type ModelRequestParts } from './model-request.js';

/** How the answer ended, as reported to its writer. */
type WriterEnd =
  { readonly kind: 'finished' } | { readonly kind: 'failed'; readonly refusal: Refusal };

function makeObservedWriter(writer: AnswerWriter, onEnd: (end: WriterEnd) => void): AnswerWriter {
  return {
    writeToken: (text) => writer.writeToken(text),
    finish(finishReason, tokens) {
      writer.finish(finishReason, tokens);
      onEnd({ kind: 'finished' });
    },
    fail(refusal) {
      writer.fail(refusal);
      onEnd({ kind: 'failed', refusal });
    },
  };
}

function makeEnding(
  end: WriterEnd | undefined,
  response: ServerResponse,
  readCopy: () => Buffer,
): ClaimEnding {
  if (end === undefined) return { kind: 'unknown' };
  if (end.kind === 'failed' && end.refusal.ran === 'not-run') return { kind: 'not-run' };
  if (end.kind === 'failed' && end.refusal.ran === 'unknown') return { kind: 'unknown' };
  const contentType = String(response.getHeader('content-type') ?? 'application/json');
  return makeAnsweredEnding(response.statusCode, contentType, readCopy());
}

/** Claims the key, runs the request without retries and records what was sent to the caller. */
export function runChatOnce(
  parts: ModelRequestParts & { readonly claims: LedgerInbox },
  exchange: Exchange,
  request: ModelRequest,
  key: IdempotencyKey,
): Task<FilterVerdict> {
  const { answerDeadline: dispatchDeadline } = request.deadlines;
  const answerDeadline = findLastDeadline(request);
  function* run(permit: DispatchPermit): Task<OnceResult> {
    let end: WriterEnd | undefined;
    const readCopy = copyAnswer(exchange.response);
    const writer = makeObservedWriter(request.writer, (reportedEnd) => {
      end ??= reportedEnd;
    });
    yield* runModelRequest(parts, { ...request, writer, permit });
    return { ending: makeEnding(end, exchange.response, readCopy), verdict: ANSWERED };
  }
  const call = { key, dispatchDeadline, answerDeadline, run };
  return runOnce(parts.claims, request.callerId, exchange, call);
}
