/** Revisions of the rule file, as stored in the platform's table and exchanged between peers. */

import * as z from 'zod';
import type { EditId, RuleRevision } from './ids.js';

/** Replacement of consecutive lines of the file. */
export type RuleHunk = {
  /** Index of the first replaced line in the older revision, from zero. */
  readonly at: number;
  readonly removed: readonly string[];
  readonly added: readonly string[];
};

/** Change made by an edit: hunks, or a whole new file that is stored as a snapshot. */
export type RuleChange =
  { readonly kind: 'hunks'; readonly hunks: readonly RuleHunk[] } | { readonly kind: 'snapshot' };

/** One accepted edit: the change from the previous revision to this one. */
export type RuleDelta = {
  readonly revision: RuleRevision;
  readonly editId: EditId;
  readonly author: string;
  /** Milliseconds since the epoch, on the clock of the VM that accepted the edit. */
  readonly acceptedAt: number;
  /** Checksum of the whole file at this revision. */
  readonly checksum: string;
  readonly change: RuleChange;
};

/** Reference to a whole file that is stored in the object store under its edit id. */
export type RuleSnapshotRef = {
  readonly revision: RuleRevision;
  readonly editId: EditId;
  readonly checksum: string;
};

/** The row that names the revision in force. */
export type RulesCurrentRow = {
  readonly revision: RuleRevision;
  readonly editId: EditId;
  readonly snapshot?: RuleSnapshotRef;
};

const id = z.string().max(256);
const revision = z.number().int().nonnegative();

const hunkSchema = z.object({
  at: z.number().int().nonnegative(),
  removed: z.array(z.string()),
  added: z.array(z.string()),
});

/** Schema of a rule delta. */
export const ruleDeltaSchema = z.object({
  revision,
  editId: id,
  author: id,
  acceptedAt: z.number().finite(),
  checksum: id,
  change: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('hunks'), hunks: z.array(hunkSchema) }),
    z.object({ kind: z.literal('snapshot') }),
  ]),
});

const currentRowSchema = z.object({
  revision,
  editId: id,
  snapshot: z.object({ revision, editId: id, checksum: id }).optional(),
});

function parseJson<T>(schema: z.ZodType, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? (parsed.data as T) : undefined;
  } catch {
    return undefined;
  }
}

/** Parses the value of a delta row; undefined if it is malformed. */
export function parseRuleDelta(text: string): RuleDelta | undefined {
  return parseJson<RuleDelta>(ruleDeltaSchema, text);
}

/** Parses the value of the row that names the revision in force; undefined if it is malformed. */
export function parseRulesCurrentRow(text: string): RulesCurrentRow | undefined {
  return parseJson<RulesCurrentRow>(currentRowSchema, text);
}
