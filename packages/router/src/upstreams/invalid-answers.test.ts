import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import { makeUpstreamClient, type UpstreamClient, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
/** The system takes the first one at once, also for a server that reads nothing; of the other one a part waits here. */
const UPLOADS = [1_048_576, 64 * 1_048_576];
const [, LONG_UPLOAD = 0] = UPLOADS;
const HEAD_END = '\r\n\r\n';

/** Called with each part of a request that a server has read, and the number of the part from 1. */
type OnPart = (socket: Socket, requestId: string, part: number) => void;

/** A call that has not ended by then hangs. */
const HANG_MS = 5_000;

type TestServer = { readonly address: ClearedAddress; readonly close: () => void };

async function startServer(onPart: OnPart): Promise<TestServer> {
  const sockets = new Set<Socket>();
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    let requestId = '';
    let part = 0;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      part += 1;
      const named = /^request-id: (.+)\r$/imu.exec(bytes.toString('latin1'))?.[1];
      if (named !== undefined) requestId = named;
      onPart(socket, requestId, part);
    });
    socket.on('end', () => socket.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${HOST}:${port}` as ClearedAddress,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Sends a call; its end is undefined if it hangs. */
function sendUpload(
  client: UpstreamClient,
  address: ClearedAddress,
  requestId: string,
  bodyBytes: number,
): Promise<UpstreamEvent | undefined> {
  const body = Buffer.alloc(bodyBytes, 'a');
  const headers = ['Host', 'a', 'Request-Id', requestId, 'Content-Length', String(bodyBytes)];
  return new Promise((resolve) => {
    const call = { address, requestId, method: 'POST', path: '/', headers, body };
    let timer: NodeJS.Timeout | undefined;
    const exchange = client.send(call, (event) => {
      if (event.kind !== 'ended' && event.kind !== 'failed') return;
      clearTimeout(timer);
      resolve(event);
    });
    timer = setTimeout(() => {
      exchange.cancel();
      resolve(undefined);
    }, HANG_MS);
  });
}

async function sendUploads(
  bodyBytes: number,
  count: number,
  onPart: OnPart,
): Promise<(UpstreamEvent | undefined)[]> {
  const server = await startServer(onPart);
  const client = makeUpstreamClient({
    keepsConnections: true,
    decodeRequestId: (headers) => headers['request-id'] as string | undefined,
  });
  const ends: (UpstreamEvent | undefined)[] = [];
  for (let sent = 0; sent < count; sent += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    ends.push(await sendUpload(client, server.address, `r${sent}`, bodyBytes));
  }
  client.close();
  server.close();
  return ends;
}

function buildUnframed(requestId: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}${HEAD_END}part`;
}

// Guards against part of an answer that is given as a success: its server closed in the middle of the upload.
for (const [bytes, readsOn] of UPLOADS.flatMap((size) => [
  [size, false] as const,
  [size, true] as const,
])) {
  it(`invalid answers: one that ends with its connection while its request is being written is not whole (${bytes} bytes, server ${readsOn ? 'reads on' : 'stops reading'})`, async () => {
    const ends = await sendUploads(bytes, 3, (socket, requestId, part) => {
      if (part !== 1) return;
      if (!readsOn) socket.pause();
      socket.end(buildUnframed(requestId));
    });
    for (const end of ends) {
      expect(end).to.deep.equal({
        kind: 'failed',
        isSent: true,
        reason: 'ended before its request was written',
      });
    }
  });
}

// Guards against answers without a length that are taken for failures because they began early.
it('invalid answers: one that began while its request was being written is whole if it ends after that', async () => {
  let readBytes = 0;
  const ends = await sendUploads(8 * 1_048_576, 1, (socket, requestId, part) => {
    if (part === 1) {
      socket.write(buildUnframed(requestId));
      // The server reads on after a while, so that the answer begins first.
      socket.pause();
      setTimeout(() => socket.resume(), 50);
    }
    readBytes = socket.bytesRead;
    if (readBytes > 8 * 1_048_576) socket.end('rest');
  });
  expect(ends).to.deep.equal([{ kind: 'ended' }]);
});

it('invalid answers: one whose length has come is whole although its request is still being written', async () => {
  const ends = await sendUploads(LONG_UPLOAD, 1, (socket, requestId, part) => {
    if (part !== 1) return;
    socket.pause();
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: 4${HEAD_END}`;
    socket.end(`${head}part`);
  });
  expect(ends).to.deep.equal([{ kind: 'ended' }]);
});

const NO_ANSWERS = ['000', '099', '20', '199', '600', '700', '999', '1000'];

for (const status of NO_ANSWERS) {
  // Guards against statuses that callers do not know, and against a kept connection on which the server reads nothing more.
  it(`invalid answers: status ${status} is no answer, and its connection is not used again`, async () => {
    const answered = new Set<Socket>();
    const ends = await sendUploads(2, 3, (socket, requestId) => {
      if (answered.has(socket)) return;
      answered.add(socket);
      const head = `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${requestId}\r\nContent-Length: 2`;
      socket.write(`${head}${HEAD_END}ok`);
    });
    expect(ends.map((end) => end?.kind)).to.deep.equal(['failed', 'failed', 'failed']);
    expect(answered.size).to.equal(3);
  });
}

it('invalid answers: the first and the last status of answers are answers', async () => {
  for (const status of ['200', '299', '421', '599']) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    const ends = await sendUploads(2, 2, (socket, requestId, part) => {
      if (part > 2) return;
      const head = `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${requestId}\r\nContent-Length: 2`;
      socket.write(`${head}${HEAD_END}ok`);
    });
    expect(ends, status).to.deep.equal([{ kind: 'ended' }, { kind: 'ended' }]);
  }
});
