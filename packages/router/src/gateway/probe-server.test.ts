import { expect } from 'chai';
import type { PathAnswer } from '@tarragonspool/protocol';
import { probeServer } from './probe-server.js';

/** Probes a server that answers in turn as named, then `unknown`, and leaves the list at a time. */
async function probe(answers: readonly PathAnswer[], leavesAt = Infinity) {
  const clock = { now: 0 };
  const left = [...answers];
  const isAlive = await probeServer({
    tryServer: async () => left.shift() ?? 'unknown',
    hasLeftList: () => clock.now >= leavesAt,
    pause: async (ms) => {
      clock.now += ms;
    },
    getNow: () => clock.now,
  });
  return { isAlive, at: clock.now };
}

it('probe: what takes a connection lives, what takes none has ended', async () => {
  expect(await probe(['opened'])).to.deep.equal({ isAlive: true, at: 0 });
  expect(await probe(['not-opened'])).to.deep.equal({ isAlive: false, at: 0 });
});

// Guards against crashes that count for nothing, as all servers of a service crashed at once.
it('probe: where no connection opens to any server, its next start shows that it had ended', async () => {
  expect((await probe([], 900)).isAlive).to.equal(false);
  expect((await probe(['unknown', 'opened'], 900)).isAlive).to.equal(false);
  expect((await probe(['unknown', 'not-opened'])).isAlive).to.equal(false);
});

it('probe: where nothing shows that a server ended it is taken for alive', async () => {
  expect(await probe([])).to.deep.equal({ isAlive: true, at: 5_000 });
  expect(await probe(['unknown', 'opened'])).to.deep.equal({ isAlive: true, at: 1_200 });
});

it('probe: a server that the list names with another start at once has ended', async () => {
  expect(await probe(['opened'], 0)).to.deep.equal({ isAlive: false, at: 0 });
});
