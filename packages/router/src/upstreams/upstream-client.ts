/**
 * Sends requests to servers over kept connections. Tells apart a request of which no byte left from
 * one that may have reached the server, and ends connections on which bytes come unasked, or an
 * answer that may belong to another request.
 */

import {
  Agent,
  request,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import type { CallRecord, ServerConnections } from '../answer-ends/server-connections.js';
import { findHeadFault } from '../http/answer-head.js';
import { followFraming } from '../http/framing-limit.js';
import { parseAddress } from '../http/parse-address.js';
import { checkEnd, isEndChecked } from './answer-end.js';
import {
  chooseAgent,
  findForeignReason,
  recordAnswered,
  recordCarried,
} from './carried-requests.js';
import { makeGuardedAgent } from './kept-connections.js';
import { makePieceJoiner } from './piece-joiner.js';
import { writeBody } from './request-body.js';

/** One request to a server. */
export type UpstreamCall = {
  readonly address: ClearedAddress;
  /** The id that its answer bears; undefined if the call has none. It is the same when sent again. */
  readonly requestId: string | undefined;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time for a new connection to open, in milliseconds; `CONNECT_TIMEOUT_MS` if absent. */
  readonly connectTimeoutMs?: number;
  /** Called when the request leaves over an open connection. */
  readonly onSent?: () => void;
  /** Called when a new connection has opened for the call. */
  readonly onOpened?: () => void;
  /** Called when the new connection for the call did not open. */
  readonly onNotOpened?: () => void;
};

/** What tells the end of an answer: its length, its chunks, or only the end of its connection. */
export type AnswerFraming = 'length' | 'chunks' | 'connection';

/** What happens to a call. The last event is `ended` or `failed`. */
export type UpstreamEvent =
  | {
      readonly kind: 'head';
      readonly status: number;
      readonly framing: AnswerFraming;
      readonly headers: IncomingHttpHeaders;
      readonly rawHeaders: readonly string[];
    }
  | { readonly kind: 'data'; readonly chunk: Buffer }
  | { readonly kind: 'ended' }
  /** `isSent` is false only where no byte of the request left this VM. */
  | { readonly kind: 'failed'; readonly isSent: boolean; readonly reason: string };

/** A call under way. */
export type UpstreamExchange = {
  /** Drops the call and its connection; no event comes after it. */
  readonly cancel: () => void;
  /** Drops the call and its connection and reports it as failed. */
  readonly abort: (reason: string) => void;
  readonly pause: () => void;
  readonly resume: () => void;
};

/** Sends calls. */
export type UpstreamClient = {
  readonly send: (call: UpstreamCall, onEvent: (event: UpstreamEvent) => void) => UpstreamExchange;
  /** Ends the idle connections to an address. */
  readonly dropIdle: (address: string) => void;
  readonly close: () => void;
};

/** A server that is reachable takes a connection within this time. */
const CONNECT_TIMEOUT_MS = 500;
function watchConnect(
  outgoing: ClientRequest,
  { connectTimeoutMs = CONNECT_TIMEOUT_MS, onOpened }: UpstreamCall,
  onConnected: () => void,
): void {
  outgoing.on('socket', (socket) => {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      onConnected();
      return;
    }
    const giveUp = (): void => {
      if (socket.connecting) outgoing.destroy(new Error('connect timeout'));
    };
    // A process that stood still hears of the connection only after its timers.
    const timer = setTimeout(() => setImmediate(giveUp), connectTimeoutMs);
    socket.once('connect', () => {
      clearTimeout(timer);
      onOpened?.();
      onConnected();
    });
    socket.once('close', () => clearTimeout(timer));
  });
}

/** Why an answer failed whose server ended the connection before it had received the whole request. */
const UNWRITTEN = 'ended before its request was written';
/** Writes an empty line to a connection that the server ended: it fails if the server reset it. */
const END_PROBE = '\r\n';

function findFraming({ headers, statusCode }: IncomingMessage): AnswerFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  const hasNoBody = statusCode === 204 || statusCode === 304;
  return hasNoBody || headers['content-length'] !== undefined ? 'length' : 'connection';
}

/** How a client treats its connections and answers. */
export type UpstreamClientOptions = {
  readonly keepsConnections: boolean;
  /** Finds the id of the request that an answer names. */
  readonly decodeRequestId: (headers: IncomingHttpHeaders) => string | undefined;
  /** Called when an answer is cut off whose framing has no end, with the bytes that have come. */
  readonly onOverFramed?: (call: UpstreamCall, bytes: number) => void;
  /** Called with the number of bytes of each part of an answer. */
  readonly onRead?: (bytes: number) => void;
  /** Remembers the connections. */
  readonly connections?: ServerConnections;
};

/** Begins a request; what cannot be put into one makes Node throw, and nothing is sent. */
function openRequest(agent: Agent, call: UpstreamCall): ClientRequest | Error {
  const { method, path, requestId } = call;
  const address = parseAddress(call.address);
  if (address === undefined) return new Error('address is not IP:PORT');
  try {
    const chosen = chooseAgent(agent, address, requestId);
    return request({ ...address, agent: chosen, method, path, headers: call.headers as string[] });
  } catch (error) {
    return error as Error;
  }
}

/** Reports a call that could not be begun; like all events this one comes after `send` has returned. */
function failUnsent({ message }: Error, emit: (event: UpstreamEvent) => void): UpstreamExchange {
  let isOver = false;
  const fail = (reason: string): void => {
    if (isOver) return;
    isOver = true;
    emit({ kind: 'failed', isSent: false, reason });
  };
  process.nextTick(fail, message);
  const ignore = (): void => undefined;
  const cancel = (): void => {
    isOver = true;
  };
  return { cancel, abort: fail, pause: ignore, resume: ignore };
}

function startExchange(
  agent: Agent,
  { decodeRequestId, onOverFramed, onRead, connections }: UpstreamClientOptions,
  call: UpstreamCall,
  emit: (event: UpstreamEvent) => void,
): UpstreamExchange {
  const { requestId } = call;
  const opened = openRequest(agent, call);
  if (opened instanceof Error) return failUnsent(opened, emit);
  const outgoing: ClientRequest = opened;
  let isSent = false;
  let isOpening = false;
  let isOver = false;
  let socketError: string | undefined;
  let answer: IncomingMessage | undefined;
  let isProbing = false;
  let hasEnded = false;
  let contentBytes = 0;
  /** Bytes that earlier requests wrote to the connection. */
  let earlierBytes = 0;
  let record: CallRecord | undefined;
  /** Whether the request had been written when the latest bytes of the answer came. */
  let isWritten = false;
  const joiner = makePieceJoiner((chunk) => {
    if (!isOver) emit({ kind: 'data', chunk });
  });

  function finish(event: UpstreamEvent): void {
    joiner.flush();
    if (isOver) return;
    isOver = true;
    emit(event);
  }

  function fail(reason: string): void {
    if (isOver) return;
    if (isOpening && !isSent) call.onNotOpened?.();
    finish({ kind: 'failed', isSent, reason });
    outgoing.destroy();
  }

  function finishWhole(): void {
    if (socketError === undefined) finish({ kind: 'ended' });
    else fail(socketError);
  }

  /** An answer that ends with its connection is whole only if the connection was not reset. */
  function probeEnd(socket: Socket): void {
    if (isOver || answer === undefined || findFraming(answer) !== 'connection') return;
    if (!isWritten) {
      fail(UNWRITTEN);
      return;
    }
    isProbing = true;
    socket.write(END_PROBE, (error) => {
      isProbing = false;
      socketError ??= error?.message;
      if (hasEnded) finishWhole();
    });
  }

  const countRequestBytes = (): number => (outgoing.socket?.bytesWritten ?? 0) - earlierBytes;

  function checkLongEnd(socket: Socket): void {
    const requestBytes = countRequestBytes();
    if (!isEndChecked(requestBytes)) return;
    const onUnacknowledged = (): void => fail(UNWRITTEN);
    checkEnd(socket, { requestBytes, isWritten: () => isWritten, onUnacknowledged });
    // The check delays the listeners that the connection has had.
    socket.prependOnceListener('end', () => record?.recordClosed());
  }

  watchConnect(outgoing, call, () => {
    isSent = true;
    call.onSent?.();
  });
  outgoing.on('socket', (socket) => {
    isOpening = socket.connecting;
    earlierBytes = socket.bytesWritten;
    record = connections?.beginCall(socket, call.address, requestId);
    if (requestId !== undefined) recordCarried(socket, requestId);
    const noteError = (error: Error): void => {
      socketError = error.message;
    };
    const noteEnd = (): void => probeEnd(socket);
    socket.prependListener('error', noteError);
    socket.prependListener('end', noteEnd);
    outgoing.once('close', () => {
      socket.off('error', noteError);
      socket.off('end', noteEnd);
    });
  });
  followFraming(
    outgoing,
    () => contentBytes,
    (readBytes) => {
      // What follows a whole answer belongs to no request.
      if (isOver || answer?.complete === true) return;
      onOverFramed?.(call, readBytes);
      fail('more framing than content');
    },
  );
  outgoing.on('information', () => undefined);
  outgoing.on('response', (message) => {
    answer = message;
    isWritten = outgoing.writableFinished;
    const { statusCode: status = 0, headers, rawHeaders } = message;
    const framing = findFraming(message);
    message.on('data', (piece: Buffer) => {
      contentBytes += piece.length;
      record?.recordPart();
      isWritten = outgoing.writableFinished;
      onRead?.(piece.length);
      if (!isOver) joiner.add(piece);
    });
    message.on('error', (error) => fail(error.message));
    message.on('end', () => {
      hasEnded = message.complete;
      if (message.complete) record?.recordWhole();
      recordAnswered(outgoing, countRequestBytes());
      if (!message.complete) fail('cut off');
      else if (!isProbing) finishWhole();
    });
    message.on('close', () => {
      if (!hasEnded) fail('closed before its end');
    });
    const answerId = decodeRequestId(headers);
    // It could be written again as the answer to a later request.
    if (answerId === undefined) outgoing.shouldKeepAlive = false;
    const isReused = outgoing.reusedSocket;
    const fault =
      findForeignReason({ requestId, answerId, isReused }) ?? findHeadFault(status, rawHeaders);
    if (fault !== undefined) fail(fault);
    record?.recordHead(framing === 'connection');
    if (isOver) return;
    if (framing === 'connection' && outgoing.socket !== null) checkLongEnd(outgoing.socket);
    emit({ kind: 'head', status, framing, headers, rawHeaders });
  });
  // Of an answer that is whole its own end is still to come; what follows it belongs to no request.
  outgoing.on('error', (error) => {
    if (answer?.complete !== true) fail(error.message);
  });
  outgoing.on('close', () => {
    if (!hasEnded && answer?.complete !== true) fail('closed without an answer');
  });
  writeBody(outgoing, call.body);

  return {
    cancel: () => {
      isOver = true;
      outgoing.destroy();
    },
    abort: (reason) => {
      // Whoever aborts a call has no use for the rest, and may have no room.
      joiner.drop();
      fail(reason);
    },
    pause: () => {
      record?.recordPaused(true);
      answer?.pause();
    },
    resume: () => {
      record?.recordPaused(false);
      answer?.resume();
    },
  };
}

/**
 * Makes a client with connections of its own. Without `keepsConnections` each call has a new one, so
 * that no late answer to an earlier call can be taken for its own.
 */
export function makeUpstreamClient(options: UpstreamClientOptions): UpstreamClient {
  const agent = options.keepsConnections ? makeGuardedAgent() : new Agent({ keepAlive: false });
  return {
    send: (call, onEvent) => startExchange(agent, options, call, onEvent),
    dropIdle: (address) => {
      const target = parseAddress(address);
      if (target === undefined) return;
      const name = agent.getName(target);
      for (const socket of agent.freeSockets[name] ?? []) socket.destroy();
    },
    close: () => agent.destroy(),
  };
}
