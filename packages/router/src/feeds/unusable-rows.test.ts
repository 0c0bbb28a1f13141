import type { StorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeUnusableRowRecorder } from './unusable-rows.js';

// Guards against logs that grow without bound where a writer leaves one odd row after another.
it('unusable rows: each is counted, ten a second are logged, and the next line says how many were not', () => {
  const lines: { reason: string; untold: number }[] = [];
  const stream = { write: (line: string) => lines.push(JSON.parse(line) as never) };
  const counted: string[] = [];
  let now = 0;
  const record = makeUnusableRowRecorder({
    table: 'servers',
    logger: pino({}, stream),
    metrics: { unusableRows: { inc: ({ table }) => counted.push(table) } },
    getNow: () => now,
  });
  const row = { key: 'k', position: 1 as StorePosition, value: Buffer.from('x') };
  for (let version = 0; version < 300; version += 1) record(row, 'odd');
  expect(lines.length).to.equal(10);
  now = 1_000;
  record(row, 'odd');
  expect(lines.at(-1)).to.include({ reason: 'odd', untold: 290 });
  expect(counted.length).to.equal(301);
});
