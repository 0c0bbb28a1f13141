import { expect } from 'chai';
import { chooseClosable, computeConnectionLimit } from './connection-limit.js';

// Guards against a limit that begins to hold where no descriptors are named.
it('connection limit: without a number of descriptors there is none', () => {
  expect(computeConnectionLimit(undefined, 88)).to.equal(Infinity);
});

// Guards against callers that take the descriptors of files, peers and servers.
it('connection limit: callers leave descriptors for files, peers and a server for each of them', () => {
  for (const maxFds of [300, 400, 1_024, 65_536]) {
    for (const peers of [0, 8, 88, 195]) {
      const limit = computeConnectionLimit(maxFds, peers);
      expect(limit).to.be.at.least(16);
      if (limit > 16) expect(2 * limit + 200 + 2 * peers).to.be.below(maxFds);
    }
  }
});

// Guards against a running request whose connection is closed for another one.
it('connection limit: the connection that has gone longest without progress is closed, unless a request runs on it', () => {
  const running = { running: 1, progressAt: 1 };
  const stalled = { running: 0, progressAt: 2 };
  const fresh = { running: 0, progressAt: 3 };
  expect(chooseClosable([fresh, running, stalled])).to.equal(stalled);
  expect(chooseClosable([running])).to.equal(undefined);
});
