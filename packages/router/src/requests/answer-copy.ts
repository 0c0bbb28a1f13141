/** Copies the body that a response sends. */

import type { ServerResponse } from 'node:http';
import { makeByteCollector } from '@tarragonspool/core';

const MAX_COPY_BYTES = 65_536;

/** Starts copying; the returned function reads the copy, which stops growing above a size limit. */
export function copyAnswer(response: ServerResponse): () => Buffer {
  const body = makeByteCollector();
  function addChunk(chunk: unknown): void {
    if (body.countBytes() > MAX_COPY_BYTES) return;
    if (typeof chunk !== 'string' && !(chunk instanceof Uint8Array)) return;
    body.append(Buffer.from(chunk as string));
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
  return () => Buffer.from(body.getBytes());
}
