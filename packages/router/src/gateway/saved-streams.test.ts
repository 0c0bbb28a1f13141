import type { OriginRecord } from '@tarragonspool/core';
import type {
  ContentKey,
  ServiceName,
  SoftwareVersion,
  StorePosition,
  StreamId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { startTask } from '../tasks/tasks.js';
import type { RowChange, RowStore, RowWrite } from './ports.js';
import { decodeStreamRows, encodeStreamRow, makeSavedStreams } from './saved-streams.js';

const POSITION = 1 as StorePosition;
const MAX_ROW_BYTES = 65_536;

function buildRecord(streamId: string, expiresAt: number): OriginRecord {
  const origin = { service: 'llm' as ServiceName, softwareVersion: 'v1' as SoftwareVersion };
  const contentKey = `c-${streamId}` as ContentKey;
  return { streamId: streamId as StreamId, contentKey, origin, expiresAt };
}

function buildRow(key: string, records: readonly OriginRecord[], aheadMs: number): RowChange {
  return { key, position: POSITION, value: encodeStreamRow(records, aheadMs) };
}

/** A store in memory that fails some writes, and the part under test. */
function makeSite(rows: RowChange[], fails = 0) {
  const writes: RowWrite[] = [];
  const read: OriginRecord[] = [];
  const clock = { now: 1_000 };
  let failures = fails;
  const store = {
    readRows: () =>
      Promise.resolve({
        kind: 'ok',
        value: { rows, position: POSITION, hasMore: false, storeNowMs: 500_000 },
      }),
    write: ({ write }: { write: RowWrite }) => {
      writes.push(write);
      failures -= 1;
      return Promise.resolve(
        failures >= 0 ? { kind: 'unanswered' } : { kind: 'ok', value: POSITION },
      );
    },
  } as unknown as RowStore;
  const saved = makeSavedStreams({
    store,
    keyPrefix: 'vm-1/',
    startId: 'now',
    isWriter: () => true,
    onRead: (records) => read.push(...records),
    getNow: () => clock.now,
    takeFraction: () => 0,
    logger: pino({ level: 'silent' }),
  });
  startTask('saved streams', saved.run, () => undefined);
  return { saved, writes, read, clock };
}

async function awaitWrites(writes: readonly RowWrite[], count: number): Promise<void> {
  while (writes.length < count) {
    // eslint-disable-next-line no-await-in-loop -- until the task has written
    await new Promise(setImmediate);
  }
}

function listStreams({ put }: RowWrite): string[] {
  const rows = put.map((row) => ({ ...row, position: POSITION }));
  return decodeStreamRows({ rows, storeNowMs: 0, readAt: 0 }).map(({ streamId }) => streamId);
}

// Guards against streams that are forgotten, or remembered for long, by VMs whose clocks differ.
it('saved streams: a start knows what earlier ones saved, for the time that is left', async () => {
  const rows = [buildRow('vm-2/old/1', [buildRecord('s', 490_000 + 20_000)], 0)];
  rows.push({ key: 'vm-2/old/2', position: POSITION, value: Buffer.from('no JSON') });
  const { saved, read } = makeSite(rows);
  while (!saved.isRead()) {
    // eslint-disable-next-line no-await-in-loop -- until the task has read
    await new Promise(setImmediate);
  }
  expect(read).to.deep.equal([buildRecord('s', 11_000)]);
});

it('saved streams: what could not be written is written again with the rest', async () => {
  const { saved, writes } = makeSite([], 1);
  saved.add(buildRecord('a', 20_000));
  await awaitWrites(writes, 1);
  saved.add(buildRecord('b', 20_000));
  await awaitWrites(writes, 2);
  expect(writes.map(listStreams)).to.deep.equal([['a'], ['a', 'b']]);
});

it('saved streams: own rows of this start and earlier ones are removed once they have expired', async () => {
  const mine = buildRow('vm-1/old/1', [buildRecord('old', 500_100)], 0);
  const { saved, writes, clock } = makeSite([mine]);
  saved.add(buildRecord('a', 2_000));
  await awaitWrites(writes, 1);
  expect(writes[0]?.remove).to.deep.equal([]);
  clock.now = 2_000;
  saved.add(buildRecord('b', 9_000));
  await awaitWrites(writes, 2);
  const [first] = writes[0]?.put ?? [];
  expect(writes[1]?.remove).to.deep.equal(['vm-1/old/1', first?.key]);
});

// Guards against rows that the store refuses for their size.
it('saved streams: rows stay within the size of a row, with the longest ids', async () => {
  const { saved, writes } = makeSite([]);
  for (let count = 0; count < 2_000; count += 1) {
    saved.add(buildRecord(`${count}`.padStart(256, 's'), 20_000));
  }
  await awaitWrites(writes, 2);
  for (const { put, remove } of writes) {
    expect(put.length + remove.length).to.be.at.most(100);
    for (const { value } of put) {
      expect(value.toString('base64').length).to.be.at.most(MAX_ROW_BYTES);
    }
  }
  expect(new Set(writes.flatMap(listStreams)).size).to.equal(2_000);
});
