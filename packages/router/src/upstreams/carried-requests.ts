/**
 * Which requests a connection has carried. A faulty server may write an earlier answer again where
 * the next one is due: only its id tells whose it is, and a request that is sent again has the same
 * id. So a connection carries a request once at most, and a kept one only answers that have an id.
 * Chooses the connections of requests accordingly.
 */

import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** A connection that has carried this many requests is not kept, so that it forgets none of them. */
const MAX_CARRIED = 256;
/** A request with a longer id has a connection of its own. */
const MAX_ID_LENGTH = 64;

/**
 * A kernel takes about this much for a process that does not read. After a longer request, the server may not read
 * its connection any more, and the next call would wait there until its deadline.
 */
const MAX_KEPT_REQUEST_BYTES = 65_536;
/** A server that answers before it has read the whole request has this long to read the rest. */
const REST_MS = 5_000;

const carriedIds = new WeakMap<Socket, Set<string>>();

/** Connections of which it is not known whether their servers read everything. */
const unreadSockets = new WeakSet<Socket>();

/** Makes connections that carry one request each. */
const singleAgent = new Agent({ keepAlive: false });

/** Records that a connection carries a request. */
export function recordCarried(socket: Socket, requestId: string): void {
  const ids = carriedIds.get(socket) ?? new Set();
  ids.add(requestId);
  carriedIds.set(socket, ids);
}

/**
 * Records, as an answer has ended, whether its server is known to have read the request, of which `requestBytes` were
 * written. The rest of the request is still written for `REST_MS`; then the connection is closed.
 */
export function recordAnswered(outgoing: ClientRequest, requestBytes: number): void {
  const { socket, writableFinished } = outgoing;
  if (socket === null) return;
  if (!writableFinished || requestBytes > MAX_KEPT_REQUEST_BYTES) unreadSockets.add(socket);
  if (writableFinished) return;
  const timer = setTimeout(() => outgoing.destroy(), REST_MS);
  outgoing.once('close', () => clearTimeout(timer));
}

/** Whether a connection may be kept for one more request. */
export function canCarryMore(socket: Socket): boolean {
  if (unreadSockets.has(socket)) return false;
  return (carriedIds.get(socket)?.size ?? 0) < MAX_CARRIED;
}

/**
 * Whether an idle connection takes no more requests. After its server has ended it, Node keeps it among the idle ones
 * until it has closed; a request in between would fail without having been sent.
 */
function hasEnded({ readable, writable }: Socket): boolean {
  return !readable || !writable;
}

/**
 * Chooses what connects a request to a server: `agent`, or a connection of its own if the request
 * has no id that tells its answer from others, or if an idle connection has carried it before or has ended.
 */
export function chooseAgent(
  agent: Agent,
  server: { readonly host: string; readonly port: number },
  requestId: string | undefined,
): Agent {
  if (requestId === undefined || requestId.length > MAX_ID_LENGTH) return singleAgent;
  const idle = agent.freeSockets[agent.getName(server)] ?? [];
  const isUnfit = idle.some(
    (socket) => hasEnded(socket) || carriedIds.get(socket)?.has(requestId) === true,
  );
  return isUnfit ? singleAgent : agent;
}

/** A request, and the id that an answer on its connection bears. */
export type AnswerIds = {
  readonly requestId: string | undefined;
  readonly answerId: string | undefined;
  /** Whether the connection carried other requests before. */
  readonly isReused: boolean;
};

/**
 * Finds why an answer may belong to another request; undefined if it cannot. The first answer on a
 * connection belongs to its request even if it has no id.
 */
export function findForeignReason({
  requestId,
  answerId,
  isReused,
}: AnswerIds): string | undefined {
  if (requestId === undefined || answerId === requestId) return undefined;
  if (answerId !== undefined) return 'answer to another request';
  return isReused ? 'answer without an id on a kept connection' : undefined;
}
