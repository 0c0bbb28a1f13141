import { createServer, request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeChannel } from '../tasks/tasks.js';
import { makeCallerReply } from './caller-reply.js';
import type { GatewayState } from './gateway-state.js';
import { startShutdown } from './stop.js';

/** As large as an answer may be. */
const ANSWER = Buffer.alloc(4_194_304, 'a');
/** A caller reads on only after connections between requests have been closed. */
const READS_AGAIN_MS = 4_000;

/** Serves one large answer, and counts it as open until it has been sent. */
async function startServer(state: GatewayState): Promise<{ server: Server; port: number }> {
  const server = createServer((_incoming, response) => {
    const reply = makeCallerReply(response, () => state.isLeaving);
    state.openRequests += 1;
    state.openReplies.add(reply);
    response.on('close', () => {
      state.openRequests -= 1;
      state.openReplies.delete(reply);
    });
    reply.begin(200, ['Content-Length', String(ANSWER.length)]);
    reply.write(ANSWER);
    reply.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}

// Guards against an answer that is cut by a stop because its caller has not read it yet.
it('stop: an answer that its caller reads slowly is sent whole', async () => {
  const state = {
    settings: { stopWithinMs: 10_000 },
    pools: { inbox: makeChannel(8) },
    logger: pino({ level: 'silent' }),
    isLeaving: false,
    openRequests: 0,
    openReplies: new Set(),
    unreadReplies: new Set(),
  } as unknown as GatewayState;
  const { server, port } = await startServer(state);
  const bytes = new Promise<number | string>((resolve) => {
    const outgoing = request({ host: '127.0.0.1', port }, (incoming) => {
      let count = 0;
      incoming.pause();
      setTimeout(() => incoming.resume(), READS_AGAIN_MS);
      incoming.on('data', (part: Buffer) => {
        count += part.length;
        if (count < ANSWER.length) return;
        resolve(count);
      });
      incoming.on('error', (error) => resolve(String(error)));
      startShutdown(state, server, () => undefined);
    });
    outgoing.on('error', (error) => resolve(String(error)));
    outgoing.end();
  });
  expect(await bytes).to.equal(ANSWER.length);
  server.closeAllConnections();
});
