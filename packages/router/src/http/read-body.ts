/** Reads a request body up to a limit. */

import type { IncomingMessage } from 'node:http';
import { makeByteCollector } from '@tarragonspool/core';
import { findExcess } from './size-limit.js';

/** Result of reading a body. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'broken' };

/** Reads a whole body; the deadline is in milliseconds since the epoch. */
export function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
  deadline: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const body = makeByteCollector();
    const timer = setTimeout(() => resolve({ kind: 'timeout' }), deadline - Date.now());
    const finish = (result: BodyResult): void => {
      clearTimeout(timer);
      resolve(result);
    };
    incoming.on('data', (chunk: Buffer) => {
      body.append(chunk);
      if (findExcess(body, limitBytes) === undefined) return;
      incoming.pause();
      body.take();
      finish({ kind: 'too-large' });
    });
    incoming.on('end', () => finish({ kind: 'body', body: body.take() }));
    incoming.on('error', () => finish({ kind: 'broken' }));
    incoming.on('close', () => finish({ kind: 'broken' }));
  });
}
