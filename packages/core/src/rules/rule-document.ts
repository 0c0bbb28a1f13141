/** One revision of the rule file with its index. Applies deltas that lead to the next revision. */

import xxhash from 'xxhash-wasm';
import type { RuleDelta, RuleRevision } from '@tarragonspool/protocol';
import { applyHunks } from './line-diff.js';
import { collectRules, splitRuleFile, type RuleSyntaxError } from './rule-file.js';
import { parseRuleLine, type ParsedRuleLine } from './rule-line.js';
import { buildRuleSet, type RuleSet } from './rule-set.js';

/** One line with its parse result, so that a delta parses only the lines that it adds. */
export type DocumentLine = { readonly text: string; readonly result: ParsedRuleLine };

/** One revision of the rule file, parsed and indexed. */
export type RuleDocument = {
  readonly revision: RuleRevision;
  readonly checksum: string;
  readonly lines: readonly DocumentLine[];
  readonly ruleSet: RuleSet;
};

/** Result of building a document: the document, or every syntax error. */
export type BuiltDocument =
  | { readonly kind: 'document'; readonly document: RuleDocument }
  | { readonly kind: 'errors'; readonly errors: readonly RuleSyntaxError[] };

const hasher = await xxhash();

function parseDocumentLine(text: string): DocumentLine {
  return { text, result: parseRuleLine(text) };
}

/** Returns the text of a document. */
export function renderDocument(document: Pick<RuleDocument, 'lines'>): string {
  const texts = document.lines.map((line) => line.text);
  return texts.length === 0 ? '' : `${texts.join('\n')}\n`;
}

function buildFromLines(lines: readonly DocumentLine[], revision: RuleRevision): BuiltDocument {
  const collected = collectRules(lines.map((line) => line.result));
  if (collected.kind === 'errors') return collected;
  const checksum = hasher.h64ToString(renderDocument({ lines }));
  const ruleSet = buildRuleSet(collected.rules);
  return { kind: 'document', document: { revision, checksum, lines, ruleSet } };
}

/** Builds a document from the text of a whole file. */
export function buildDocument(text: string, revision: RuleRevision): BuiltDocument {
  return buildFromLines(splitRuleFile(text).map(parseDocumentLine), revision);
}

/** Builds the empty document that is in force before the first edit, as revision 0. */
export function buildEmptyDocument(): RuleDocument {
  const built = buildDocument('', 0 as RuleRevision);
  if (built.kind === 'errors') throw new Error('the empty rule file has syntax errors');
  return built.document;
}

/**
 * Applies one delta of hunks. Returns undefined unless it leads to the next revision and the result
 * has the checksum of the delta.
 */
export function applyDelta(document: RuleDocument, delta: RuleDelta): RuleDocument | undefined {
  if (delta.revision !== document.revision + 1 || delta.change.kind !== 'hunks') return undefined;
  const lines = applyHunks(
    document.lines,
    delta.change.hunks,
    (line) => line.text,
    parseDocumentLine,
  );
  if (lines === undefined) return undefined;
  const built = buildFromLines(lines, delta.revision);
  if (built.kind === 'errors' || built.document.checksum !== delta.checksum) return undefined;
  return built.document;
}
