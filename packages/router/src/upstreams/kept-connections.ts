/** Keeps connections to servers between requests, and ends those on which bytes come that nobody asked for. */

import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { canCarryMore } from './carried-requests.js';

const MAX_IDLE_MS = 8_000;
/** A server's own idle timeout is met with this margin. */
const IDLE_MARGIN_MS = 1_000;
const MIN_IDLE_MS = 300;
const MAX_IDLE_CONNECTIONS = 12;
const MS_PER_S = 1_000;
const KEEP_ALIVE_HINT = /timeout=(\d+)/u;

/** Response of the request that used a socket last; Node keeps it there until the socket is reused. */
type UsedSocket = Socket & { _httpMessage?: { res?: IncomingMessage } };

function readIdleMs(socket: UsedSocket): number {
  // eslint-disable-next-line no-underscore-dangle -- the only place where Node keeps it
  const hint = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = typeof hint === 'string' ? KEEP_ALIVE_HINT.exec(hint)?.[1] : undefined;
  if (seconds === undefined) return MAX_IDLE_MS;
  return Math.min(MAX_IDLE_MS, Math.max(MIN_IDLE_MS, Number(seconds) * MS_PER_S - IDLE_MARGIN_MS));
}

type KeepAliveHooks = {
  keepSocketAlive: (socket: Socket) => boolean;
  reuseSocket: (socket: Socket, outgoing: ClientRequest) => void;
};

/** Ends an idle connection on which anything arrives: such bytes belong to no request. */
function destroyOnData(this: Socket): void {
  this.destroy();
}

/** Makes an agent whose idle connections end when anything arrives on them. */
export function makeGuardedAgent(): Agent {
  const agent = new Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_CONNECTIONS,
    timeout: MAX_IDLE_MS,
    scheduling: 'lifo',
  });
  const hooks = agent as unknown as KeepAliveHooks;
  const keepSocketAlive = hooks.keepSocketAlive.bind(agent);
  const reuseSocket = hooks.reuseSocket.bind(agent);
  hooks.keepSocketAlive = (socket) => {
    if (!keepSocketAlive(socket) || !canCarryMore(socket)) return false;
    socket.setTimeout(readIdleMs(socket));
    socket.on('data', destroyOnData);
    return true;
  };
  hooks.reuseSocket = (socket, outgoing) => {
    socket.off('data', destroyOnData);
    socket.setTimeout(0);
    reuseSocket(socket, outgoing);
  };
  return agent;
}
