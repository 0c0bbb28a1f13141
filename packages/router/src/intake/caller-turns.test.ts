import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { expect } from 'chai';
import { makeCallerTurns } from './caller-turns.js';

/** Offers requests on one connection, whose answers the test ends. */
function playRequests(count: number) {
  const socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    writable: true,
    resetAndDestroy: () => {
      socket.destroyed = true;
      socket.writable = false;
    },
  });
  const run: number[] = [];
  let tooMany = 0;
  let isSuspended = false;
  const held: number[] = [];
  const awaitTurn = makeCallerTurns({
    onTooMany: () => {
      tooMany += 1;
    },
    beginHeads: () => ({ update: (bytes) => held.push(bytes), end: () => held.push(0) }),
    setSuspended: (_socket, isSuspendedNow) => {
      isSuspended = isSuspendedNow;
    },
  });
  const responses = Array.from({ length: count }, () => new EventEmitter());
  for (const [index, response] of responses.entries()) {
    const incoming = { socket, rawHeaders: ['host', 'x'.repeat(96)], url: '' };
    awaitTurn(incoming as unknown as IncomingMessage, response as ServerResponse, () =>
      run.push(index),
    );
  }
  return {
    run,
    responses,
    socket,
    countTooMany: () => tooMany,
    isSuspended: () => isSuspended,
    getHeldBytes: () => held.at(-1) ?? 0,
  };
}

it('caller turns: requests that came together run one after the other', () => {
  const { run, responses } = playRequests(3);
  expect(run).to.deep.equal([0]);
  responses[0]?.emit('close');
  responses[1]?.emit('close');
  expect(run).to.deep.equal([0, 1, 2]);
});

// Guards against requests without end on one connection that fill the memory while the first is answered.
it('caller turns: a connection on which too many requests wait is closed once', () => {
  const { run, socket, countTooMany } = playRequests(5_000);
  expect(socket.destroyed).to.equal(true);
  expect(countTooMany()).to.equal(1);
  expect(run).to.deep.equal([0]);
});

it('caller turns: a hundred requests may wait', () => {
  const { socket } = playRequests(101);
  expect(socket.destroyed).to.equal(false);
});

// Guards against callers on many connections whose heads fill the memory while each waits for one answer.
it('caller turns: heads that wait are counted until their turn comes, and beyond some no more are parsed', () => {
  const { responses, isSuspended, getHeldBytes } = playRequests(10);
  expect(isSuspended()).to.equal(true);
  expect(getHeldBytes()).to.be.within(9 * 100, 9 * 10_000);
  const all = getHeldBytes();
  responses[0]?.emit('close');
  expect(isSuspended()).to.equal(false);
  expect(getHeldBytes()).to.equal((all * 8) / 9);
  for (const response of responses) response.emit('close');
  expect(getHeldBytes()).to.equal(0);
});

it('caller turns: once a connection has ended nothing of it is counted, and none of what waits runs', () => {
  const { run, responses, socket, getHeldBytes } = playRequests(5);
  socket.resetAndDestroy();
  socket.emit('close');
  expect(getHeldBytes()).to.equal(0);
  responses[0]?.emit('close');
  expect(run).to.deep.equal([0]);
});
