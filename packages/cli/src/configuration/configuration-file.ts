/** Reads files of the platform's configuration, with the decoder of the daemon that the adapter passes. */

import { readFile } from 'node:fs/promises';
import type { ConfigurationFile } from '@tarragonspool/core';

/** What the decoder makes of a file; reasons contain no keys. */
export type DecodedFile =
  | ({ readonly kind: 'usable' } & ConfigurationFile)
  | { readonly kind: 'unusable'; readonly reason: string };

/** Decodes a configuration as the daemon does. */
export type DecodeConfiguration = (bytes: Buffer) => DecodedFile;

/** Result of reading a file. */
export type FileResult = DecodedFile | { readonly kind: 'unreadable'; readonly detail: string };

/** Reads and decodes a file. */
export async function readConfigurationFile(
  path: string,
  decode: DecodeConfiguration,
): Promise<FileResult> {
  let bytes: Buffer;
  try {
    bytes = await readFile(path);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return { kind: 'unreadable', detail: code ?? String(error) };
  }
  return decode(bytes);
}
