/**
 * Collects bytes that arrive in pieces. They are kept in blocks, so that memory follows the number of bytes,
 * however small the pieces are, and nothing is copied again while they grow.
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
  /** Returns the bytes, valid until the next change; over all pieces it copies each byte a few times at most. */
  readonly getBytes: () => Buffer;
  /** Drops bytes from the beginning, and the cost of all but the bytes that are left. */
  readonly dropFirst: (bytes: number) => void;
  /** Returns the bytes and begins anew. */
  readonly take: () => Buffer;
  /** The same without joining them. */
  readonly takeBlocks: () => readonly Buffer[];
};

/** Bytes whose reading takes as long as that of one more piece. */
const PIECE_COST_BYTES = 64;
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 65_536;
/** A piece of this size is kept as it is, if its memory holds little else. */
const MIN_KEPT_BYTES = 16_384;

function isWorthKeeping(piece: Buffer): boolean {
  return piece.length >= MIN_KEPT_BYTES && 2 * piece.length >= piece.buffer.byteLength;
}

/** Makes an empty collector. */
export function makeByteCollector(): ByteCollector {
  /** Full blocks, in order; `last` comes after them. */
  let full: Buffer[] = [];
  let last: Buffer = Buffer.alloc(0);
  /** Bytes of `last` that are in use. */
  let used = 0;
  let length = 0;
  let pieces = 0;

  function closeLast(): void {
    if (used > 0) full.push(last.subarray(0, used));
    last = Buffer.alloc(0);
    used = 0;
  }

  function clear(): void {
    full = [];
    last = Buffer.alloc(0);
    used = 0;
    length = 0;
    pieces = 0;
  }

  /** Puts everything into one block with room for as much again, so that joining often costs little. */
  function join(): void {
    if (full.length === 0) return;
    const joined = Buffer.allocUnsafeSlow(2 * length);
    closeLast();
    let at = 0;
    for (const block of full) at += block.copy(joined, at);
    full = [];
    last = joined;
    used = length;
  }

  function append(piece: Buffer): void {
    pieces += 1;
    if (isWorthKeeping(piece)) {
      closeLast();
      full.push(piece);
      length += piece.length;
      return;
    }
    const copied = piece.copy(last, used);
    used += copied;
    length += copied;
    if (copied === piece.length) return;
    closeLast();
    const rest = piece.subarray(copied);
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, length));
    last = Buffer.allocUnsafeSlow(Math.max(bytes, rest.length));
    used = rest.copy(last);
    length += used;
  }

  function takeBlocks(): readonly Buffer[] {
    closeLast();
    const blocks = full;
    clear();
    return blocks;
  }

  return {
    append,
    countBytes: () => length,
    countCost: () => length + pieces * PIECE_COST_BYTES,
    getBytes: () => {
      join();
      return last.subarray(0, used);
    },
    dropFirst: (bytes) => {
      if (bytes === 0) return;
      if (bytes >= length) {
        clear();
        return;
      }
      join();
      last.copyWithin(0, bytes, length);
      length -= bytes;
      used = length;
      pieces = 0;
    },
    take: () => {
      const bytes = length;
      const blocks = takeBlocks();
      const [only] = blocks;
      return only !== undefined && blocks.length === 1 ? only : Buffer.concat(blocks, bytes);
    },
    takeBlocks,
  };
}
