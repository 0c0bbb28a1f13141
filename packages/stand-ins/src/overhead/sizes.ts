/** Sizes of the overhead measurement. */

/** Chunks, or tokens, of one streamed answer. */
export const CHUNKS = 20;
/** Time between two chunks, in milliseconds. */
export const CHUNK_GAP_MS = 2;
/** Text of every token. */
export const TOKEN_TEXT = ' declared';
