/**
 * Remembers the connections of this VM to servers: which are open, and how those ended that servers closed. A process
 * that dies loses all of them at one moment. Times are milliseconds on the steady clock of this VM.
 */

import type { Socket } from 'node:net';
import type { AnswerCut } from '@tarragonspool/protocol';
import { getSteadyMs } from '../time/steady-clock.js';

/** What is recorded of one call on its connection. */
export type CallRecord = {
  readonly recordHead: (endsWithConnection: boolean) => void;
  readonly recordPart: () => void;
  /** Records that the answer is whole by its framing. */
  readonly recordWhole: () => void;
  /** Records whether reading is paused, so that an end would not be seen. */
  readonly recordPaused: (isPaused: boolean) => void;
  /** Records that the server has closed the connection. */
  readonly recordClosed: () => void;
};

/** The answer to one call. */
type AnswerProgress = {
  readonly requestId: string | undefined;
  /** Undefined before its head. */
  endsWithConnection: boolean | undefined;
  firstPartAt: number;
  lastPartAt: number;
  parts: number;
};

type ServerConnection = {
  readonly openedAt: number;
  isPaused: boolean;
  /** The latest call; undefined once its answer is whole. */
  answer: AnswerProgress | undefined;
  /** Infinity while the server has not ended it. */
  endedAt: number;
  isReset: boolean;
};

/** How the connection of an answer ended, and when. */
export type AnswerEnd = AnswerCut & { readonly at: number };

/** What the connections to a server tell about a moment. */
export type ConnectionEvidence = {
  /** Whether more of an answer came some time after that moment, on one that was open before. */
  readonly isHeard: boolean;
  /** How those ended at that moment that carried an answer. */
  readonly endedBeside: readonly AnswerCut[];
};

/** The same, while more may come. */
export type OpenEvidence = ConnectionEvidence & {
  /** Whether there is one on which more of an answer may come. */
  readonly canBeHeard: boolean;
};

/** The connections of a VM to servers. */
export type ServerConnections = {
  /** Begins to record a call on its connection. */
  readonly beginCall: (
    socket: Socket,
    address: string,
    requestId: string | undefined,
  ) => CallRecord;
  /** Finds how the connection of an answer ended; undefined if none of this VM carried it. */
  readonly findEnd: (address: string, requestId: string) => AnswerEnd | undefined;
  /** Collects what the connections to a server, other than that of the answer, tell about a moment. */
  readonly collectEvidence: (address: string, at: number, requestId?: string) => OpenEvidence;
};

/** Ends are asked for within this time: the wait for a server's answer, and for those of peers. */
const KEEP_ENDED_MS = 10_000;
/** The ends of all connections of a process that died have arrived after this time. */
export const ARRIVAL_MS = 50;
/** The ends of all connections of a process that dies are read within this time. */
const SAME_MOMENT_MS = 100;
/** Addresses of servers that are gone are forgotten once there are this many. */
const MAX_ADDRESSES = 1_000;
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

function recordEnd(connection: ServerConnection, isReset: boolean): void {
  if (connection.endedAt < Infinity) return;
  connection.endedAt = getSteadyMs();
  connection.isReset = isReset;
}

function describeEnd({ answer, endedAt, isReset }: ServerConnection): AnswerCut | undefined {
  if (answer === undefined) return undefined;
  const { endsWithConnection, firstPartAt, lastPartAt, parts } = answer;
  const isBroken = isReset || endsWithConnection !== true;
  const pauseMs = parts > 1 ? (lastPartAt - firstPartAt) / (parts - 1) : undefined;
  return { isBroken, idleMs: endedAt - lastPartAt, pauseMs };
}

/** Makes the memory of a VM's connections to servers. */
export function makeServerConnections(): ServerConnections {
  const byAddress = new Map<string, Set<ServerConnection>>();
  const bySocket = new WeakMap<Socket, ServerConnection>();

  function forgetOld(connections: Set<ServerConnection>): void {
    const since = getSteadyMs() - KEEP_ENDED_MS;
    for (const connection of connections) {
      if (connection.endedAt < since) connections.delete(connection);
    }
  }

  function forgetUnused(): void {
    for (const [address, connections] of byAddress) {
      forgetOld(connections);
      if (connections.size === 0) byAddress.delete(address);
    }
  }

  function takeAddress(address: string): Set<ServerConnection> {
    const known = byAddress.get(address);
    if (known !== undefined) {
      forgetOld(known);
      return known;
    }
    if (byAddress.size >= MAX_ADDRESSES) forgetUnused();
    const connections = new Set<ServerConnection>();
    byAddress.set(address, connections);
    return connections;
  }

  function followSocket(socket: Socket, address: string): ServerConnection {
    const known = bySocket.get(socket);
    if (known !== undefined) return known;
    const connections = takeAddress(address);
    const connection: ServerConnection = {
      openedAt: getSteadyMs(),
      isPaused: false,
      answer: undefined,
      endedAt: Infinity,
      isReset: false,
    };
    bySocket.set(socket, connection);
    connections.add(connection);
    socket.prependOnceListener('end', () => recordEnd(connection, false));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (RESET_CODES.has(error.code ?? '')) recordEnd(connection, true);
    });
    socket.once('close', () => {
      // This VM ended it, which tells nothing of the server.
      if (connection.endedAt === Infinity) connections.delete(connection);
    });
    return connection;
  }

  function listAt(address: string): ServerConnection[] {
    return [...(byAddress.get(address) ?? [])];
  }

  return {
    beginCall: (socket, address, requestId) => {
      const connection = followSocket(socket, address);
      const now = getSteadyMs();
      const answer: AnswerProgress = {
        requestId,
        endsWithConnection: undefined,
        firstPartAt: now,
        lastPartAt: now,
        parts: 0,
      };
      connection.answer = answer;
      connection.isPaused = false;
      return {
        recordHead: (endsWithConnection) => {
          answer.endsWithConnection = endsWithConnection;
        },
        recordPart: () => {
          answer.lastPartAt = getSteadyMs();
          if (answer.parts === 0) answer.firstPartAt = answer.lastPartAt;
          answer.parts += 1;
        },
        recordWhole: () => {
          if (connection.endedAt === Infinity) connection.answer = undefined;
        },
        recordPaused: (isPaused) => {
          connection.isPaused = isPaused;
        },
        recordClosed: () => recordEnd(connection, false),
      };
    },
    findEnd: (address, requestId) => {
      for (const connection of listAt(address).reverse()) {
        const { answer, endedAt } = connection;
        if (endedAt === Infinity || answer?.requestId !== requestId) continue;
        const end = describeEnd(connection);
        if (end !== undefined) return { ...end, at: endedAt };
      }
      return undefined;
    },
    collectEvidence: (address, at, requestId) => {
      let isHeard = false;
      let canBeHeard = false;
      const endedBeside: AnswerCut[] = [];
      for (const connection of listAt(address)) {
        const { openedAt, endedAt, isPaused, answer } = connection;
        const isOwn = requestId !== undefined && answer?.requestId === requestId;
        if (isOwn || openedAt >= at) continue;
        if (endedAt === Infinity) {
          // A proxy may hold an idle connection of a server that is gone. Questions have no ids.
          if (answer?.requestId === undefined || answer.parts === 0 || isPaused) continue;
          canBeHeard = true;
          isHeard ||= answer.lastPartAt > at + ARRIVAL_MS;
          continue;
        }
        const end = Math.abs(endedAt - at) <= SAME_MOMENT_MS ? describeEnd(connection) : undefined;
        if (end !== undefined) endedBeside.push(end);
      }
      return { isHeard, canBeHeard, endedBeside };
    },
  };
}
