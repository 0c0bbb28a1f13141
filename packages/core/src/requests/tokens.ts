/** Estimates token counts without a tokenizer. */

const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of tokens in a text from its length; at least 1. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}
