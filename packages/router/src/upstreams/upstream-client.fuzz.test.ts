import { createServer, type AddressInfo } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import fc from 'fast-check';
import { makeUpstreamClient, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';

/** An address at which nothing listens any more. */
async function findClosedAddress(): Promise<ClearedAddress> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `${HOST}:${port}` as ClearedAddress;
}

// Guards against a throw out of a send, which ends the task that sends and loses its request.
it('upstream client fuzz: whatever a call holds, send does not throw and one event says that nothing was sent', async () => {
  const address = await findClosedAddress();
  const client = makeUpstreamClient({
    keepsConnections: true,
    decodeRequestId: () => undefined,
  });
  const text = fc.oneof(fc.string(), fc.string({ unit: 'binary' }));
  const anyCall = fc.record({
    address: fc.oneof(
      fc.constant(address),
      fc.string().map((odd) => `${odd}!` as ClearedAddress),
    ),
    method: fc.oneof(fc.constantFrom('GET', 'POST'), text),
    path: fc.oneof(fc.constant('/'), text),
    headers: fc.array(text, { maxLength: 5 }),
  });
  const check = fc.asyncProperty(anyCall, async (call) => {
    const events: UpstreamEvent[] = [];
    await new Promise<void>((resolve) => {
      client.send({ ...call, requestId: 'a', body: Buffer.alloc(0) }, (event) => {
        events.push(event);
        resolve();
      });
    });
    await new Promise(setImmediate);
    expect(events.length).to.equal(1);
    expect(events[0]).to.include({ kind: 'failed', isSent: false });
  });
  await fc.assert(check);
  client.close();
});
