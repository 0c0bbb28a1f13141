import { EventEmitter } from 'node:events';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { followCallerConnections } from './caller-connections.js';
import type { GatewayState } from './gateway-state.js';
import { makeHeldBytes } from '../intake/held-bytes.js';
import { HELD_LIMITS } from '../intake/held-limits-test-kit.js';

/** The least limit of callers' connections, whatever the machine's descriptors. */
const LIMIT = 16;
/** Time between openings, so that each connection has gone longer without progress than the next one. */
const LATER_MS = 5;

function makeState(): GatewayState {
  const state = {
    settings: { maxFds: 1 },
    pools: { countLiveVms: () => 1 },
    listedVmCount: 1,
    configuration: undefined,
    logger: { warn: () => undefined },
    metrics: { sizeCuts: { inc: () => undefined } },
    heldBytes: makeHeldBytes(() => HELD_LIMITS),
  };
  return state as unknown as GatewayState;
}

/** Connection of a caller; `readableLength` bytes wait to be parsed. */
class TestSocket extends EventEmitter {
  bytesRead = 0;

  readableLength = 0;

  isClosed = false;

  destroy(): void {
    this.isClosed = true;
    this.emit('close');
  }
}

/** Opens one connection more than the limit; returns the index of the one that is closed. */
async function findClosed(firstWaitingBytes: number): Promise<number> {
  const server = new EventEmitter();
  followCallerConnections(server as Server, makeState());
  const sockets: TestSocket[] = [];
  while (sockets.length <= LIMIT) {
    const socket = new TestSocket();
    sockets.push(socket);
    if (sockets.length === 1) socket.readableLength = firstWaitingBytes;
    server.emit('connection', socket);
    // eslint-disable-next-line no-await-in-loop -- each opens later than the one before
    await new Promise((resolve) => {
      setTimeout(resolve, LATER_MS);
    });
  }
  server.emit('close');
  return sockets.findIndex(({ isClosed }) => isClosed);
}

// Guards against closing a connection that makes progress before one that makes none.
it('caller connections: beyond the limit the one that has gone longest without progress is closed', async () => {
  expect(await findClosed(0)).to.equal(0);
});

// Guards against closing a kept connection, beside many callers, whose next request waits to be parsed.
it('caller connections: one whose request waits to be parsed is not the one that is closed', async () => {
  expect(await findClosed(120)).to.equal(1);
});

// Guards against heads that do not end and take the memory together, each within the limit of a head.
it('caller connections: unfinished heads are counted, and beyond their limit the longest is closed', () => {
  const server = new EventEmitter();
  const state = makeState();
  const connections = followCallerConnections(server as Server, state);
  const sockets = [0.6, 0.3, 0.2].map((share) => {
    const socket = new TestSocket();
    server.emit('connection', socket);
    connections.recordParsed(socket as unknown as Socket, share * HELD_LIMITS.headBytes);
    return socket;
  });
  expect(sockets.map(({ isClosed }) => isClosed)).to.deep.equal([true, false, false]);
  expect(state.heldBytes.countKind('head')).to.equal(0.5 * HELD_LIMITS.headBytes);
  for (const socket of sockets.slice(1)) socket.destroy();
  expect(state.heldBytes.countKind('head')).to.equal(0);
  server.emit('close');
});
