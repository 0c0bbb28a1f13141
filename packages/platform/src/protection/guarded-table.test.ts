import { expect } from 'chai';
import type { TransactResult } from '@tarragonspool/protocol';
import type { TableClient } from '../table-client.js';
import { makeGuardedTable } from './guarded-table.js';

const WRITE = { kind: 'insert', key: 'k', value: 'v' } as const;

/** A table and a clock that moves only when a call waits. */
function makeRig(writesPerSecond = 100, seed = 0.5) {
  const clock = { now: 0 };
  const state = { isDown: false, calls: 0, rows: 0 };
  const table: TableClient = {
    async transact(writes): Promise<TransactResult> {
      state.calls += 1;
      if (state.isDown) return { kind: 'unavailable' };
      state.rows += writes.length;
      return { kind: 'committed' };
    },
    readRows: async () => ({ kind: 'rows', rows: [] }),
    scanRows: async () => ({ kind: 'rows', rows: [] }),
  };
  const guarded = makeGuardedTable(table, {
    writesPerSecond: () => writesPerSecond,
    readsPerSecond: () => 100,
    getNow: () => clock.now,
    random: () => seed,
    wait: async (milliseconds) => {
      clock.now += milliseconds;
    },
  });
  const write = async (rows = 1, withinMs = 1_000) => {
    const deadline = clock.now + withinMs;
    const { kind } = await guarded.transact(Array(rows).fill(WRITE), deadline);
    return kind;
  };
  return { clock, state, write };
}

async function writeMany(rig: ReturnType<typeof makeRig>, count: number): Promise<string[]> {
  const kinds: string[] = [];
  // eslint-disable-next-line no-await-in-loop -- one after another
  for (let index = 0; index < count; index += 1) kinds.push(await rig.write());
  return kinds;
}

it('guarded table: rows written stay within the share', async () => {
  const rig = makeRig(100);
  await writeMany(rig, 500);
  expect(rig.state.rows).to.equal(500);
  expect(rig.clock.now).to.be.within(3_900, 4_200);
});

it('guarded table: a batch above the share passes and is paid back', async () => {
  const rig = makeRig(10);
  expect(await rig.write(64)).to.equal('committed');
  expect(await rig.write(1, 1_000)).to.equal('unavailable');
  expect(await rig.write(1, 10_000)).to.equal('committed');
  expect(rig.clock.now).to.be.within(5_000, 6_000);
});

it('guarded table: an outage is met with few calls', async () => {
  const rig = makeRig(1_000);
  rig.state.isDown = true;
  for (let step = 0; step < 600; step += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after another
    await rig.write();
    rig.clock.now += 100;
  }
  expect(rig.state.calls).to.be.within(25, 65);
});

it('guarded table: after an outage calls at once grow step by step', async () => {
  const rig = makeRig(1_000);
  rig.state.isDown = true;
  await writeMany(rig, 5);
  rig.state.isDown = false;
  expect(await rig.write()).to.equal('unavailable');
  rig.clock.now += 10_000;
  const kinds = await Promise.all([rig.write(1, 1), rig.write(1, 1), rig.write(1, 1)]);
  expect(kinds).to.deep.equal(['committed', 'unavailable', 'unavailable']);
});

it('guarded table: two VMs come back at different times', async () => {
  const times: number[] = [];
  for (const seed of [0, 0.9]) {
    const rig = makeRig(1_000, seed);
    rig.state.isDown = true;
    // eslint-disable-next-line no-await-in-loop -- one after another
    await writeMany(rig, 5);
    rig.state.isDown = false;
    // eslint-disable-next-line no-await-in-loop -- one after another
    while ((await rig.write()) !== 'committed') rig.clock.now += 1;
    times.push(rig.clock.now);
  }
  expect(times[0]).to.not.equal(times[1]);
});
