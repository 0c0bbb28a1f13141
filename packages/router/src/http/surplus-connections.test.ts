import { createServer, get } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { closeSurplusConnections } from './surplus-connections.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const MAX_CONNECTIONS = 8;
const SILENT_CALLERS = 50;

// Guards against connections that send nothing and take all descriptors, or all places of a small port.
it('surplus connections: silent connections are closed, the oldest first, and requests are answered', async () => {
  const server = createServer((_incoming, response) => response.end('ready'));
  closeSurplusConnections(server, MAX_CONNECTIONS);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const ask = (): Promise<number | undefined> =>
    new Promise((resolve, reject) => {
      get({ host: HOST, port, agent: false }, (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      }).on('error', reject);
    });
  const countOpen = (): Promise<number> =>
    new Promise((resolve) => {
      server.getConnections((_error, count) => resolve(count));
    });
  const silent: Socket[] = [];
  try {
    for (let opened = 0; opened < SILENT_CALLERS; opened += 1) {
      const socket = connect(port, HOST);
      socket.on('error', () => undefined);
      silent.push(socket);
      // eslint-disable-next-line no-await-in-loop -- one after the other
      expect(await ask()).to.equal(200);
      // eslint-disable-next-line no-await-in-loop -- as above
      expect(await countOpen()).to.be.at.most(MAX_CONNECTIONS + 1);
    }
  } finally {
    for (const socket of silent) socket.destroy();
    server.close();
  }
});
