import { createServer, type AddressInfo, type Server } from 'node:net';
import { expect } from 'chai';
import { probeEngine } from './engine-probe.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';

function startServer(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => resolve(String((server.address() as AddressInfo).port)));
  });
}

it('engine probe: an engine that is silent has not crashed, one that refuses or closes connections has', async () => {
  const silent = createServer();
  const breaking = createServer((socket) => socket.destroy());
  const silentPort = await startServer(silent);
  const breakingPort = await startServer(breaking);
  expect(await probeEngine(HOST, silentPort, Date.now() + 50)).to.equal(true);
  expect(await probeEngine(HOST, breakingPort, Date.now() + 60_000)).to.equal(false);
  silent.close();
  breaking.close();
  expect(await probeEngine(HOST, breakingPort, Date.now() + 60_000)).to.equal(false);
});
