/** Parses the operators' rule file: one rule a line, each with a comment naming who asked. */

import type { CallerId } from '@tarragonspool/protocol';
import { parseRuleLine, type LineResult, type Rule } from './rule-line.js';

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

/** Largest rule file, in characters. */
export const MAX_RULE_FILE_CHARACTERS = 6_000_000;

/** Splits a file into lines; a final line break makes no line of its own. */
export function splitRuleFile(text: string): string[] {
  const lines = text.split(/\r?\n/);
  if (lines.at(-1) === '') lines.pop();
  return lines;
}

/** Collects the rules of parsed lines, or every error with its line number. */
export function collectRules(parsed: readonly LineResult[]): ParsedRuleFile {
  const rules: Rule[] = [];
  const errors: RuleSyntaxError[] = [];
  const owners = new Map<string, CallerId>();
  for (const [index, result] of parsed.entries()) {
    const line = index + 1;
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

/** Parses a whole rule file. A file with one bad line yields errors only. */
export function parseRuleFile(text: string): ParsedRuleFile {
  if (text.length > MAX_RULE_FILE_CHARACTERS) {
    const expected = `a file of at most ${MAX_RULE_FILE_CHARACTERS} characters`;
    return { kind: 'errors', errors: [{ line: 1, found: `${text.length} characters`, expected }] };
  }
  return collectRules(splitRuleFile(text).map(parseRuleLine));
}
