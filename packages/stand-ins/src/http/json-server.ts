/** Tiny JSON server for stand-ins. */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

/** Handles one request; the body is already parsed. */
export type JsonHandler = (
  call: { readonly method: string; readonly path: string; readonly body: unknown },
  response: ServerResponse,
  incoming: IncomingMessage,
) => void;

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

function parseBody(text: string): unknown {
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch {
    return text;
  }
}

/** Starts a server on `IP:port`. */
export function startJsonServer(address: string, handle: JsonHandler): void {
  const [host = '', port = ''] = address.split(':');
  const server = createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = parseBody(Buffer.concat(chunks).toString('utf8'));
      handle(
        { method: incoming.method ?? 'GET', path: incoming.url ?? '/', body },
        response,
        incoming,
      );
    });
  });
  server.keepAliveTimeout = 60_000;
  server.listen(Number(port), host);
}
