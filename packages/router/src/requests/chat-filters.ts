/** Filters that check and run chat completion requests. */

import { findRule, type AllowRule } from '@tarragonspool/core';
import { refuse, type Exchange, type Filter, ANSWERED, CONTINUE } from '../callers/exchange.js';
import type { LedgerInbox } from '../claims/claim-ledger.js';
import { KEY_FORMAT, readIdempotencyKey } from '../claims/run-once.js';
import type { RulesView } from '../rules/rules-view.js';
import { findServicesOfModel } from '../upstreams/directory.js';
import { makeAnswerWriter } from './answer-writer.js';
import { runChatOnce } from './chat-once.js';
import {
  findInvalidTarget,
  findDeadlines,
  parseChatRequest,
  type ChatRequest,
} from './chat-request.js';
import { runModelRequest } from './model-request-task.js';
import type { ModelRequest, ModelRequestParts } from './model-request.js';

type ApprovedChat = Pick<ModelRequest, 'chat' | 'service' | 'priority' | 'deadlines'> & {
  readonly rule: AllowRule;
};

/** Dependencies of the chat filters. */
export type ChatParts = ModelRequestParts & { readonly claims: LedgerInbox };

function makeCallerGoneListener(exchange: Exchange): ModelRequest['onCallerGone'] {
  const { response } = exchange;
  return (handler) => {
    response.on('close', () => {
      if (!response.writableFinished) handler();
    });
  };
}

function makeModelRequest(exchange: Exchange, approved: ApprovedChat): ModelRequest | undefined {
  const { callerId, requestId, arrivedAt } = exchange;
  if (callerId === undefined) return undefined;
  const { chat } = approved;
  const writer = makeAnswerWriter(exchange.response, {
    requestId,
    modelText: chat.modelText,
    promptTokens: chat.promptTokens,
    isStreamed: chat.isStreamed,
    arrivedAt,
  });
  const onCallerGone = makeCallerGoneListener(exchange);
  const { trace } = exchange;
  Object.assign(trace, approved.deadlines, {
    callerId,
    service: approved.service,
    model: chat.modelText,
  });
  return { ...approved, requestId, callerId, arrivedAt, writer, onCallerGone, trace };
}

function findApproval(
  parts: ModelRequestParts,
  view: RulesView,
  exchange: Exchange,
  chat: ChatRequest,
): ApprovedChat | 'unknown-model' | 'not-approved' {
  const services = findServicesOfModel(parts.directory, chat.target.model);
  if (services.length === 0) return 'unknown-model';
  for (const service of services) {
    const rule =
      exchange.callerId && findRule(view.ruleSet, exchange.callerId, service, chat.target);
    if (rule === undefined) continue;
    const deadlines = findDeadlines(exchange.incoming.headers, rule, exchange.arrivedAt);
    return { chat, service, priority: rule.priority, deadlines, rule };
  }
  return 'not-approved';
}

/** Makes the filters that run after authentication, in order. */
export function makeChatFilters(
  parts: ChatParts,
  view: RulesView,
  readBody: Filter,
): readonly Filter[] {
  const runChat: Filter = function* runChat(exchange) {
    const invalidTarget = findInvalidTarget(exchange.incoming.headers);
    if (invalidTarget !== undefined) return refuse('invalid-request', invalidTarget);
    const parsed = parseChatRequest(exchange.body ?? Buffer.alloc(0));
    if (parsed.kind === 'malformed') return refuse('malformed-json', 'send a JSON object');
    if (parsed.kind === 'invalid') return refuse('invalid-request', parsed.detail);
    const approved = findApproval(parts, view, exchange, parsed.chat);
    if (approved === 'unknown-model') return refuse(approved, parsed.chat.modelText);
    if (approved === 'not-approved') {
      return refuse(approved, `no rule lets ${exchange.callerId} use ${parsed.chat.modelText}`);
    }
    const request = makeModelRequest(exchange, approved);
    if (request === undefined) return CONTINUE;
    const key = readIdempotencyKey(exchange);
    if (key === 'malformed') return refuse('invalid-request', KEY_FORMAT);
    if (key === undefined && approved.rule.isOnce) {
      return refuse('idempotency-key-required', `the rule for ${approved.service} says once`);
    }
    if (key !== undefined) return yield* runChatOnce(parts, exchange, request, key);
    yield* runModelRequest(parts, request);
    return ANSWERED;
  };
  return [readBody, runChat];
}
