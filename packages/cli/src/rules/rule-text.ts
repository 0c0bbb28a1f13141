/** Reads rule files and the heading that says which revision a file was made from. */

import { readFile } from 'node:fs/promises';
import { parseRuleFile, type Rule, type RuleSyntaxError } from '@tarragonspool/core';

const HEADING_PATTERN = /^# tarragonspool revision (\d{1,15})\r?\n/;

/** A rule file as operators edit it. */
export type RuleText = {
  /** Revision that the file was made from, where its heading names one. */
  readonly baseRevision: number | undefined;
  /** The file without the heading. */
  readonly text: string;
  /** Lines that the heading takes up, for line numbers. */
  readonly headingLines: number;
};

/** Result of reading a rule file. */
export type RuleFileResult =
  | { readonly kind: 'rules'; readonly file: RuleText; readonly rules: readonly Rule[] }
  | { readonly kind: 'errors'; readonly errors: readonly RuleSyntaxError[] }
  | { readonly kind: 'unreadable'; readonly detail: string };

/** Adds the heading that names the revision. */
export function renderRuleText(revision: number, text: string): string {
  return `# tarragonspool revision ${revision}\n${text}`;
}

/** Takes the heading off. */
export function parseRuleText(content: string): RuleText {
  const match = HEADING_PATTERN.exec(content);
  if (match === null) return { baseRevision: undefined, text: content, headingLines: 0 };
  const text = content.slice(match[0].length);
  return { baseRevision: Number(match[1]), text, headingLines: 1 };
}

/** Reads and checks a rule file; line numbers are those of the file. */
export async function readRuleFile(path: string): Promise<RuleFileResult> {
  let content: string;
  try {
    content = await readFile(path, 'utf8');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return { kind: 'unreadable', detail: code ?? String(error) };
  }
  const file = parseRuleText(content);
  const parsed = parseRuleFile(file.text);
  if (parsed.kind === 'rules') return { kind: 'rules', file, rules: parsed.rules };
  const errors = parsed.errors.map((error) => ({
    ...error,
    line: error.line + file.headingLines,
  }));
  return { kind: 'errors', errors };
}
