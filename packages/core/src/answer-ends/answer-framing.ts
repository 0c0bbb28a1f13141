/**
 * Decides what tells a caller where its answer ends. The end of a connection is the last choice: a process that dies
 * closes its connections in an orderly way, and a reset may be read as a close.
 */

/** What tells a caller where its answer ends; `head` if the answer has no body. */
export type AnswerFraming = 'head' | 'length' | 'chunks' | 'connection';

/** What is known of an answer when its head is sent. */
export type AnswerShape = {
  readonly method: string;
  readonly status: number;
  /** Whether the server's head names the length of the body. */
  readonly hasLength: boolean;
  /** Whether the body is known as a whole. */
  readonly isWhole: boolean;
  /** Whether the caller reads chunks, which HTTP/1.0 does not know. */
  readonly takesChunks: boolean;
};

/** Answers with these statuses have no body (RFC 9110, section 6.4.1). */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Chooses what tells a caller where its answer ends. */
export function chooseAnswerFraming({
  method,
  status,
  hasLength,
  isWhole,
  takesChunks,
}: AnswerShape): AnswerFraming {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return 'head';
  if (hasLength || isWhole) return 'length';
  return takesChunks ? 'chunks' : 'connection';
}
