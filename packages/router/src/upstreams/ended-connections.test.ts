import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { ClearedAddress } from '@tarragonspool/core';
import { expect } from 'chai';
import { makeUpstreamClient, type UpstreamEvent } from './upstream-client.js';

const HOST = process.env.TARRAGONSPOOL_TEST_HOST ?? '127.0.0.1';
const ROUNDS = 5;
/** Time in which connections become idle after their answers. */
const IDLE_MS = 20;

/** Ends or spoils an idle connection of the server; `onDone` is called when the bytes or the end have left. */
type EndIdle = (socket: Socket, onDone: () => void) => void;

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return (server.address() as AddressInfo).port;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/**
 * Opens a connection of a caller to itself: what arrives on it is read together with what has arrived on the
 * client's connections since the last read, and after it.
 */
async function openCaller(): Promise<{ near: Socket; far: Socket; close: () => void }> {
  const listener = createServer();
  const port = await listen(listener);
  const accepted = new Promise<Socket>((resolve) => {
    listener.once('connection', resolve);
  });
  const far = connect(port, HOST);
  const near = await accepted;
  const close = (): void => {
    far.destroy();
    near.destroy();
    listener.close();
  };
  return { near, far, close };
}

/** Sends a call as an idle connection ends; returns how it ended, and whether the server read it. */
async function sendAsIdleEnds(endIdle: EndIdle): Promise<{ end: UpstreamEvent; isRead: boolean }> {
  const idle: Socket[] = [];
  const readIds = new Set<string>();
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      const requestId = /^request-id: (.+)\r$/imu.exec(bytes.toString('latin1'))?.[1] ?? '';
      readIds.add(requestId);
      idle.push(socket);
      socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`);
    });
  });
  const address = `${HOST}:${await listen(server)}` as ClearedAddress;
  const client = makeUpstreamClient({
    keepsConnections: true,
    decodeRequestId: (headers) => headers['request-id'] as string | undefined,
  });
  const send = (requestId: string): Promise<UpstreamEvent> => {
    const headers = ['Host', 'a', 'Request-Id', requestId];
    const call = { address, requestId, method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
    return new Promise((resolve) => {
      client.send(call, (event) => {
        if (event.kind === 'ended' || event.kind === 'failed') resolve(event);
      });
    });
  };
  const caller = await openCaller();
  await Promise.all([send('first'), send('second')]);
  await pause(IDLE_MS);
  const ended = new Promise<UpstreamEvent>((resolve) => {
    caller.near.once('data', () => resolve(send('last')));
  });
  // The one that became idle last is used first.
  const last = idle.at(-1);
  if (last !== undefined) endIdle(last, () => caller.far.write('x'));
  const end = await ended;
  await pause(IDLE_MS);
  caller.close();
  client.close();
  server.close();
  return { end, isRead: readIds.has('last') };
}

// Guards against a call that fails as sent, and is answered with 502, on a connection that has ended or is being closed.
for (const [what, endIdle] of [
  ['ends', (socket, onDone) => socket.end(onDone)],
  ['gets bytes that belong to no request', (socket, onDone) => socket.write('x', onDone)],
] satisfies [string, EndIdle][]) {
  it(`ended connections: a call that comes just as an idle connection ${what} is sent on another one`, async () => {
    for (let round = 0; round < ROUNDS; round += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other
      const { end, isRead } = await sendAsIdleEnds(endIdle);
      expect(end).to.deep.equal({ kind: 'ended' });
      expect(isRead).to.equal(true);
    }
  });
}
