import type { IncomingHttpHeaders } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import { makeUpstreamClient, type UpstreamCall, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const CLIENT_OPTIONS = {
  keepsConnections: true,
  decodeRequestId: (headers: IncomingHttpHeaders) => headers['request-id'] as string | undefined,
};

const buildUnframed = (id: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n\r\nhello`;
const buildFramed = (id: string): string =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: 5\r\n\r\nhello`;

/** Answers a request by its number from 1, and its id. */
type Answer = (socket: Socket, count: number, requestId: string) => void;

async function startServer(answer: Answer): Promise<Server> {
  let count = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      if (data.length < 10) return;
      count += 1;
      answer(socket, count, /^request-id: (.+)\r$/imu.exec(data.toString())?.[1] ?? '');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return server;
}

function buildCall(server: Server, requestId: string): UpstreamCall {
  const { port } = server.address() as AddressInfo;
  const headers = ['Host', 'a.example', 'Request-Id', requestId];
  const address = `${HOST}:${port}` as ClearedAddress;
  return { address, requestId, method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
}

async function sendCalls(answer: Answer, calls: number, pauseMs = 0): Promise<UpstreamEvent[]> {
  const server = await startServer(answer);
  const client = makeUpstreamClient(CLIENT_OPTIONS);
  const ends: UpstreamEvent[] = [];
  for (let call = 0; call < calls; call += 1) {
    // eslint-disable-next-line no-await-in-loop -- each call reuses the connection of the one before
    const end = await new Promise<UpstreamEvent>((resolve) => {
      client.send(buildCall(server, `r${call}`), (event) => {
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
  const ends = await sendCalls((socket, _count, id) => socket.end(buildUnframed(id)), 1);
  expect(ends[0]?.kind).to.equal('ended');
});

it('upstream client: an answer without length is not whole if its connection is reset', async () => {
  const ends = await sendCalls((socket, _count, id) => {
    socket.write(buildUnframed(id));
    socket.resetAndDestroy();
  }, 1);
  expect(ends[0]).to.include({ kind: 'failed', isSent: true });
});

it('upstream client: a cut answer is not whole', async () => {
  const ends = await sendCalls((socket, _count, id) => socket.end(buildFramed(id).slice(0, -2)), 1);
  expect(ends[0]).to.include({ kind: 'failed', isSent: true });
});

const buildChunked = (id: string): string =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`;
const FURTHER_BYTES = { 'bytes that are no answer': () => 'xx', 'a second answer': buildFramed };

// Guards against a whole answer that is given as a failure because bytes came right behind it.
for (const [what, buildBytes] of Object.entries(FURTHER_BYTES)) {
  it(`upstream client: an answer is whole although it comes together with ${what}, and its connection is not kept`, async () => {
    for (const buildAnswer of [buildFramed, buildChunked]) {
      const connections = new Set<Socket>();
      // eslint-disable-next-line no-await-in-loop -- one kind of answer after the other
      const ends = await sendCalls((socket, _count, id) => {
        connections.add(socket);
        socket.write(`${buildAnswer(id)}${buildBytes(id)}`);
      }, 2);
      expect(ends.map(({ kind }) => kind)).to.deep.equal(['ended', 'ended']);
      expect(connections.size).to.equal(2);
    }
  });
}

it('upstream client: a refused connection means that nothing was sent', async () => {
  const server = await startServer(() => undefined);
  const call = buildCall(server, 'r');
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const end = await new Promise<UpstreamEvent>((resolve) => {
    makeUpstreamClient(CLIENT_OPTIONS).send(call, resolve);
  });
  expect(end).to.include({ kind: 'failed', isSent: false });
});

const UNSENDABLE: Readonly<Record<string, Partial<UpstreamCall>>> = {
  'a port out of range': { address: '127.0.0.1:99999' as ClearedAddress },
  'port 0': { address: '127.0.0.1:0' as ClearedAddress },
  'no IP address': { address: '10.0.0.999:80' as ClearedAddress },
  'a header with a line break': { headers: ['X-Server', 'a\nb'] },
  'a header beyond Latin-1': { headers: ['X-Server', '\u043a'] },
  'a path with a blank': { path: '/a b' },
};

// Guards against a send that throws at its caller, which then neither ends the request nor frees its place.
for (const [what, part] of Object.entries(UNSENDABLE)) {
  it(`upstream client: a call with ${what} fails later as one of which nothing was sent`, async () => {
    const server = await startServer(() => undefined);
    const client = makeUpstreamClient(CLIENT_OPTIONS);
    const events: UpstreamEvent[] = [];
    await new Promise<void>((resolve) => {
      client.send({ ...buildCall(server, 'a'), ...part }, (event) => {
        events.push(event);
        resolve();
      });
      expect(events).to.deep.equal([]);
    });
    client.send({ ...buildCall(server, 'a'), ...part }, (event) => events.push(event)).cancel();
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
    (socket, count, id) => {
      connections.add(socket);
      socket.write(buildFramed(id));
      if (count === 1) setTimeout(() => socket.write(buildFramed(id)), 10);
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
  await sendCalls((socket, _count, id) => socket.write(buildFramed(id)), 14);
  process.off('warning', onWarning);
  expect(warnings).to.deep.equal([]);
});

it('upstream client: connections are kept for the next request', async () => {
  const connections = new Set<Socket>();
  await sendCalls((socket, _count, id) => {
    connections.add(socket);
    socket.write(buildFramed(id));
  }, 3);
  expect(connections.size).to.equal(1);
});

/** Sends one call; pauses its answer for some time after the first bytes. */
async function readAnswer(
  answer: Answer,
  pauseMs: number,
): Promise<{ end: UpstreamEvent; bytes: number; parts: number }> {
  const server = await startServer(answer);
  const client = makeUpstreamClient(CLIENT_OPTIONS);
  let bytes = 0;
  let parts = 0;
  const end = await new Promise<UpstreamEvent>((resolve) => {
    const exchange = client.send(buildCall(server, 'r0'), (event) => {
      if (event.kind === 'ended' || event.kind === 'failed') resolve(event);
      if (event.kind !== 'data') return;
      bytes += event.chunk.length;
      parts += 1;
      if (parts !== 1 || pauseMs === 0) return;
      exchange.pause();
      setTimeout(exchange.resume, pauseMs);
    });
  });
  client.close();
  server.close();
  return { end, bytes, parts };
}

const buildHead = (id: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

it('upstream client: a long answer whose caller reads late is whole, in large chunks and small ones', async () => {
  for (const chunk of ['x'.repeat(40), 'x'.repeat(65_536)]) {
    const count = Math.floor(3_000_000 / chunk.length);
    const body = `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(count);
    // eslint-disable-next-line no-await-in-loop -- one after the other
    const { end, bytes, parts } = await readAnswer((socket, _count, id) => {
      socket.write(`${buildHead(id)}${CHUNKED}${body}0\r\n\r\n`);
    }, 100);
    expect(end.kind).to.equal('ended');
    expect(bytes).to.equal(count * chunk.length);
    // Each read is handed on once, and not each chunk.
    expect(parts).to.be.below(2_000);
  }
});

// Guards against a server that takes all of the time of a VM until its call's deadline.
it('upstream client: an answer whose heads or chunk sizes have no end fails', async () => {
  const openings = [
    'HTTP/1.1 102 \r\n\r\n',
    '\r\n',
    `${buildHead('r0')}${CHUNKED}${'0'.repeat(500)}`,
  ];
  for (const opening of openings) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    const { end } = await readAnswer((socket) => {
      socket.write(opening);
      const more = opening.startsWith('HTTP/1.1 200') ? '0' : opening;
      const timer = setInterval(() => socket.write(more.repeat(1_000)), 1);
      socket.once('close', () => clearInterval(timer));
    }, 0);
    expect(end).to.deep.equal({
      kind: 'failed',
      isSent: true,
      reason: 'more framing than content',
    });
  }
});

// Guards against a call that is refused beside a sound server because this process had too much to do.
it('upstream client: a connection that opened while the process stood still is used', async () => {
  const server = await startServer((socket, _count, id) => socket.end(buildFramed(id)));
  const client = makeUpstreamClient(CLIENT_OPTIONS);
  const end = await new Promise<UpstreamEvent>((resolve) => {
    client.send(buildCall(server, 'r0'), (event) => {
      if (event.kind === 'ended' || event.kind === 'failed') resolve(event);
    });
    // The connection opens meanwhile, as the system takes it for the server.
    const standStill = (ticks: number): void => {
      if (ticks > 0) process.nextTick(standStill, ticks - 1);
      const until = performance.now() + (ticks === 0 ? 700 : 0);
      while (performance.now() < until);
    };
    standStill(20);
  });
  client.close();
  server.close();
  expect(end).to.deep.equal({ kind: 'ended' });
});
