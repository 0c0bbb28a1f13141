/** Reads API keys from `Authorization` headers and finds who holds them, by digests of the keys. */

import type { KeyDigest } from './tenant-types.js';

/** Computes the SHA-256 digest of a text; passed as an argument because this package imports nothing of the runtime. */
export type DigestText = (text: string) => KeyDigest;

/** Longest key in characters. */
const MAX_KEY_LENGTH = 512;
/** A character takes up to four bytes in a header, each decoded as one character. */
const MAX_SENT_LENGTH = 4 * MAX_KEY_LENGTH;
/** The name of the scheme may be written in any case (RFC 9110, section 11.1). */
const BEARER_PATTERN = /^bearer +([\x21-\x7e\x80-\xff]+) *$/iu;
/** No blanks and no control characters of ASCII. */
const SENDABLE = /^[\x21-\x7e\u{80}-\u{10ffff}]+$/u;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/u;

/** Whether a text can be sent as a bearer token. */
export function isSendableKey(key: string): boolean {
  return key.length <= MAX_KEY_LENGTH && SENDABLE.test(key);
}

/** Finds the key in the value of an `Authorization` header; undefined if it holds none. */
export function parseBearerToken(authorization: string): string | undefined {
  const key = BEARER_PATTERN.exec(authorization)?.[1];
  return key === undefined || key.length > MAX_SENT_LENGTH ? undefined : key;
}

/** Parses a digest as operators write it: 64 lower-case hexadecimal digits. */
export function parseKeyDigest(text: string): KeyDigest | undefined {
  return DIGEST_PATTERN.test(text) ? (text as KeyDigest) : undefined;
}

/** Finds the holder of the key in an `Authorization` header; undefined if nobody holds it. */
export function findKeyHolder<T>(
  holders: ReadonlyMap<KeyDigest, T>,
  authorization: string,
  digest: DigestText,
): T | undefined {
  const key = parseBearerToken(authorization);
  return key === undefined ? undefined : holders.get(digest(key));
}
