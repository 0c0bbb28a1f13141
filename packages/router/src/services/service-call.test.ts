import { once } from 'node:events';
import { Agent, createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { Exchange } from '../callers/exchange.js';
import { createCall, streamServiceCall } from './service-call.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';

function listen(handle: (incoming: IncomingMessage, response: ServerResponse) => void) {
  const server = createServer(handle);
  return new Promise<{ port: number; stop: () => void }>((resolve) => {
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      const stop = (): void => {
        server.close();
        server.closeAllConnections();
      };
      resolve({ port, stop });
    });
  });
}

// Guards against a broken answer of a plain service that looks whole to a caller of HTTP/1.0.
it('service calls: an answer that its server breaks off is reset for a caller of HTTP/1.0', async () => {
  const service = await listen((_incoming, response) => {
    response.write('half of the');
    setTimeout(() => response.socket?.resetAndDestroy(), 20);
  });
  const agent = new Agent();
  const entry = { url: `http://${HOST}:${service.port}`, isLeaving: false };
  const server = { ...entry, upstreamId: 'a' as UpstreamId, service: 'ledger' as ServiceName };
  const deadline = Date.now() + 5_000;
  type Call = Parameters<typeof createCall>[1];
  const call = { server, agent, deadline, path: '/' } as unknown as Call;
  const forward = async (exchange: Exchange): Promise<void> => {
    const opened = await createCall(exchange, call);
    if (opened.kind === 'open') await streamServiceCall(exchange, opened.call, deadline);
  };
  const gateway = await listen((incoming, response) => {
    forward({ incoming, response, requestId: 'r' } as unknown as Exchange).catch(() =>
      response.destroy(),
    );
  });
  const socket = connect({ host: HOST, port: gateway.port });
  socket.write('GET / HTTP/1.0\r\n\r\n');
  socket.resume();
  const [hadError] = (await once(socket, 'close').catch(() => [true])) as [boolean];
  expect(hadError).to.equal(true);
  agent.destroy();
  gateway.stop();
  service.stop();
});
