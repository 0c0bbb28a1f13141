import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import { makeUpstreamClient, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const ROUNDS = 5;
/** The end of an answer to a long request is delayed by this time. */
const RESET_MS = 50;
/**
 * This VM's kernel takes each of them at once, and a server's kernel takes less for a process that does not read. Of
 * 400,000 bytes it acknowledged all in some runs, and then nothing shows that they were not read.
 */
const LONG_UPLOADS = [1_048_576, 3_500_000];

/** Called with each part of a request that a server has read. */
type OnPart = (socket: Socket, answer: string, readBytes: number) => void;

type Sent = { readonly end: UpstreamEvent; readonly tookMs: number };

/** Sends uploads one after the other, each on a connection of its own. */
async function sendUploads(bodyBytes: number, onPart: OnPart): Promise<Sent[]> {
  const sockets: Socket[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    let answer = '';
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const requestId = /^request-id: (.+)\r$/imu.exec(bytes.toString('latin1'))?.[1];
      if (requestId !== undefined) {
        answer = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n\r\npart`;
      }
      onPart(socket, answer, socket.bytesRead);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const address = `${HOST}:${(server.address() as AddressInfo).port}` as ClearedAddress;
  const client = makeUpstreamClient({
    keepsConnections: true,
    decodeRequestId: (headers) => headers['request-id'] as string | undefined,
  });
  const body = Buffer.alloc(bodyBytes, 'a');
  const sent: Sent[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const requestId = `r${round}`;
    const headers = ['Host', 'a', 'Request-Id', requestId, 'Content-Length', String(bodyBytes)];
    const call = { address, requestId, method: 'POST', path: '/', headers, body };
    const startedAt = performance.now();
    // eslint-disable-next-line no-await-in-loop -- one after the other
    const end = await new Promise<UpstreamEvent>((resolve) => {
      client.send(call, (event) => {
        if (event.kind === 'ended' || event.kind === 'failed') resolve(event);
      });
    });
    sent.push({ end, tookMs: performance.now() - startedAt });
  }
  client.close();
  server.close();
  for (const socket of sockets) socket.destroy();
  return sent;
}

/** Calls `onFirst` for the first part of a request only. */
function makeFirstPart(onFirst: (socket: Socket, answer: string) => void): OnPart {
  const seen = new Set<Socket>();
  return (socket, answer) => {
    if (seen.has(socket)) return;
    seen.add(socket);
    onFirst(socket, answer);
  };
}

/** Ways of a server to end its connection with the rest of an upload unread, by their names. */
const EARLY_ENDS: readonly [string, (socket: Socket, answer: string) => void][] = [
  [
    'ends its sending side at once',
    (socket, answer) => {
      socket.pause();
      socket.end(answer);
    },
  ],
  [
    'ends its sending side when the kernel has taken the rest',
    (socket, answer) => {
      socket.pause();
      setTimeout(() => socket.end(answer), 20);
    },
  ],
  [
    'sends more of its answer when the kernel has taken the rest, and ends its sending side',
    (socket, answer) => {
      socket.pause();
      socket.write(answer);
      setTimeout(() => socket.end('more'), 20);
    },
  ],
  [
    'ends its sending side, and closes a little later',
    (socket, answer) => {
      socket.pause();
      setTimeout(() => {
        socket.end(answer);
        setTimeout(() => socket.destroy(), 5);
      }, 20);
    },
  ],
];

// Guards against part of an answer that is given as a success: its server ended it with the rest of the upload unread.
for (const bytes of LONG_UPLOADS) {
  for (const [what, endEarly] of EARLY_ENDS) {
    it(`answer end: an answer to an upload of ${bytes} bytes whose server ${what} is not whole`, async () => {
      const sent = await sendUploads(bytes, makeFirstPart(endEarly));
      for (const { end } of sent) expect(end).to.include({ kind: 'failed', isSent: true });
    });
  }
}

// Guards against the same where the connection's end is read before the reset that the rest of the upload causes.
it('answer end: an answer whose connection is reset shortly after its end is not whole', async () => {
  const sent = await sendUploads(
    30_000,
    makeFirstPart((socket, answer) => {
      socket.end(answer);
      setTimeout(() => socket.resetAndDestroy(), 10);
    }),
  );
  for (const { end } of sent) expect(end).to.include({ kind: 'failed', isSent: true });
});

// Guards against whole answers that are taken for failures.
for (const bytes of [2, 30_000, 400_000, ...LONG_UPLOADS]) {
  it(`answer end: an answer to ${bytes} bytes that were all read is whole`, async () => {
    const sent = await sendUploads(bytes, (socket, answer, readBytes) => {
      if (readBytes > bytes && socket.writable) socket.end(answer, () => socket.destroy());
    });
    for (const { end } of sent) expect(end).to.deep.equal({ kind: 'ended' });
  });
}

// Guards against a wait that ordinary requests pay for.
it('answer end: the answer to a request of one segment is not held back', async () => {
  const sent = await sendUploads(2, (socket, answer) => socket.end(answer));
  expect(Math.min(...sent.map(({ tookMs }) => tookMs))).to.be.below(RESET_MS);
});
