/** Rows of the claim ledger: one per idempotency key of a call that must run at most once. */

import * as z from 'zod';
import type { Fingerprint } from './ids.js';

/** Recorded answer of a call. */
export type ClaimOutcome = {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly encoding: 'utf8' | 'base64';
};

/** How a claimed call ended. */
export type ClaimEnding =
  /** The call was never sent and will not be; its key may be claimed again. */
  | { readonly kind: 'not-run' }
  | { readonly kind: 'answered'; readonly outcome: ClaimOutcome }
  /** The call ran and was answered, but the answer is larger than a row may store. */
  | { readonly kind: 'answer-not-kept' }
  | { readonly kind: 'unknown' };

/** One row of the ledger. Times are milliseconds since the epoch, on the holder's clock. */
export type ClaimRow = {
  /** Identifies the attempt that holds the claim. */
  readonly token: string;
  readonly fingerprint: Fingerprint;
  /** The holder does not send the call after this. */
  readonly dispatchDeadline: number;
  /** The holder stops waiting for the answer at this time. */
  readonly answerDeadline: number;
  /** The row may be deleted after this. */
  readonly expiresAt: number;
  readonly state: { readonly kind: 'claimed' } | ClaimEnding;
};

const stateSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claimed') }),
  z.object({ kind: z.literal('not-run') }),
  z.object({ kind: z.literal('answer-not-kept') }),
  z.object({ kind: z.literal('unknown') }),
  z.object({
    kind: z.literal('answered'),
    outcome: z.object({
      status: z.number(),
      contentType: z.string(),
      body: z.string(),
      encoding: z.enum(['utf8', 'base64']),
    }),
  }),
]);

const rowSchema = z.object({
  token: z.string(),
  fingerprint: z.string(),
  dispatchDeadline: z.number(),
  answerDeadline: z.number(),
  expiresAt: z.number(),
  state: stateSchema,
});

/** Parses the value of a row; undefined if it is malformed. */
export function parseClaimRow(value: string): ClaimRow | undefined {
  try {
    const parsed = rowSchema.safeParse(JSON.parse(value));
    return parsed.success ? (parsed.data as unknown as ClaimRow) : undefined;
  } catch {
    return undefined;
  }
}
