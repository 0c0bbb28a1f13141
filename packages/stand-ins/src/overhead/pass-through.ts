/**
 * Bare pass-through over `node:http`, which the daemon is compared with.
 * Usage: node pass-through.js IP:port IP:port-of-upstream
 */

import { Agent, createServer, request } from 'node:http';
import { pipeline } from 'node:stream';

const [host = '', port = ''] = (process.argv[2] ?? '').split(':');
const [upstreamHost = '', upstreamPort = ''] = (process.argv[3] ?? '').split(':');
const agent = new Agent({ keepAlive: true });

const server = createServer((incoming, response) => {
  const { method, headers, url: path } = incoming;
  const options = { host: upstreamHost, port: upstreamPort, method, headers, path, agent };
  const outgoing = request(options, (answer) => {
    response.writeHead(answer.statusCode ?? 502, answer.headers);
    pipeline(answer, response, () => undefined);
  });
  outgoing.on('error', () => response.destroy());
  pipeline(incoming, outgoing, () => undefined);
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host);
