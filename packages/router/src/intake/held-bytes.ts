/**
 * Counts the bytes that this VM holds for requests: bodies of callers, answers until they are whole or read,
 * events whose end has not come, and heads of requests. Heads have a limit of their own, all others share one. Beyond
 * it the largest is given up, and not what comes next: bytes without end cost their own request, and no other.
 */

import type { HeldLimits } from '@tarragonspool/core';

/** What bytes are held for. */
export const HELD_KINDS = ['body', 'answer', 'event', 'unread-answer', 'head'] as const;

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
  /** Begins a share of a body that came whole, and is never given up; undefined if there is no room for it. */
  readonly beginWholeBody: (bytes: number) => HeldShare | undefined;
  /** Whether the heads of requests take no more than they may. */
  readonly hasRoomForHeads: () => boolean;
  /** Counts all that share one limit. */
  readonly countAll: () => number;
  readonly countKind: (kind: HeldKind) => number;
};

type OpenShare = {
  readonly kind: HeldKind;
  readonly giveUp: ((bytes: number) => void) | undefined;
  bytes: number;
};

/** A body up to this size may use what is kept free of larger ones, and is not given up for them. */
const MAX_SMALL_BODY_BYTES = 65_536;
/** Share for answers that are read ahead of their callers; beside bodies, as much is left for answers that are still arriving. */
const UNREAD_SHARE = 0.25;
/** Answers are read further ahead only while all kinds together take less than this share. */
const READ_AHEAD_SHARE = 0.75;

/** Makes the count of one VM; the limits may change. */
export function makeHeldBytes(getLimits: () => HeldLimits): HeldBytes {
  /** Those that hold any bytes. */
  const shares = new Set<OpenShare>();
  const sums = new Map<HeldKind, number>();
  let total = 0;

  function countKind(kind: HeldKind): number {
    return sums.get(kind) ?? 0;
  }

  function setBytes(share: OpenShare, bytes: number): void {
    const change = bytes - share.bytes;
    if (share.kind !== 'head') total += change;
    sums.set(share.kind, countKind(share.kind) + change);
    share.bytes = bytes;
    if (bytes > 0) shares.add(share);
    else shares.delete(share);
  }

  /** Finds the largest share of a kind, or of all that share one limit. */
  function findLargest(kind: HeldKind | undefined): OpenShare | undefined {
    let largest: OpenShare | undefined;
    for (const share of shares) {
      if (kind === undefined ? share.kind === 'head' : share.kind !== kind) continue;
      if (share.giveUp !== undefined && share.bytes > (largest?.bytes ?? 0)) largest = share;
    }
    return largest;
  }

  /** Gives up the largest shares, of one kind or of all, as long as there is too much and they have more than `keptBytes`. */
  function giveUpLargest(isTooMuch: () => boolean, kind?: HeldKind, keptBytes = 0): void {
    while (isTooMuch()) {
      const largest = findLargest(kind);
      if (largest === undefined || largest.bytes <= keptBytes) return;
      const { bytes, giveUp } = largest;
      setBytes(largest, 0);
      giveUp?.(bytes);
    }
  }

  function begin(kind: HeldKind, giveUp?: (bytes: number) => void): HeldShare {
    const share: OpenShare = { kind, giveUp, bytes: 0 };
    return {
      update: (bytes) => {
        setBytes(share, bytes);
        const { bodyBytes, smallBodyBytes, headBytes, allBytes } = getLimits();
        giveUpLargest(() => countKind('head') > headBytes, 'head');
        giveUpLargest(() => countKind('body') > bodyBytes, 'body', MAX_SMALL_BODY_BYTES);
        giveUpLargest(() => countKind('body') > bodyBytes + smallBodyBytes, 'body');
        giveUpLargest(() => total > allBytes);
      },
      end: () => setBytes(share, 0),
    };
  }

  return {
    begin,
    beginWholeBody: (bytes) => {
      const { bodyBytes, smallBodyBytes } = getLimits();
      const isSmall = bytes <= MAX_SMALL_BODY_BYTES;
      if (countKind('body') + bytes > bodyBytes + (isSmall ? smallBodyBytes : 0)) return undefined;
      const share = begin('body');
      share.update(bytes);
      return share;
    },
    hasRoomToReadAhead: () => {
      const { allBytes } = getLimits();
      const unreadBytes = countKind('unread-answer');
      return unreadBytes < UNREAD_SHARE * allBytes && total < READ_AHEAD_SHARE * allBytes;
    },
    hasRoomForHeads: () => countKind('head') <= getLimits().headBytes,
    countAll: () => total,
    countKind,
  };
}
