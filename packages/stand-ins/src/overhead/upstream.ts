/**
 * Upstream without delays of its own, for measuring what the daemon costs: a plain service, an
 * engine, and the same chunks as a ready-made stream. Usage: node upstream.js IP:port
 */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { DecodeOrder } from '@tarragonspool/protocol';
import { CHUNK_GAP_MS, CHUNKS, TOKEN_TEXT } from './sizes.js';

const LOAD = {
  role: 'prefill',
  queuedPrefillTokens: 0,
  decodeStreams: 0,
  decodePlaces: 1_000,
  freePieces: 100_000,
  totalPieces: 100_000,
  loadedTargets: [],
  fencingNumber: 0,
};

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Writes lines one after another, then ends the response. */
function sendLines(response: ServerResponse, contentType: string, lines: readonly string[]): void {
  response.writeHead(200, { 'content-type': contentType });
  let next = 0;
  const timer = setInterval(() => {
    const line = lines[next];
    next += 1;
    if (line !== undefined && !response.destroyed) {
      response.write(line);
      return;
    }
    clearInterval(timer);
    response.end();
  }, CHUNK_GAP_MS);
}

function makeChunks(): string[] {
  const common = `"id":"chatcmpl-0","object":"chat.completion.chunk","created":1,"model":"overhead"`;
  const chunks = Array.from({ length: CHUNKS }, () => {
    const choice = `{"index":0,"delta":{"content":"${TOKEN_TEXT}"},"finish_reason":null}`;
    return `data: {${common},"choices":[${choice}]}\n\n`;
  });
  return [...chunks, 'data: [DONE]\n\n'];
}

function makeFrames(text: string): string[] {
  const { attemptId } = (JSON.parse(text) as DecodeOrder).owner;
  const frames: unknown[] = [{ kind: 'imported', attemptId }];
  for (let index = 0; index < CHUNKS; index += 1) {
    frames.push({ kind: 'token', attemptId, index, text: TOKEN_TEXT });
  }
  frames.push({ kind: 'end', attemptId, tokens: CHUNKS, finishReason: 'stop' });
  return frames.map((frame) => `${JSON.stringify(frame)}\n`);
}

function answer(path: string, text: string, response: ServerResponse): void {
  switch (path) {
    case '/prefill':
      sendJson(response, { promptTokens: 100, cachedTokens: 0, kvBytes: 1_000 });
      return;
    case '/decode':
      sendLines(response, 'application/x-ndjson', makeFrames(text));
      return;
    case '/v1/chat/completions':
      sendLines(response, 'text/event-stream', makeChunks());
      return;
    case '/holds':
      sendJson(response, []);
      return;
    case '/load':
      sendJson(response, { ...LOAD, measuredAt: Date.now() });
      return;
    default:
      if (path.startsWith('/cache-events')) sendJson(response, { events: [], latest: 0 });
      else sendJson(response, { isDone: true, path });
  }
}

function handleRequest(incoming: IncomingMessage, response: ServerResponse): void {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  incoming.on('end', () => {
    answer(incoming.url ?? '/', Buffer.concat(chunks).toString('utf8'), response);
  });
}

const [host = '', port = ''] = (process.argv[2] ?? '').split(':');
const server = createServer(handleRequest);
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host);
