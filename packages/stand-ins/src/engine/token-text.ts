/** The answer that a stand-in engine gives: each token follows from the prompt and its index. */

import { createHash } from 'node:crypto';

const STRIDE = 2_654_435_761;
const MODULUS = 2 ** 32;
const RADIX = 36;

/** Digests a prompt to 32 bits. */
export function digestPrompt(prompt: string): number {
  return createHash('sha256').update(prompt).digest().readUInt32BE(0);
}

/** Text of one token; clients recompute it from their own prompt. */
export function makeTokenText(promptDigest: number, index: number): string {
  return ` ${((promptDigest + (index + 1) * STRIDE) % MODULUS).toString(RADIX)}`;
}

/** Text of a whole answer. */
export function makeAnswerText(prompt: string, tokens: number): string {
  const digest = digestPrompt(prompt);
  return Array.from({ length: tokens }, (_, index) => makeTokenText(digest, index)).join('');
}
