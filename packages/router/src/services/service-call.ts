/** Forwards a call to a server of a plain service. */

import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import { makeByteCollector } from '@tarragonspool/core';
import type { Exchange } from '../callers/exchange.js';
import { endBrokenAnswer } from '../http/broken-answers.js';
import { findExcess } from '../http/size-limit.js';
import type { ServerEntry } from '../upstreams/directory.js';

/** Destination and deadline of a call. */
export type ServiceCall = {
  readonly server: ServerEntry;
  readonly agent: Agent;
  readonly path: string;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
};

/** A request on a connected socket of which no byte has been sent. */
export type OpenCall = { readonly outgoing: ClientRequest };

/** Result of connecting to a server. */
export type OpenResult =
  | { readonly kind: 'open'; readonly call: OpenCall }
  | { readonly kind: 'unsent'; readonly detail: string };

/** The whole answer of a server, or why there is none. */
export type ServiceAnswer =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'unknown'; readonly detail: string };

const MAX_ANSWER_BYTES = 16_777_216;
const CONNECT_TIMEOUT_MS = 1_000;

/** Hop-by-hop headers, and `host` and `authorization`, which are meant for the router only. */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'proxy-authorization',
  'proxy-authenticate',
  'host',
  'authorization',
]);

function copyHeaders(incoming: IncomingMessage): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined && !UNFORWARDED_HEADERS.has(name)) headers[name] = value;
  }
  return headers;
}

/** Connects to a server without sending anything. */
export function createCall(exchange: Exchange, call: ServiceCall): Promise<OpenResult> {
  const headers = { ...copyHeaders(exchange.incoming), 'x-request-id': exchange.requestId };
  const { agent, deadline } = call;
  const url = `${call.server.url}${call.path}`;
  const outgoing = request(url, { method: exchange.incoming.method, headers, agent });
  const connectDeadline = Math.min(deadline, Date.now() + CONNECT_TIMEOUT_MS);
  return new Promise((resolve) => {
    const timer = setTimeout(
      () => outgoing.destroy(new Error('connecting to the server timed out')),
      Math.max(0, connectDeadline - Date.now()),
    );
    const open = (): void => {
      clearTimeout(timer);
      resolve({ kind: 'open', call: { outgoing } });
    };
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', open);
      else open();
    });
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      resolve({ kind: 'unsent', detail: error.message });
    });
  });
}

/** Destroys the request when its deadline passes. */
function scheduleTimeout(outgoing: ClientRequest, deadline: number): void {
  const timer = setTimeout(
    () => outgoing.destroy(new Error('call deadline passed')),
    Math.max(0, deadline - Date.now()),
  );
  outgoing.on('close', () => clearTimeout(timer));
}

/**
 * Streams a call and its answer; resolves with an error text if it failed before the answer began.
 */
export function streamServiceCall(
  exchange: Exchange,
  { outgoing }: OpenCall,
  deadline: number,
): Promise<string | undefined> {
  const { incoming, response } = exchange;
  return new Promise((resolve) => {
    outgoing.on('response', (answer) => {
      const headers = copyHeaders(answer);
      response.writeHead(answer.statusCode ?? 502, headers);
      // Avoids `pipeline`, whose abort signal costs as much time as the rest of the call.
      answer.pipe(response);
      const hasLength = headers['content-length'] !== undefined;
      answer.on('error', () => endBrokenAnswer(response, !hasLength && !response.chunkedEncoding));
    });
    outgoing.on('error', (error) => resolve(error.message));
    scheduleTimeout(outgoing, deadline);
    response.on('close', () => {
      outgoing.destroy();
      resolve(undefined);
    });
    incoming.pipe(outgoing);
  });
}

function readAnswer(answer: IncomingMessage, onAnswer: (answer: ServiceAnswer) => void): void {
  const body = makeByteCollector();
  answer.on('data', (chunk: Buffer) => {
    body.append(chunk);
    if (findExcess(body, MAX_ANSWER_BYTES) === undefined) return;
    body.take();
    onAnswer({ kind: 'too-large' });
    answer.destroy();
  });
  answer.on('error', (error) => onAnswer({ kind: 'unknown', detail: error.message }));
  answer.on('end', () => {
    onAnswer({
      kind: 'answer',
      status: answer.statusCode ?? 502,
      contentType: answer.headers['content-type'] ?? 'application/octet-stream',
      body: body.take(),
    });
  });
}

/** Sends the whole body synchronously and waits for the whole answer. */
export function sendServiceCall(
  { outgoing }: OpenCall,
  body: Buffer,
  deadline: number,
): Promise<ServiceAnswer> {
  return new Promise((resolve) => {
    outgoing.on('response', (answer) => readAnswer(answer, resolve));
    outgoing.on('error', (error) => resolve({ kind: 'unknown', detail: error.message }));
    scheduleTimeout(outgoing, deadline);
    outgoing.end(body);
  });
}
