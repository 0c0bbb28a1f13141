/** Copies the body that a response sends. */

import type { ServerResponse } from 'node:http';

const MAX_COPY_BYTES = 65_536;

/** Starts copying; the returned function reads the copy, which stops growing above a size limit. */
export function copyAnswer(response: ServerResponse): () => Buffer {
  const chunks: Buffer[] = [];
  let size = 0;
  function addChunk(chunk: unknown): void {
    if (size > MAX_COPY_BYTES) return;
    if (typeof chunk !== 'string' && !(chunk instanceof Uint8Array)) return;
    const copy = Buffer.from(chunk as string);
    size += copy.length;
    chunks.push(copy);
  }
  const write = response.write.bind(response) as (...args: unknown[]) => boolean;
  const end = response.end.bind(response) as (...args: unknown[]) => ServerResponse;
  response.write = (...args: unknown[]) => {
    addChunk(args[0]);
    return write(...args);
  };
  response.end = (...args: unknown[]) => {
    addChunk(args[0]);
    return end(...args);
  };
  return () => Buffer.concat(chunks);
}
