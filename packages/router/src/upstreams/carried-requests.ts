/**
 * Which requests a connection has carried. A faulty server may write an earlier answer again where
 * the next one is due: only its id tells whose it is, and a request that is sent again has the same
 * id. So a connection carries a request once at most, and a kept one only answers that have an id.
 * Chooses the connections of requests accordingly.
 */

import { Agent } from 'node:http';
import type { Socket } from 'node:net';

/** A connection that has carried this many requests is not kept, so that it forgets none of them. */
const MAX_CARRIED = 256;
/** A request with a longer id has a connection of its own. */
const MAX_ID_LENGTH = 64;

const carriedIds = new WeakMap<Socket, Set<string>>();

/** Makes connections that carry one request each. */
const singleAgent = new Agent({ keepAlive: false });

/** Records that a connection carries a request. */
export function recordCarried(socket: Socket, requestId: string): void {
  const ids = carriedIds.get(socket) ?? new Set();
  ids.add(requestId);
  carriedIds.set(socket, ids);
}

/** Whether a connection may be kept for one more request. */
export function canCarryMore(socket: Socket): boolean {
  return (carriedIds.get(socket)?.size ?? 0) < MAX_CARRIED;
}

/**
 * Whether an idle connection takes no more requests. Node reads that its server has ended it, and removes it from
 * the idle ones only when it has closed; a request that comes in between would fail without having been sent.
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
