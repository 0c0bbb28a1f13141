/** Parses rows of the store. Anybody may have written a row, so each is checked as a whole. */

import { isUtf8 } from 'node:buffer';
import type * as z from 'zod';

/** What a row says, or why it can't be used. */
export type ParsedRow<T> =
  | {
      readonly kind: 'usable';
      readonly value: T;
      /** Why parts of the row are left out. */
      readonly faults?: readonly string[];
    }
  | { readonly kind: 'unusable'; readonly reason: string };

/** Longest row that is parsed, in bytes; the store takes no longer ones. */
export const MAX_ROW_BYTES = 8_388_608;
/** Reasons come from the row and end in logs. */
const MAX_REASON_LENGTH = 200;

/** Builds the answer for a row that can't be used. */
export function refuseRow(reason: string): ParsedRow<never> {
  return { kind: 'unusable', reason: reason.slice(0, MAX_REASON_LENGTH) };
}

/** Renders why a value does not match its schema, without the value. */
export function renderIssue({ issues: [issue] }: z.ZodError): string {
  if (issue === undefined) return 'not valid';
  const { path, message } = issue;
  return path.length === 0 ? message : `${path.join('.')}: ${message}`;
}

/** Where a syntax error of JSON was found; messages that quote the text end in another way. */
const SYNTAX_ERROR_POSITION = /in JSON at position (\d+)(?: \(line \d+ column \d+\))?$/u;

/** Renders why a text is no JSON. Messages of the runtime may quote the text, which may hold keys. */
function renderSyntaxError({ message }: SyntaxError): string {
  const position = SYNTAX_ERROR_POSITION.exec(message)?.[1];
  return position === undefined ? 'not valid JSON' : `not valid JSON at position ${position}`;
}

/** Parses a row as JSON of a schema; whatever the bytes are, it does not throw. */
export function parseRow<T>(
  schema: z.ZodType<T>,
  bytes: Buffer,
  maxBytes = MAX_ROW_BYTES,
): ParsedRow<T> {
  if (bytes.length > maxBytes) return refuseRow(`longer than ${maxBytes} bytes`);
  if (!isUtf8(bytes)) return refuseRow('no text in UTF-8');
  try {
    const parsed = schema.safeParse(JSON.parse(bytes.toString('utf8')));
    if (parsed.success) return { kind: 'usable', value: parsed.data };
    return refuseRow(renderIssue(parsed.error));
  } catch (error) {
    return refuseRow(error instanceof SyntaxError ? renderSyntaxError(error) : String(error));
  }
}
