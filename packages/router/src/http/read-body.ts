/** Reads a request body up to a limit. */

import type { IncomingMessage } from 'node:http';
import { makeByteCollector } from '@tarragonspool/core';
import type { HeldShare } from '../intake/held-bytes.js';
import { findExcess } from './size-limit.js';

/** Result of reading a body. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'timeout' }
  /** It was given up, as all bodies together were too many. */
  | { readonly kind: 'not-held' }
  | { readonly kind: 'broken' };

/** Begins to count the bytes of a body; `giveUp` is called if it must be given up. */
export type BeginBody = (giveUp: () => void) => HeldShare;

/** Reads a whole body; the deadline is in milliseconds since the epoch. */
export function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
  deadline: number,
  beginBody?: BeginBody,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const body = makeByteCollector();
    const timer = setTimeout(() => resolve({ kind: 'timeout' }), deadline - Date.now());
    let share: HeldShare | undefined;
    const finish = (result: BodyResult): void => {
      clearTimeout(timer);
      share?.end();
      resolve(result);
    };
    const giveUp = (kind: 'too-large' | 'not-held'): void => {
      incoming.pause();
      body.take();
      finish({ kind });
    };
    share = beginBody?.(() => giveUp('not-held'));
    incoming.on('data', (chunk: Buffer) => {
      body.append(chunk);
      if (findExcess(body, limitBytes) === undefined) share?.update(body.countBytes());
      else giveUp('too-large');
    });
    incoming.on('end', () => finish({ kind: 'body', body: body.take() }));
    incoming.on('error', () => finish({ kind: 'broken' }));
    incoming.on('close', () => finish({ kind: 'broken' }));
  });
}
