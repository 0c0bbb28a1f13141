/** Parses the operators' rule file: one rule a line, each with a comment naming who asked. */

import type { CallerId, ServiceName, UpstreamId } from '@tarragonspool/protocol';

/** Approves an API key, given as its SHA-256 digest in hexadecimal. */
export type CallerRule = {
  readonly kind: 'caller';
  readonly callerId: CallerId;
  readonly keyDigest: string;
  readonly askedBy: string;
  readonly line: number;
};

/** Lets a caller reach an upstream service. */
export type AllowRule = {
  readonly kind: 'allow';
  readonly callerId: CallerId;
  readonly service: ServiceName;
  /** 0 to 9, greater first. */
  readonly priority: number;
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
  /** Default targets for requests that name none, in milliseconds from arrival. */
  readonly firstTokenMs?: number;
  readonly answerMs?: number;
  /** Whether every call under this rule runs at most once. */
  readonly isOnce: boolean;
  readonly askedBy: string;
  readonly line: number;
};

/** Gives an upstream no new work. */
export type DrainRule = {
  readonly kind: 'drain';
  readonly upstreamId: UpstreamId;
  readonly askedBy: string;
  readonly line: number;
};

/** One line of the rule file. */
export type Rule = CallerRule | AllowRule | DrainRule;

/** A line that was refused, with what was expected. */
export type RuleSyntaxError = {
  readonly line: number;
  readonly found: string;
  readonly expected: string;
};

/** Result of parsing a whole file: every rule, or every error. */
export type ParsedRuleFile =
  | { readonly kind: 'rules'; readonly rules: readonly Rule[] }
  | { readonly kind: 'errors'; readonly errors: readonly RuleSyntaxError[] };

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const DEFAULT_PRIORITY = 5;
const MAX_PRIORITY = 9;
const MAX_TARGET_MS = 3_600_000;
const MAX_LINE_LENGTH = 1_024;

type LineResult =
  | { readonly kind: 'rule'; readonly rule: Rule }
  | { readonly kind: 'error'; readonly found: string; readonly expected: string }
  | { readonly kind: 'blank' };

function makeError(found: string, expected: string): LineResult {
  return { kind: 'error', found, expected };
}

function parseNumber(text: string, min: number, max: number): number | undefined {
  if (!/^\d{1,9}$/.test(text)) return undefined;
  const value = Number(text);
  return value >= min && value <= max ? value : undefined;
}

function parseCallerRule(words: readonly string[], askedBy: string, line: number): LineResult {
  const [callerId, key, ...rest] = words;
  if (callerId === undefined || !NAME_PATTERN.test(callerId)) {
    return makeError(callerId ?? '', 'a caller name after "caller"');
  }
  const digest = key?.startsWith('key-sha256=') ? key.slice('key-sha256='.length) : undefined;
  if (digest === undefined || !DIGEST_PATTERN.test(digest)) {
    return makeError(key ?? '', 'key-sha256= with 64 lower-case hexadecimal digits');
  }
  if (rest.length > 0) return makeError(rest[0] ?? '', 'a comment "# who asked" next');
  const rule: Rule = {
    kind: 'caller',
    callerId: callerId as CallerId,
    keyDigest: digest,
    askedBy,
    line,
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

function setNameOption(
  options: AllowOptions,
  key: 'model' | 'adapter' | 'version',
  text: string,
): string | undefined {
  if (!NAME_PATTERN.test(text)) return `a ${key} name`;
  options[key] = text;
  return undefined;
}

/** Adds one `name=value` word to the options; returns what was expected if it is wrong. */
function setOption(options: AllowOptions, word: string): string | undefined {
  const split = word.indexOf('=');
  const name = split < 0 ? word : word.slice(0, split);
  const text = split < 0 ? '' : word.slice(split + 1);
  switch (name) {
    case 'priority':
      if (options.priority !== undefined) return 'each option once';
      return setNumberOption(options, 'priority', text);
    case 'first-token-ms':
      if (options.firstTokenMs !== undefined) return 'each option once';
      return setNumberOption(options, 'firstTokenMs', text);
    case 'answer-ms':
      if (options.answerMs !== undefined) return 'each option once';
      return setNumberOption(options, 'answerMs', text);
    case 'model':
    case 'adapter':
    case 'version':
      if (options[name] !== undefined) return 'each option once';
      return setNameOption(options, name, text);
    case 'once':
      if (split >= 0 || options.isOnce === true) return '"once" alone and once';
      options.isOnce = true;
      return undefined;
    default:
      return 'priority=, model=, adapter=, version=, first-token-ms=, answer-ms= or once';
  }
}

function parseAllowRule(words: readonly string[], askedBy: string, line: number): LineResult {
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
    line,
  };
  return { kind: 'rule', rule };
}

function parseDrainRule(words: readonly string[], askedBy: string, line: number): LineResult {
  const [upstreamId, ...rest] = words;
  if (upstreamId === undefined || !NAME_PATTERN.test(upstreamId)) {
    return makeError(upstreamId ?? '', 'the name of an engine or server after "drain"');
  }
  if (rest.length > 0) return makeError(rest[0] ?? '', 'a comment "# who asked" next');
  const rule: Rule = { kind: 'drain', upstreamId: upstreamId as UpstreamId, askedBy, line };
  return { kind: 'rule', rule };
}

function parseLine(text: string, line: number): LineResult {
  if (text.length > MAX_LINE_LENGTH) {
    return makeError(`${text.length} characters`, `at most ${MAX_LINE_LENGTH} characters`);
  }
  const hash = text.indexOf('#');
  const body = (hash < 0 ? text : text.slice(0, hash)).trim();
  if (body === '') return { kind: 'blank' };
  const askedBy = hash < 0 ? '' : text.slice(hash + 1).trim();
  if (askedBy === '') return makeError(body, 'a comment "# who asked" at the end of the line');
  const [keyword, ...words] = body.split(/\s+/);
  if (keyword === 'caller') return parseCallerRule(words, askedBy, line);
  if (keyword === 'allow') return parseAllowRule(words, askedBy, line);
  if (keyword === 'drain') return parseDrainRule(words, askedBy, line);
  return makeError(keyword ?? '', '"caller", "allow" or "drain"');
}

/** Parses a whole rule file. A file with one bad line yields errors only. */
export function parseRuleFile(text: string): ParsedRuleFile {
  const rules: Rule[] = [];
  const errors: RuleSyntaxError[] = [];
  const owners = new Map<string, CallerId>();
  for (const [index, lineText] of text.split(/\r?\n/).entries()) {
    const line = index + 1;
    const result = parseLine(lineText, line);
    if (result.kind === 'error') {
      errors.push({ line, found: result.found, expected: result.expected });
    }
    if (result.kind !== 'rule') continue;
    const { rule } = result;
    rules.push(rule);
    if (rule.kind !== 'caller') continue;
    const owner = owners.get(rule.keyDigest);
    if (owner !== undefined && owner !== rule.callerId) {
      errors.push({ line, found: rule.keyDigest, expected: `a key that ${owner} does not use` });
    }
    owners.set(rule.keyDigest, rule.callerId);
  }
  return errors.length > 0 ? { kind: 'errors', errors } : { kind: 'rules', rules };
}
