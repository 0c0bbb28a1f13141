/**
 * Joins the pieces of a body that are read together. A server may send a byte a chunk; what handles the bytes
 * is called once for all that one read of its connection brought, and not once a chunk.
 */

import { makeByteCollector } from '@tarragonspool/core';

/** Joins the pieces of one body. */
export type PieceJoiner = {
  readonly add: (piece: Buffer) => void;
  /** Hands on what has been added; it is called by itself once the read has been handled. */
  readonly flush: () => void;
  /** Forgets what has been added and not handed on. */
  readonly drop: () => void;
};

/** Makes a joiner; `onBytes` is called after the read that brought the bytes. */
export function makePieceJoiner(onBytes: (bytes: Buffer) => void): PieceJoiner {
  const more = makeByteCollector();
  let first: Buffer | undefined;

  function flush(): void {
    if (first === undefined) return;
    const bytes = more.countBytes() === 0 ? first : Buffer.concat([first, more.take()]);
    first = undefined;
    onBytes(bytes);
  }

  return {
    add: (piece) => {
      if (first !== undefined) {
        more.append(piece);
        return;
      }
      first = piece;
      process.nextTick(flush);
    },
    flush,
    drop: () => {
      first = undefined;
      more.take();
    },
  };
}
