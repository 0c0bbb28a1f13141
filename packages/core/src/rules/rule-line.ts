/** Parses one line of the operators' rule file. */

import type { CallerId, ServiceName, UpstreamId } from '@tarragonspool/protocol';
import { parseKeyDigest, type KeyDigest } from '../tenants/index.js';

/** Approves an API key, given as its SHA-256 digest in hexadecimal. */
export type CallerRule = {
  readonly kind: 'caller';
  readonly callerId: CallerId;
  readonly keyDigest: KeyDigest;
  readonly askedBy: string;
};

/** Allows a caller to use an upstream service, or one of its models. */
export type AllowRule = {
  readonly kind: 'allow';
  readonly callerId: CallerId;
  readonly service: ServiceName;
  /** 0 to 9; requests of greater priority are served first. */
  readonly priority: number;
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
  /** Latency targets for requests that set none themselves, in milliseconds from arrival. */
  readonly firstTokenMs?: number;
  readonly answerMs?: number;
  /** Whether every call under this rule runs at most once. */
  readonly isOnce: boolean;
  readonly askedBy: string;
};

/** Keeps new work away from one upstream. */
export type DrainRule = {
  readonly kind: 'drain';
  readonly upstreamId: UpstreamId;
  readonly askedBy: string;
};

/** One line of the rule file. */
export type Rule = CallerRule | AllowRule | DrainRule;

/** Result of parsing one line; `blank` is an empty line or one with only a comment. */
export type ParsedRuleLine =
  | { readonly kind: 'rule'; readonly rule: Rule }
  | { readonly kind: 'error'; readonly found: string; readonly expected: string }
  | { readonly kind: 'blank' };

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;
const MAX_TARGET_MS = 3_600_000;
const MAX_LINE_LENGTH = 1_024;

function makeError(found: string, expected: string): ParsedRuleLine {
  return { kind: 'error', found, expected };
}

function parseNumber(text: string, min: number, max: number): number | undefined {
  if (!/^\d{1,9}$/.test(text)) return undefined;
  const value = Number(text);
  return value >= min && value <= max ? value : undefined;
}

function parseCallerRule(words: readonly string[], askedBy: string): ParsedRuleLine {
  const [callerId, key, ...rest] = words;
  if (callerId === undefined || !NAME_PATTERN.test(callerId)) {
    return makeError(callerId ?? '', 'a caller name after "caller"');
  }
  const text = key?.startsWith('key-sha256=') ? key.slice('key-sha256='.length) : undefined;
  const digest = text === undefined ? undefined : parseKeyDigest(text);
  if (digest === undefined) {
    return makeError(key ?? '', 'key-sha256= with 64 lower-case hexadecimal digits');
  }
  if (rest.length > 0) return makeError(rest[0] ?? '', 'only a comment "# who asked"');
  const rule: Rule = {
    kind: 'caller',
    callerId: callerId as CallerId,
    keyDigest: digest,
    askedBy,
  };
  return { kind: 'rule', rule };
}

type AllowOptions = {
  priority?: number;
  model?: string;
  adapter?: string;
  version?: string;
  firstTokenMs?: number;
  answerMs?: number;
  isOnce?: boolean;
};

/** Parses and sets a numeric option. Returns what was expected if the text is wrong. */
function setNumberOption(
  options: AllowOptions,
  key: 'priority' | 'firstTokenMs' | 'answerMs',
  text: string,
): string | undefined {
  const min = key === 'priority' ? 0 : 1;
  const max = key === 'priority' ? MAX_PRIORITY : MAX_TARGET_MS;
  const value = parseNumber(text, min, max);
  if (value === undefined) return `a whole number from ${min} to ${max}`;
  options[key] = value;
  return undefined;
}

/** Checks and sets a name option. Returns what was expected if the text is wrong. */
function setNameOption(
  options: AllowOptions,
  key: 'model' | 'adapter' | 'version',
  value: string,
): string | undefined {
  if (!NAME_PATTERN.test(value)) return `a ${key} name`;
  options[key] = value;
  return undefined;
}

/** Adds one `name=value` word or `once` to the options. Returns what was expected if it is wrong. */
function setOption(options: AllowOptions, word: string): string | undefined {
  const equalsAt = word.indexOf('=');
  const name = equalsAt < 0 ? word : word.slice(0, equalsAt);
  const value = equalsAt < 0 ? '' : word.slice(equalsAt + 1);
  switch (name) {
    case 'priority':
      if (options.priority !== undefined) return 'each option at most once';
      return setNumberOption(options, 'priority', value);
    case 'first-token-ms':
      if (options.firstTokenMs !== undefined) return 'each option at most once';
      return setNumberOption(options, 'firstTokenMs', value);
    case 'answer-ms':
      if (options.answerMs !== undefined) return 'each option at most once';
      return setNumberOption(options, 'answerMs', value);
    case 'model':
    case 'adapter':
    case 'version':
      if (options[name] !== undefined) return 'each option at most once';
      return setNameOption(options, name, value);
    case 'once':
      if (equalsAt >= 0 || options.isOnce === true) return '"once" with no value, at most once';
      options.isOnce = true;
      return undefined;
    default:
      return 'priority=, model=, adapter=, version=, first-token-ms=, answer-ms= or once';
  }
}

function parseAllowRule(words: readonly string[], askedBy: string): ParsedRuleLine {
  const [callerId, service, ...rest] = words;
  if (callerId === undefined || !NAME_PATTERN.test(callerId)) {
    return makeError(callerId ?? '', 'a caller name after "allow"');
  }
  if (service === undefined || !NAME_PATTERN.test(service)) {
    return makeError(service ?? '', 'an upstream service name after the caller');
  }
  const options: AllowOptions = {};
  for (const word of rest) {
    const expected = setOption(options, word);
    if (expected !== undefined) return makeError(word, expected);
  }
  const rule: Rule = {
    ...options,
    kind: 'allow',
    callerId: callerId as CallerId,
    service: service as ServiceName,
    priority: options.priority ?? DEFAULT_PRIORITY,
    isOnce: options.isOnce ?? false,
    askedBy,
  };
  return { kind: 'rule', rule };
}

function parseDrainRule(words: readonly string[], askedBy: string): ParsedRuleLine {
  const [upstreamId, ...rest] = words;
  if (upstreamId === undefined || !NAME_PATTERN.test(upstreamId)) {
    return makeError(upstreamId ?? '', 'an upstream name after "drain"');
  }
  if (rest.length > 0) return makeError(rest[0] ?? '', 'only a comment "# who asked"');
  return { kind: 'rule', rule: { kind: 'drain', upstreamId: upstreamId as UpstreamId, askedBy } };
}

/** Parses one line. Everything after the first `#` is the comment. */
export function parseRuleLine(text: string): ParsedRuleLine {
  if (text.length > MAX_LINE_LENGTH) {
    return makeError(`${text.length} characters`, `at most ${MAX_LINE_LENGTH} characters`);
  }
  const commentAt = text.indexOf('#');
  const body = (commentAt < 0 ? text : text.slice(0, commentAt)).trim();
  if (body === '') return { kind: 'blank' };
  const askedBy = commentAt < 0 ? '' : text.slice(commentAt + 1).trim();
  if (askedBy === '') return makeError(body, 'a comment "# who asked" at the end of the line');
  const [keyword, ...words] = body.split(/\s+/);
  if (keyword === 'caller') return parseCallerRule(words, askedBy);
  if (keyword === 'allow') return parseAllowRule(words, askedBy);
  if (keyword === 'drain') return parseDrainRule(words, askedBy);
  return makeError(keyword ?? '', '"caller", "allow" or "drain"');
}
