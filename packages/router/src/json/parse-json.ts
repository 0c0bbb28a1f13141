/** Parses JSON that may be malformed. */

/** Returns the parsed value, or undefined if the bytes or the text are no JSON. */
export function parseJson(source: Buffer | string): unknown {
  try {
    return JSON.parse(source.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
