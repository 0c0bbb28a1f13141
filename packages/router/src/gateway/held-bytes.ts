/**
 * Counts the bytes that this VM holds for requests: bodies of callers, answers until they are whole or read,
 * events whose end has not come. All of them share one limit. Beyond it the largest is given up, and not what
 * comes next: bytes without end cost their own request, and no other.
 */

/** What bytes are held for. */
export const HELD_KINDS = ['body', 'answer', 'event', 'unread-answer'] as const;

/** One of these. */
export type HeldKind = (typeof HELD_KINDS)[number];

/** What one owner holds. */
export type HeldShare = {
  /** Sets the number of bytes that are held now; what is held too much is given up before it returns. */
  readonly update: (bytes: number) => void;
  /** Ends the share; nothing is held any more. */
  readonly end: () => void;
};

/** The bytes that one VM holds. */
export type HeldBytes = {
  /**
   * Begins a share. `giveUp` is told how many bytes there are and must free them all at once; without it the
   * share is counted, but never given up.
   */
  readonly begin: (kind: HeldKind, giveUp?: (bytes: number) => void) => HeldShare;
  /** Whether answers may be read further ahead of callers that read slowly. */
  readonly hasRoomToReadAhead: () => boolean;
  readonly countAll: () => number;
  readonly countKind: (kind: HeldKind) => number;
};

type OpenShare = {
  readonly kind: HeldKind;
  readonly giveUp: ((bytes: number) => void) | undefined;
  bytes: number;
};

const BYTES_PER_MB = 1_048_576;
/**
 * Each byte is copied about twice on its way, and tens of megabytes that are freed stay for a while; the program
 * itself needs half of the memory of a small machine.
 */
const HELD_MEMORY_SHARE = 0.0625;
/** Bodies of requests that are under way stay until their answers, which must have room too. */
const BODY_SHARE = 0.5;
/** Share for answers that are read ahead of their callers; beside bodies, as much is left for answers that are still arriving. */
const UNREAD_SHARE = 0.25;

/** Computes the limit for a machine. */
export function computeHeldLimit(memoryMb: number): number {
  return memoryMb * BYTES_PER_MB * HELD_MEMORY_SHARE;
}

/** Makes the count of one VM; the limit may change. */
export function makeHeldBytes(getLimit: () => number): HeldBytes {
  /** Those that hold any bytes. */
  const shares = new Set<OpenShare>();
  const sums = new Map<HeldKind, number>();
  let total = 0;

  function countKind(kind: HeldKind): number {
    return sums.get(kind) ?? 0;
  }

  function setBytes(share: OpenShare, bytes: number): void {
    const change = bytes - share.bytes;
    total += change;
    sums.set(share.kind, countKind(share.kind) + change);
    share.bytes = bytes;
    if (bytes > 0) shares.add(share);
    else shares.delete(share);
  }

  function findLargest(kind: HeldKind | undefined): OpenShare | undefined {
    let largest: OpenShare | undefined;
    for (const share of shares) {
      if (kind !== undefined && share.kind !== kind) continue;
      if (share.giveUp !== undefined && share.bytes > (largest?.bytes ?? 0)) largest = share;
    }
    return largest;
  }

  /** Gives up the largest shares, of one kind or of all, as long as there is too much. */
  function giveUpLargest(isTooMuch: () => boolean, kind?: HeldKind): void {
    while (isTooMuch()) {
      const largest = findLargest(kind);
      if (largest === undefined) return;
      const { bytes, giveUp } = largest;
      setBytes(largest, 0);
      giveUp?.(bytes);
    }
  }

  return {
    begin: (kind, giveUp) => {
      const share: OpenShare = { kind, giveUp, bytes: 0 };
      return {
        update: (bytes) => {
          setBytes(share, bytes);
          giveUpLargest(() => countKind('body') > BODY_SHARE * getLimit(), 'body');
          giveUpLargest(() => total > getLimit());
        },
        end: () => setBytes(share, 0),
      };
    },
    hasRoomToReadAhead: () =>
      countKind('unread-answer') < UNREAD_SHARE * getLimit() &&
      total < (BODY_SHARE + UNREAD_SHARE) * getLimit(),
    countAll: () => total,
    countKind,
  };
}
