import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import { makeUpstreamClient, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
/** A call that has not ended by then hangs. */
const HANG_MS = 3_000;
/** The kernels of both ends take the first one as a whole; of the last one, a part stays in this process. */
const UPLOADS = [100_000, 1_048_576, 64 * 1_048_576];
const [, , LONG_UPLOAD = 0] = UPLOADS;
/** The rest of an upload is written for 5 s after its answer. */
const AFTER_REST_MS = 6_000;

/** Called with each part of a request that a server has read. */
type OnPart = (socket: Socket, requestId: string) => void;

type Site = {
  readonly sockets: readonly Socket[];
  /** Sends a call with a body of this length; undefined if it hangs. */
  readonly send: (requestId: string, bodyBytes: number) => Promise<UpstreamEvent | undefined>;
};

async function withServer(onPart: OnPart, check: (site: Site) => Promise<void>): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    let requestId = '';
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      requestId = /^request-id: (.+)\r$/imu.exec(bytes.toString('latin1'))?.[1] ?? requestId;
      onPart(socket, requestId);
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
  const send: Site['send'] = (requestId, bodyBytes) => {
    const headers = ['Host', 'a', 'Request-Id', requestId, 'Content-Length', String(bodyBytes)];
    const body = Buffer.alloc(bodyBytes, 'a');
    const call = { address, requestId, method: 'POST', path: '/', headers, body };
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(undefined), HANG_MS);
      client.send(call, (event) => {
        if (event.kind !== 'ended' && event.kind !== 'failed') return;
        clearTimeout(timer);
        resolve(event);
      });
    });
  };
  try {
    await check({ sockets, send });
  } finally {
    client.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function buildAnswer(requestId: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`;
}

// Guards against a call that waits for its deadline on a connection that its server does not read any more.
for (const bytes of UPLOADS) {
  it(`unread uploads: a call after an upload of ${bytes} bytes that its server answered and did not read is served`, async () => {
    const onPart: OnPart = (socket, requestId) => {
      socket.pause();
      setTimeout(() => socket.write(buildAnswer(requestId)), 20);
    };
    await withServer(onPart, async ({ send }) => {
      expect(await send('upload', bytes)).to.deep.equal({ kind: 'ended' });
      await pause(20);
      expect(await send('call', 2)).to.deep.equal({ kind: 'ended' });
    });
  });
}

// Guards against uploads that are cut off because their server has answered.
it('unread uploads: a server that answers first and then reads gets the whole upload', async () => {
  const onPart: OnPart = (socket, requestId) => {
    if (socket.bytesWritten > 0) return;
    socket.write(buildAnswer(requestId));
    socket.pause();
    setTimeout(() => socket.resume(), 200);
  };
  await withServer(onPart, async ({ sockets, send }) => {
    expect(await send('upload', LONG_UPLOAD)).to.deep.equal({ kind: 'ended' });
    for (let wait = 0; wait < 100; wait += 1) {
      // eslint-disable-next-line no-await-in-loop -- until it has been read
      await pause(20);
      if ((sockets[0]?.bytesRead ?? 0) > LONG_UPLOAD) break;
    }
    expect(sockets[0]?.bytesRead).to.be.above(LONG_UPLOAD);
  });
});

// Guards against uploads that stay in the memory of the VM for good.
it('unread uploads: the connection of an upload that its server never reads is closed', async () => {
  const onPart: OnPart = (socket, requestId) => {
    if (socket.bytesWritten > 0) return;
    socket.write(buildAnswer(requestId));
    socket.pause();
  };
  await withServer(onPart, async ({ sockets, send }) => {
    expect(await send('upload', LONG_UPLOAD)).to.deep.equal({ kind: 'ended' });
    await pause(AFTER_REST_MS);
    const [socket] = sockets;
    socket?.resume();
    await pause(500);
    expect(socket?.bytesRead).to.be.below(LONG_UPLOAD);
    expect(socket?.destroyed).to.equal(true);
  });
});

// Guards against connections that ordinary requests do not share any more.
it('unread uploads: short calls, and one of 30,000 bytes, share a connection', async () => {
  await withServer(
    (socket, requestId) => {
      const isWhole = requestId !== 'long' || socket.bytesRead > 30_000;
      if (isWhole) socket.write(buildAnswer(requestId));
    },
    async ({ sockets, send }) => {
      for (const [requestId, bytes] of [
        ['first', 2],
        ['long', 30_000],
        ['last', 2],
      ] as const) {
        // eslint-disable-next-line no-await-in-loop -- one after the other
        expect(await send(requestId, bytes)).to.deep.equal({ kind: 'ended' });
        // eslint-disable-next-line no-await-in-loop -- until the connection is idle
        await pause(20);
      }
      expect(sockets.length).to.equal(1);
    },
  );
});
