/**
 * Writes the answer to one caller: it begins once and ends once, and an incomplete answer never
 * looks complete.
 */

import type { ServerResponse } from 'node:http';
import { chooseAnswerFraming, type AnswerFraming } from '@tarragonspool/core';
import { getResultCode, type ResultName } from '@tarragonspool/protocol';
import { endBrokenAnswer } from '../http/broken-answers.js';
import type { HeldShare } from '../intake/held-bytes.js';

/** Why a VM ends an answer in the middle. */
export type BreakReason =
  | 'deadline'
  | 'engine-failed'
  /** Only its connection told the answer's end, and no other run could be asked whether there is more. */
  | 'end-unconfirmed'
  | 'no-engine'
  | 'slot-refused'
  | 'not-run'
  | 'prefill-failed'
  | 'quarantined'
  | 'stopped'
  | 'task-failed'
  /** Its caller does not read it, and too much was held. */
  | 'memory';

/** How far an answer has been written. */
export type ReplyState = 'open' | 'begun' | 'ended';

/** Writer of one answer. */
export type CallerReply = {
  readonly getState: () => ReplyState;
  /** Answers with one of the gateway's own result codes; `isLast` closes the connection after it. */
  readonly refuse: (name: ResultName, retryAfterMs?: number, isLast?: boolean) => void;
  /** Sends the head of a server's answer, whose body comes in parts. */
  readonly begin: (status: number, rawHeaders: readonly string[]) => void;
  /** Sends a server's answer whose body has come as a whole. */
  readonly answer: (status: number, rawHeaders: readonly string[], body: readonly Buffer[]) => void;
  /** Returns false if the caller reads more slowly than the server writes; wait for `onDrain`. */
  readonly write: (chunk: Buffer) => boolean;
  readonly end: () => void;
  /** Ends the connection so that the answer does not look complete. */
  readonly breakOff: (reason: BreakReason) => void;
  /** Why this VM broke the answer off; undefined if it did not. */
  readonly getBreakReason: () => BreakReason | undefined;
  readonly onDrain: (resume: () => void) => void;
};

/** The header has two decimals; a shorter time would be told as none. */
const MIN_RETRY_AFTER_MS = 10;
const MS_PER_S = 1_000;
/** Such an answer names the scheme by which a key is sent (RFC 9110, section 15.5.2). */
const UNAUTHORIZED = 401;
const LENGTH = /^content-length$/iu;

function hasLengthHeader(rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((name, index) => index % 2 === 0 && LENGTH.test(name));
}

function countBytes(body: readonly Buffer[]): number {
  let bytes = 0;
  for (const block of body) bytes += block.length;
  return bytes;
}

/** Whether the caller of an answer reads chunks. */
function canTakeChunks({ req }: ServerResponse): boolean {
  const { httpVersionMajor: major, httpVersionMinor: minor } = req;
  return major > 1 || (major === 1 && minor >= 1);
}

/** Begins to count what the caller has not read; `giveUp` ends the answer. */
export type BeginUnread = (giveUp: () => void) => HeldShare;

/** Makes the answer writer; `isLeaving` closes the connection after the answer. */
export function makeCallerReply(
  response: ServerResponse,
  isLeaving: () => boolean,
  beginUnread?: BeginUnread,
): CallerReply {
  let state: ReplyState = 'open';
  let framing: AnswerFraming | undefined;
  let breakReason: BreakReason | undefined;
  let unread: HeldShare | undefined;

  function cut(reason: BreakReason): void {
    state = 'ended';
    breakReason = reason;
    endBrokenAnswer(response, framing === 'connection');
  }

  /** Counts what the caller has yet to read, once there is any; it is counted until the answer ends. */
  function countUnread(): void {
    if (beginUnread === undefined) return;
    if (unread === undefined) {
      unread = beginUnread(() => cut('memory'));
      response.once('close', unread.end);
      response.on('drain', countUnread);
    }
    unread.update(response.writableLength);
  }

  function write(chunk: Buffer): boolean {
    if (state !== 'begun') return true;
    const isRead = response.write(chunk);
    if (!isRead) countUnread();
    return isRead;
  }

  function refuse(name: ResultName, retryAfterMs?: number, isLast = false): void {
    if (state !== 'open') return;
    state = 'ended';
    const { code, status, title } = getResultCode(name);
    const body = JSON.stringify({ code, name, title });
    response.setHeader('Content-Type', 'application/json');
    response.setHeader('Content-Length', Buffer.byteLength(body));
    if (retryAfterMs !== undefined) {
      const pauseMs = Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
      response.setHeader('Retry-After', (pauseMs / MS_PER_S).toFixed(2));
    }
    if (status === UNAUTHORIZED) response.setHeader('WWW-Authenticate', 'Bearer');
    if (isLast || isLeaving()) response.setHeader('Connection', 'close');
    response.writeHead(status);
    response.end(body);
  }

  /** Sends the head of a server's answer; `wholeBytes` is the size of a body that is known as a whole. */
  function begin(status: number, rawHeaders: readonly string[], wholeBytes?: number): void {
    if (state !== 'open') return;
    state = 'begun';
    const { method = 'GET' } = response.req;
    const hasLength = hasLengthHeader(rawHeaders);
    const isWhole = wholeBytes !== undefined;
    const shape = { method, status, hasLength, isWhole, takesChunks: canTakeChunks(response) };
    framing = chooseAnswerFraming(shape);
    const headers = [...rawHeaders];
    if (framing === 'length' && !hasLength) headers.push('Content-Length', String(wholeBytes));
    if (isLeaving() || framing === 'connection') headers.push('Connection', 'close');
    response.writeHead(status, headers);
    response.flushHeaders();
  }

  function end(): void {
    if (state !== 'begun') return;
    state = 'ended';
    response.end();
  }

  return {
    getState: () => state,
    refuse,
    begin: (status, rawHeaders) => begin(status, rawHeaders),
    answer: (status, rawHeaders, body) => {
      begin(status, rawHeaders, countBytes(body));
      for (const block of body) write(block);
      end();
    },
    write,
    end,
    breakOff: (reason) => {
      if (state !== 'ended') cut(reason);
    },
    getBreakReason: () => breakReason,
    onDrain: (resume) => response.once('drain', resume),
  };
}
