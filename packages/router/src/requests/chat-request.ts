/** Parses chat completion requests and their latency targets. */

import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { estimateTokens, makePrefixHashes, type AllowRule } from '@tarragonspool/core';
import type { Fingerprint, ModelName, ModelTarget, PrefixHash } from '@tarragonspool/protocol';
import * as z from 'zod';

/** A valid chat request. */
export type ChatRequest = {
  readonly modelText: string;
  readonly target: ModelTarget;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly prefixes: readonly PrefixHash[];
  readonly maxTokens: number;
  readonly isStreamed: boolean;
  readonly fingerprint: Fingerprint;
};

/** Result of parsing a chat request. */
export type ParsedChat =
  | { readonly kind: 'chat'; readonly chat: ChatRequest }
  | { readonly kind: 'malformed' }
  | { readonly kind: 'invalid'; readonly detail: string };

/** Deadlines of a request, in milliseconds since the epoch. */
export type ChatDeadlines = {
  readonly firstTokenDeadline: number;
  readonly answerDeadline: number;
};

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS = 32_768;
const DEFAULT_FIRST_TOKEN_MS = 1_100;
const DEFAULT_ANSWER_MS = 30_000;
const MAX_ANSWER_MS = 3_600_000;
const FIRST_TOKEN_HEADER = 'x-first-token-target-ms';
const ANSWER_HEADER = 'x-answer-target-ms';
const TARGET_PATTERN = /^[1-9]\d{0,6}$/;

const partSchema = z.object({ type: z.literal('text'), text: z.string() });
const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(partSchema)]),
});
const chatSchema = z.object({
  model: z.string().min(1).max(256),
  messages: z.array(messageSchema).min(1),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  max_completion_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  stream: z.boolean().nullish(),
});

/** Parses `model[:adapter][@version]`. */
export function parseModelText(text: string): ModelTarget {
  const [nameAndAdapter = '', version] = text.split('@', 2);
  const [model = '', adapter] = nameAndAdapter.split(':', 2);
  return {
    model: model as ModelName,
    ...(adapter === undefined ? {} : { adapter }),
    ...(version === undefined ? {} : { version }),
  };
}

function renderPrompt(messages: z.infer<typeof chatSchema>['messages']): string {
  const lines: string[] = [];
  for (const { role, content } of messages) {
    const text = typeof content === 'string' ? content : content.map((part) => part.text).join('');
    lines.push(`${role}: ${text}`);
  }
  return lines.join('\n');
}

function parseJson(body: Buffer): { readonly value: unknown } | undefined {
  try {
    return { value: JSON.parse(body.toString('utf8')) };
  } catch {
    return undefined;
  }
}

/** Parses the body of a chat completion request. */
export function parseChatRequest(body: Buffer): ParsedChat {
  const json = parseJson(body);
  if (json === undefined) return { kind: 'malformed' };
  const parsed = chatSchema.safeParse(json.value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return { kind: 'invalid', detail: `${issue?.path.join('.')}: ${issue?.message}` };
  }
  const { data } = parsed;
  const prompt = renderPrompt(data.messages);
  const digest = createHash('sha256').update(`${data.model}\n${prompt}`).digest('hex');
  const chat: ChatRequest = {
    modelText: data.model,
    target: parseModelText(data.model),
    prompt,
    promptTokens: estimateTokens(prompt),
    prefixes: makePrefixHashes(prompt),
    maxTokens: data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAX_TOKENS,
    isStreamed: data.stream ?? false,
    fingerprint: digest as Fingerprint,
  };
  return { kind: 'chat', chat };
}

function readTargetMs(headers: IncomingHttpHeaders, name: string): number | undefined {
  const text = headers[name];
  return text === undefined ? undefined : Math.min(Number(text), MAX_ANSWER_MS);
}

/** Returns an error text for the first latency target header that is invalid. */
export function findInvalidTarget(headers: IncomingHttpHeaders): string | undefined {
  for (const name of [FIRST_TOKEN_HEADER, ANSWER_HEADER]) {
    const text = headers[name];
    if (text === undefined) continue;
    const isValid = typeof text === 'string' && TARGET_PATTERN.test(text);
    if (!isValid) return `${name}: expected 1 to 9999999 milliseconds`;
  }
  return undefined;
}

/** Returns the deadlines: from the request's own targets, else the rule's, else the defaults. */
export function findDeadlines(
  headers: IncomingHttpHeaders,
  rule: AllowRule,
  arrivedAt: number,
): ChatDeadlines {
  const firstTokenMs =
    readTargetMs(headers, FIRST_TOKEN_HEADER) ?? rule.firstTokenMs ?? DEFAULT_FIRST_TOKEN_MS;
  const answerMs = readTargetMs(headers, ANSWER_HEADER) ?? rule.answerMs ?? DEFAULT_ANSWER_MS;
  return {
    firstTokenDeadline: arrivedAt + firstTokenMs,
    answerDeadline: arrivedAt + Math.max(answerMs, firstTokenMs),
  };
}
