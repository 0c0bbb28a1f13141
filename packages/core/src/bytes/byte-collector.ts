/**
 * Collects bytes that arrive in pieces. They are kept in one buffer that grows, so that memory follows the
 * number of bytes, however small the pieces are.
 */

/** Bytes that have come so far. */
export type ByteCollector = {
  readonly append: (piece: Buffer) => void;
  readonly countBytes: () => number;
  /**
   * What the bytes have cost: a piece takes time even if it has one byte only. Limits of what others send
   * are compared with this.
   */
  readonly countCost: () => number;
  /** Returns the bytes without copying them; valid until the next change. */
  readonly getBytes: () => Buffer;
  /** Drops bytes from the beginning, and the cost of all but the bytes that are left. */
  readonly dropFirst: (bytes: number) => void;
  /** Returns the bytes and begins anew. */
  readonly take: () => Buffer;
};

/** Bytes whose reading takes as long as that of one more piece. */
const PIECE_COST_BYTES = 64;
const MIN_CAPACITY_BYTES = 256;

/** Makes an empty collector. */
export function makeByteCollector(): ByteCollector {
  let held: Buffer = Buffer.alloc(0);
  let length = 0;
  let pieces = 0;

  function grow(needed: number): void {
    if (needed <= held.length) return;
    const larger = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, needed, 2 * held.length));
    held.copy(larger, 0, 0, length);
    held = larger;
  }

  function clear(): void {
    held = Buffer.alloc(0);
    length = 0;
    pieces = 0;
  }

  return {
    append: (piece) => {
      grow(length + piece.length);
      piece.copy(held, length);
      length += piece.length;
      pieces += 1;
    },
    countBytes: () => length,
    countCost: () => length + pieces * PIECE_COST_BYTES,
    getBytes: () => held.subarray(0, length),
    dropFirst: (bytes) => {
      if (bytes === 0) return;
      if (bytes >= length) {
        clear();
        return;
      }
      held.copyWithin(0, bytes, length);
      length -= bytes;
      pieces = 0;
    },
    take: () => {
      const taken = held.subarray(0, length);
      clear();
      return taken;
    },
  };
}
