/** One revision of the rule file with its index, and the steps between revisions. */

import xxhash from 'xxhash-wasm';
import type { RuleDelta, RuleRevision } from '@tarragonspool/protocol';
import { applyHunks } from './line-diff.js';
import { collectRules, splitRuleFile, type RuleSyntaxError } from './rule-file.js';
import { parseRuleLine, type LineResult } from './rule-line.js';
import { buildRuleSet, type RuleSet } from './rule-set.js';

/** One line with what it parses to, so that an edit parses only the lines it adds. */
export type DocumentLine = { readonly text: string; readonly result: LineResult };

/** One revision of the rule file. */
export type RuleDocument = {
  readonly revision: RuleRevision;
  readonly checksum: string;
  readonly lines: readonly DocumentLine[];
  readonly ruleSet: RuleSet;
};

/** Result of building a document. */
export type BuiltDocument =
  | { readonly kind: 'document'; readonly document: RuleDocument }
  | { readonly kind: 'errors'; readonly errors: readonly RuleSyntaxError[] };

const hasher = await xxhash();

function makeLine(text: string): DocumentLine {
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

/** Builds a document from a whole file. */
export function buildDocument(text: string, revision: RuleRevision): BuiltDocument {
  return buildFromLines(splitRuleFile(text).map(makeLine), revision);
}

/** Builds the document of the file before the first edit. */
export function buildEmptyDocument(): RuleDocument {
  const built = buildDocument('', 0 as RuleRevision);
  if (built.kind === 'errors') throw new Error('an empty file has no errors');
  return built.document;
}

/** Applies one delta; undefined unless it follows this revision and its checksum holds. */
export function applyDelta(document: RuleDocument, delta: RuleDelta): RuleDocument | undefined {
  if (delta.revision !== document.revision + 1 || delta.change.kind !== 'hunks') return undefined;
  const lines = applyHunks(document.lines, delta.change.hunks, (line) => line.text, makeLine);
  if (lines === undefined) return undefined;
  const built = buildFromLines(lines, delta.revision);
  if (built.kind === 'errors' || built.document.checksum !== delta.checksum) return undefined;
  return built.document;
}
