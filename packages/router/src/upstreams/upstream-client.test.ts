import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import { makeUpstreamClient, type UpstreamCall, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const UNFRAMED = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhello';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello';

type Answer = (socket: Socket, count: number) => void;

async function startServer(answer: Answer): Promise<Server> {
  let count = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      if (data.length < 10) return;
      count += 1;
      answer(socket, count);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return server;
}

function buildCall(server: Server): UpstreamCall {
  const { port } = server.address() as AddressInfo;
  const headers = ['Host', 'a.example'];
  const address = `${HOST}:${port}` as ClearedAddress;
  return { address, method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
}

async function sendCalls(answer: Answer, calls: number, pauseMs = 0): Promise<UpstreamEvent[]> {
  const server = await startServer(answer);
  const client = makeUpstreamClient();
  const ends: UpstreamEvent[] = [];
  for (let call = 0; call < calls; call += 1) {
    // eslint-disable-next-line no-await-in-loop -- each call reuses the connection of the one before
    const end = await new Promise<UpstreamEvent>((resolve) => {
      client.send(buildCall(server), (event) => {
        if (event.kind === 'ended' || event.kind === 'failed') resolve(event);
      });
    });
    ends.push(end);
    // eslint-disable-next-line no-await-in-loop -- as above
    await new Promise((resolve) => {
      setTimeout(resolve, pauseMs);
    });
  }
  client.close();
  server.close();
  return ends;
}

it('upstream client: an answer without length is whole if its connection ends', async () => {
  const ends = await sendCalls((socket) => socket.end(UNFRAMED), 1);
  expect(ends[0]?.kind).to.equal('ended');
});

it('upstream client: an answer without length is not whole if its connection is reset', async () => {
  const ends = await sendCalls((socket) => {
    socket.write(UNFRAMED);
    socket.resetAndDestroy();
  }, 1);
  expect(ends[0]).to.include({ kind: 'failed', isSent: true });
});

it('upstream client: a cut answer is not whole', async () => {
  const ends = await sendCalls((socket) => socket.end(FRAMED.slice(0, -2)), 1);
  expect(ends[0]).to.include({ kind: 'failed', isSent: true });
});

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n';
const FURTHER_BYTES = { 'bytes that are no answer': 'xx', 'a second answer': FRAMED };

// Guards against a whole answer that is given as a failure because bytes came right behind it.
for (const [what, bytes] of Object.entries(FURTHER_BYTES)) {
  it(`upstream client: an answer is whole although it comes together with ${what}, and its connection is not kept`, async () => {
    for (const answer of [FRAMED, CHUNKED]) {
      const connections = new Set<Socket>();
      // eslint-disable-next-line no-await-in-loop -- one kind of answer after the other
      const ends = await sendCalls((socket) => {
        connections.add(socket);
        socket.write(`${answer}${bytes}`);
      }, 2);
      expect(ends.map(({ kind }) => kind)).to.deep.equal(['ended', 'ended']);
      expect(connections.size).to.equal(2);
    }
  });
}

it('upstream client: a refused connection means that nothing was sent', async () => {
  const server = await startServer(() => undefined);
  const call = buildCall(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const end = await new Promise<UpstreamEvent>((resolve) => {
    makeUpstreamClient().send(call, resolve);
  });
  expect(end).to.include({ kind: 'failed', isSent: false });
});

const UNSENDABLE: Readonly<Record<string, Partial<UpstreamCall>>> = {
  'a port out of range': { address: '127.0.0.1:99999' as ClearedAddress },
  'port 0': { address: '127.0.0.1:0' as ClearedAddress },
  'no IP address': { address: '10.0.0.999:80' as ClearedAddress },
  'a header with a line break': { headers: ['Expect-Instance', 'a\nb'] },
  'a header beyond Latin-1': { headers: ['Expect-Instance', '\u043a'] },
  'a path with a blank': { path: '/a b' },
};

// Guards against a send that throws at its caller, which then neither ends the request nor frees its place.
for (const [what, part] of Object.entries(UNSENDABLE)) {
  it(`upstream client: a call with ${what} fails later as one of which nothing was sent`, async () => {
    const server = await startServer(() => undefined);
    const client = makeUpstreamClient();
    const events: UpstreamEvent[] = [];
    await new Promise<void>((resolve) => {
      client.send({ ...buildCall(server), ...part }, (event) => {
        events.push(event);
        resolve();
      });
      expect(events).to.deep.equal([]);
    });
    client.send({ ...buildCall(server), ...part }, (event) => events.push(event)).cancel();
    await new Promise(setImmediate);
    server.close();
    client.close();
    expect(events.length).to.equal(1);
    expect(events[0]).to.include({ kind: 'failed', isSent: false });
  });
}

it('upstream client: a second answer on an idle connection belongs to no request', async () => {
  const connections = new Set<Socket>();
  const ends = await sendCalls(
    (socket, count) => {
      connections.add(socket);
      socket.write(FRAMED);
      if (count === 1) setTimeout(() => socket.write(FRAMED), 10);
    },
    2,
    60,
  );
  expect(ends.map(({ kind }) => kind)).to.deep.equal(['ended', 'ended']);
  expect(connections.size).to.equal(2);
});

it('upstream client: a kept connection gathers no listeners', async () => {
  const warnings: string[] = [];
  const onWarning = (warning: Error): number => warnings.push(warning.name);
  process.on('warning', onWarning);
  await sendCalls((socket) => socket.write(FRAMED), 14);
  process.off('warning', onWarning);
  expect(warnings).to.deep.equal([]);
});

it('upstream client: connections are kept for the next request', async () => {
  const connections = new Set<Socket>();
  await sendCalls((socket) => {
    connections.add(socket);
    socket.write(FRAMED);
  }, 3);
  expect(connections.size).to.equal(1);
});
