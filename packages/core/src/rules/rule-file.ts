/** Parses the operators' rule file: one rule a line, with a comment that names who asked for it. */

import type { CallerId } from '@tarragonspool/protocol';
import { parseRuleLine, type ParsedRuleLine, type Rule } from './rule-line.js';

/** Syntax error in one line: its number from 1, the text found and the text expected there. */
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

/** Splits a file into lines; a line break at the end does not add an empty line. */
export function splitRuleFile(text: string): string[] {
  const lines = text.split(/\r?\n/);
  if (lines.at(-1) === '') lines.pop();
  return lines;
}

/**
 * Collects the rules of parsed lines, or every error with its line number. A key assigned to two
 * callers is an error.
 */
export function collectRules(parsed: readonly ParsedRuleLine[]): ParsedRuleFile {
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
      errors.push({
        line,
        found: rule.keyDigest,
        expected: `a key that caller ${owner} does not use`,
      });
    }
    owners.set(rule.keyDigest, rule.callerId);
  }
  return errors.length > 0 ? { kind: 'errors', errors } : { kind: 'rules', rules };
}

/** Parses a whole rule file. A file with any bad line yields only errors. */
export function parseRuleFile(text: string): ParsedRuleFile {
  if (text.length > MAX_RULE_FILE_CHARACTERS) {
    const expected = `a file of at most ${MAX_RULE_FILE_CHARACTERS} characters`;
    return { kind: 'errors', errors: [{ line: 1, found: `${text.length} characters`, expected }] };
  }
  return collectRules(splitRuleFile(text).map(parseRuleLine));
}
