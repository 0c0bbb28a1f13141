/** Reads the bodies of callers' requests within their limits of size, time and memory. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { makeByteCollector } from '@tarragonspool/core';
import { findMaxBodyBytes } from '../intake/request-sizes.js';
import type { CallerConnections } from './caller-connections.js';
import type { CallerFraming } from '../intake/caller-framing.js';
import type { CallerReply } from './caller-reply.js';
import type { GatewayState } from './gateway-state.js';
import { recordSizeCut, type SizeCut } from '../intake/size-cuts.js';

/** Time that a request has whose caller names no deadline. */
export const DEFAULT_DEADLINE_MS = 60_000;
/** A caller whose request cannot be held may come back after this time. */
export const NOT_HELD_RETRY_AFTER_MS = 500;
/** A caller that sends on after its refusal is cut off if its body is longer than it may be by more than this. */
const MAX_IGNORED_BODY_BYTES = 1_048_576;
/** The same for one that sends on in small pieces. */
const MAX_IGNORED_PIECES = 4_096;

/** A request whose head has arrived. */
export type Arrival = {
  readonly incoming: IncomingMessage;
  readonly reply: CallerReply;
  readonly arrivedAt: number;
};

/** What tracks the framing and the progress of callers' connections. */
export type Followers = {
  readonly framing: CallerFraming;
  readonly connections: CallerConnections;
};

/** Records that something of a caller was cut off. */
export function recordCallerCut(
  state: GatewayState,
  { headers, socket }: IncomingMessage,
  cut: Pick<SizeCut, 'part' | 'reason' | 'bytes'>,
): void {
  const requestId = state.ports.dialect.decodeRequestId(headers);
  recordSizeCut(state, { ...cut, requestId, caller: socket.remoteAddress });
}

/** Counts the body of a running request as held until its answer ends. */
export function recordHeldBody(
  { heldBytes }: GatewayState,
  body: Buffer,
  response: ServerResponse,
): void {
  const held = heldBytes.begin('body');
  held.update(body.length);
  response.once('close', held.end);
}

/**
 * Makes a function that computes when a body must have ended: by the deadline of its request. The
 * headers are decoded at the first call, which most bodies end before.
 */
function makeDueTime(state: GatewayState, { incoming, arrivedAt }: Arrival): () => number {
  let dueAt: number | undefined;
  return () => {
    if (dueAt === undefined) {
      const { leftMs } = state.ports.dialect.decodeCallerFields(incoming.headers);
      dueAt = arrivedAt + (leftMs ?? DEFAULT_DEADLINE_MS);
    }
    return dueAt;
  };
}

/** Reads the body of a request within its limits of size, time and memory, and hands it on. */
export function readBody(
  state: GatewayState,
  arrival: Arrival,
  { framing, connections }: Followers,
  onBody: (body: Buffer) => void,
): void {
  const { incoming, reply } = arrival;
  const limit = findMaxBodyBytes(state.configuration);
  const body = makeByteCollector();
  let readBytes = 0;
  let ignoredPieces = 0;

  /** Refuses the request of a body that is beyond a limit; the rest of the body is not kept. */
  function cut(reason: 'content' | 'memory'): void {
    recordCallerCut(state, incoming, { part: 'body', reason, bytes: body.countBytes() });
    body.take();
    if (reason === 'content') reply.refuse('body-too-large');
    else reply.refuse('body-not-held', NOT_HELD_RETRY_AFTER_MS);
  }

  const held = state.heldBytes.begin('body', () => cut('memory'));
  /** Refuses a request whose body has not ended by its deadline: its caller no longer waits. */
  function endLate(): void {
    // A stop refuses the requests that are left with 503, so that callers come back at another VM.
    if (state.isLeaving && reply.getState() === 'open') return;
    recordCallerCut(state, incoming, { part: 'body', reason: 'body-timeout', bytes: readBytes });
    body.take();
    held.end();
    if (reply.getState() === 'open') reply.refuse('body-timeout', undefined, true);
    else incoming.socket.destroy();
  }

  connections.recordBody(incoming, { computeDueAt: makeDueTime(state, arrival), onLate: endLate });
  incoming.on('data', (part: Buffer) => {
    framing.recordContent(incoming, part.length);
    connections.recordContent(incoming, part.length);
    readBytes += part.length;
    if (reply.getState() !== 'open') {
      ignoredPieces += 1;
      const isTooLong = readBytes > limit + MAX_IGNORED_BODY_BYTES;
      const isOver = isTooLong || ignoredPieces > MAX_IGNORED_PIECES;
      // The rest of the body may be without end.
      if (isOver) incoming.destroy();
      return;
    }
    body.append(part);
    if (body.countBytes() <= limit) {
      held.update(body.countBytes());
      return;
    }
    held.end();
    cut('content');
  });
  incoming.on('end', () => {
    held.end();
    if (reply.getState() === 'open') onBody(body.take());
  });
  incoming.on('close', held.end);
  incoming.on('error', (error) =>
    state.logger.debug({ err: error }, 'requests: body could not be read'),
  );
}
