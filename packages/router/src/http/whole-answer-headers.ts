/**
 * Headers of an answer that speak of its whole body. One that another server may go on with keeps none of them: the
 * next server need not keep what the first one said.
 */

/** Names in lower case, of RFC 9110, RFC 9530 and their predecessors. */
const WHOLE_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'content-range',
  'content-md5',
  'digest',
  'content-digest',
  'repr-digest',
  'etag',
]);

/** Returns headers, names and values in turn, without those that speak of the whole body. */
export function dropWholeAnswerHeaders(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (WHOLE_ANSWER_HEADERS.has(name.toLowerCase())) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

/** Finds the media type that headers name, without its parameters and in lower case. */
export function findMediaType(rawHeaders: readonly string[]): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'content-type') continue;
    return rawHeaders[index + 1]?.split(';', 1)[0]?.trim().toLowerCase();
  }
  return undefined;
}
