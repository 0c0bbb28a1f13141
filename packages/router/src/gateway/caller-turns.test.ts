import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { expect } from 'chai';
import { makeCallerTurns } from './caller-turns.js';

/** Offers requests on one connection, whose answers the test ends. */
function playRequests(count: number) {
  const socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    writable: true,
    destroy: () => {
      socket.destroyed = true;
    },
  });
  const run: number[] = [];
  let tooMany = 0;
  const awaitTurn = makeCallerTurns(() => {
    tooMany += 1;
  });
  const responses = Array.from({ length: count }, () => new EventEmitter());
  for (const [index, response] of responses.entries()) {
    awaitTurn({ socket } as unknown as IncomingMessage, response as ServerResponse, () =>
      run.push(index),
    );
  }
  return { run, responses, socket, countTooMany: () => tooMany };
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
