/**
 * Closes connections of callers that take a descriptor without progress: those that send nothing, heads and bodies
 * that do not end in time, and, where the machine has no descriptors left for callers, the one that has gone longest
 * without progress. A connection on which a request runs is not closed.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { chooseClosable, computeConnectionLimit } from '@tarragonspool/core';
import { getSteadyMs } from '../time/steady-clock.js';
import { countSharingVms, type GatewayState } from './gateway-state.js';
import type { HeldShare } from '../intake/held-bytes.js';
import { countSizeCut, recordSizeCut, type SizeCut } from '../intake/size-cuts.js';

const CHECK_INTERVAL_MS = 500;
/** Bytes of a body that count as progress, so that a caller which sends single bytes makes none. */
const PROGRESS_BYTES = 4_096;
/** Added to the limits of the configuration, for bytes that are on their way. */
const SLACK_MS = 1_000;
/** Log lines in each interval; further closed connections are only counted. */
const MAX_LINES = 10;
const HEAD_TIMEOUT_ANSWER = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';

/** A body that is being read. */
type OpenBody = { readonly computeDueAt: () => number; readonly onLate: () => void };

type Connection = {
  readonly socket: Socket;
  /** Requests whose head was read, until their body and answer have ended. */
  requests: number;
  running: number;
  progressAt: number;
  /** Content since the latest progress. */
  contentBytes: number;
  /** Bytes that had been read when the latest request ended. */
  earlierBytes: number;
  /** When more was first seen than that, and no head was complete. */
  headSeenAt: number | undefined;
  body: OpenBody | undefined;
  /** Parsed bytes of a head that has not ended. */
  openHeadBytes: number;
  readonly openHead: HeldShare;
};

/** Follows what callers do on their connections. */
export type CallerConnections = {
  readonly recordRequest: (incoming: IncomingMessage, response: ServerResponse) => void;
  readonly recordContent: (incoming: IncomingMessage, bytes: number) => void;
  /** Begins to watch a body until it ends; `onLate` is called at its due time if it has not. */
  readonly recordBody: (incoming: IncomingMessage, body: OpenBody) => void;
  readonly recordRunning: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** Records bytes that were handed to the parser; between two requests they belong to a head. */
  readonly recordParsed: (socket: Socket, bytes: number) => void;
  /** Closes a connection for the bytes of it that are held. */
  readonly closeForMemory: (socket: Socket, bytes: number) => void;
};

/** Starts to follow the connections of the callers' server. */
export function followCallerConnections(server: Server, state: GatewayState): CallerConnections {
  const connections = new Map<Socket, Connection>();
  let lines = 0;
  let checkedAt = getSteadyMs();

  function close(
    connection: Connection,
    reason: SizeCut['reason'],
    bytes = connection.socket.bytesRead,
  ): void {
    const { socket } = connection;
    const cut = {
      part: 'connection',
      reason,
      bytes,
      caller: socket.remoteAddress,
    } as const;
    lines += 1;
    if (lines <= MAX_LINES) recordSizeCut(state, cut);
    else countSizeCut(state, cut);
    if (reason === 'head-timeout' && socket.writable) {
      // Nothing of the request has been read, so that it has not run.
      socket.end(HEAD_TIMEOUT_ANSWER, () => socket.destroy());
    } else if (connection.requests > 0) {
      // An answer whose end is the end of its connection must not look complete.
      socket.resetAndDestroy();
    } else socket.destroy();
    connections.delete(socket);
  }

  function closeBeyondLimit(): void {
    const { maxFds } = state.settings;
    if (maxFds === undefined) return;
    const limit = computeConnectionLimit(maxFds, countSharingVms(state));
    if (connections.size <= limit) return;
    const now = getSteadyMs();
    const candidates = [...connections.values()].map((connection) => {
      const { socket, requests, running, progressAt } = connection;
      // Bytes of a request that wait to be parsed count as progress of the caller, also after a long idle time.
      const isWaiting = requests === 0 && socket.readableLength > 0;
      return { connection, running, progressAt: isWaiting ? now : progressAt };
    });
    const closable = chooseClosable(candidates);
    if (closable !== undefined) close(closable.connection, 'descriptors');
  }

  /** Finds why a connection without a complete head is closed; undefined if it is not. */
  function findTimeout(connection: Connection, now: number): SizeCut['reason'] | undefined {
    const limits = state.configuration?.limits;
    const { socket, earlierBytes } = connection;
    // What waits here to be parsed is no fault of the caller.
    if (limits === undefined || socket.readableLength > 0) return undefined;
    if (socket.bytesRead > earlierBytes) {
      connection.headSeenAt ??= now;
      const isLate = now - connection.headSeenAt > limits.headerTimeoutMs;
      return isLate ? 'head-timeout' : undefined;
    }
    // Node closes connections that are idle after a request.
    const silentMs = now - connection.progressAt;
    const isSilent = earlierBytes === 0 && silentMs > limits.idleTimeoutMs + SLACK_MS;
    return isSilent ? 'silent' : undefined;
  }

  function check(): void {
    if (lines > MAX_LINES) {
      const unlogged = lines - MAX_LINES;
      state.logger.warn({ unlogged }, 'limits: further connections of callers closed');
    }
    lines = 0;
    const now = getSteadyMs();
    const hasStalled = now - checkedAt > 2 * CHECK_INTERVAL_MS;
    checkedAt = now;
    // What arrived while this process was paused must be read before connections are judged.
    if (hasStalled) return;
    for (const connection of connections.values()) {
      const { requests, body, socket } = connection;
      if (body !== undefined && socket.readableLength === 0 && body.computeDueAt() < now) {
        connection.body = undefined;
        body.onLate();
      }
      if (requests > 0) continue;
      const reason = findTimeout(connection, now);
      if (reason !== undefined) close(connection, reason);
    }
  }

  server.on('connection', (socket: Socket) => {
    const connection: Connection = {
      socket,
      requests: 0,
      running: 0,
      progressAt: getSteadyMs(),
      contentBytes: 0,
      earlierBytes: 0,
      headSeenAt: undefined,
      body: undefined,
      openHeadBytes: 0,
      openHead: state.heldBytes.begin('head', (bytes) => close(connection, 'memory', bytes)),
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      connection.openHead.end();
    });
    closeBeyondLimit();
  });
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  server.once('close', () => clearInterval(timer));

  return {
    recordRequest: (incoming, response) => {
      const connection = connections.get(incoming.socket);
      if (connection === undefined) return;
      connection.requests += 1;
      connection.progressAt = getSteadyMs();
      connection.headSeenAt = undefined;
      if (connection.openHeadBytes > 0) {
        connection.openHeadBytes = 0;
        connection.openHead.end();
      }
      let open = 2;
      const endPart = (): void => {
        open -= 1;
        if (open > 0) return;
        connection.requests -= 1;
        connection.progressAt = getSteadyMs();
        connection.earlierBytes = connection.socket.bytesRead;
      };
      incoming.once('close', endPart);
      response.once('close', endPart);
    },
    recordContent: ({ socket }, bytes) => {
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.contentBytes += bytes;
      if (connection.contentBytes < PROGRESS_BYTES) return;
      connection.contentBytes = 0;
      connection.progressAt = getSteadyMs();
    },
    recordBody: (incoming, body) => {
      const connection = connections.get(incoming.socket);
      if (connection === undefined) return;
      connection.body = body;
      incoming.once('close', () => {
        if (connection.body === body) connection.body = undefined;
      });
    },
    recordRunning: ({ socket }, response) => {
      const connection = connections.get(socket);
      if (connection === undefined) return;
      connection.running += 1;
      let isRunning = true;
      const endRun = (): void => {
        if (!isRunning) return;
        isRunning = false;
        connection.running -= 1;
        connection.progressAt = getSteadyMs();
      };
      // Once its last byte is written, an answer only waits for its caller to read it.
      response.once('prefinish', endRun);
      response.once('close', endRun);
    },
    recordParsed: (socket, bytes) => {
      const connection = connections.get(socket);
      if (connection === undefined || connection.requests > 0) return;
      connection.openHeadBytes += bytes;
      connection.openHead.update(connection.openHeadBytes);
    },
    closeForMemory: (socket, bytes) => {
      const connection = connections.get(socket);
      if (connection !== undefined) close(connection, 'memory', bytes);
    },
  };
}
