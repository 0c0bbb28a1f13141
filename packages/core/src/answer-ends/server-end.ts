/**
 * Judges whether a server ended an answer itself that only the close of its connection ended. A process that dies closes
 * its connections in the same way, but all of them at one moment, and then answers no questions. Times are milliseconds.
 */

import type { AnswerCut } from '@tarragonspool/protocol';

/** What a server said when it was asked whether it lives. */
export type LifeAnswer =
  /** The process that made the answer has answered. */
  | 'same-process'
  /** Another start of the server has answered. */
  | 'other-process'
  | 'none';

/** What VMs know of a server at the end of an answer. */
export type EndEvidence = {
  readonly life: LifeAnswer;
  /** Whether more of another answer came some time after the end, on a connection that had been open before. */
  readonly isHeardAfter: boolean;
  /** Whether as many events have come as the request allows tokens; each has one at least. */
  readonly hasAllTokens: boolean;
  /** Whether the server was known to leave before the end, so that it takes no new connections. */
  readonly isLeaving: boolean;
  /** Whether this VM stood still just now, so that what came one after the other was read together. */
  readonly hasStoodStill: boolean;
  /** How the connection of the answer ended. */
  readonly end: AnswerCut;
  /** How other connections of the server ended at that moment, here and at peers. */
  readonly endedBeside: readonly AnswerCut[];
};

/** What an end was concluded from. */
export type EndReason =
  | 'server-answered'
  | 'heard-after'
  | 'all-tokens'
  | 'left'
  | 'not-answered'
  | 'stood-still'
  | 'broken-beside'
  | 'closed-late';

/** Whether a server ended an answer itself, and why that is concluded. */
export type EndVerdict = { readonly isEnded: boolean; readonly reason: EndReason };

/** A server that ends an answer closes it with its last part, and within this time of it however slow its parts are. */
const MAX_CLOSE_MS = 20;
/** Reading the last part and the close takes up to this long. */
const MIN_CLOSE_MS = 2;
/** Of the time between two parts; a process dies at any moment between them. */
const CLOSE_SHARE = 0.1;

/** Whether a connection was closed together with the last part of its answer. */
function isClosedWithLastPart({ isBroken, idleMs, pauseMs = Infinity }: AnswerCut): boolean {
  const limitMs = Math.max(MIN_CLOSE_MS, Math.min(MAX_CLOSE_MS, CLOSE_SHARE * pauseMs));
  return !isBroken && idleMs <= limitMs;
}

/** Judges whether a server ended an answer itself. */
export function judgeServerEnd({
  life,
  isHeardAfter,
  hasAllTokens,
  isLeaving,
  hasStoodStill,
  end,
  endedBeside,
}: EndEvidence): EndVerdict {
  if (life === 'same-process') return { isEnded: true, reason: 'server-answered' };
  if (isHeardAfter) return { isEnded: true, reason: 'heard-after' };
  if (hasAllTokens) return { isEnded: true, reason: 'all-tokens' };
  if (!isLeaving) return { isEnded: false, reason: 'not-answered' };
  if (hasStoodStill) return { isEnded: false, reason: 'stood-still' };
  const ends = [end, ...endedBeside];
  if (ends.some(({ isBroken }) => isBroken)) return { isEnded: false, reason: 'broken-beside' };
  const areClosed = ends.every(isClosedWithLastPart);
  return areClosed ? { isEnded: true, reason: 'left' } : { isEnded: false, reason: 'closed-late' };
}

/** What the reports of a server say of its start; undefined where it does not tell. */
export type ReportedStarts = {
  /** In the report that was read while the answer came; `none` if there was none. */
  readonly during: number | undefined | 'none';
  /** In the report after its end. */
  readonly after: number | undefined;
  /** As the store lists it. */
  readonly listed: number | undefined;
};

/** Judges whether the process that reports after the end of an answer is the one that made it. */
export function judgeLife({ during, after, listed }: ReportedStarts): LifeAnswer {
  const expected = during === 'none' ? listed : during;
  if (after === undefined || expected === undefined) return 'same-process';
  return after === expected ? 'same-process' : 'other-process';
}
