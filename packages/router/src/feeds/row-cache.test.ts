import { expect } from 'chai';
import { makeStorePosition, type StorePosition } from '@tarragonspool/protocol';
import type { RowChange } from '../gateway/ports.js';
import { makeRowCache } from './row-cache.js';

/** A position before any restore. */
function at(version: number): StorePosition {
  return makeStorePosition(0, version);
}

function buildRow(key: string, version: number, text: string | undefined = 'x'): RowChange {
  return { key, position: at(version), value: text === undefined ? undefined : Buffer.from(text) };
}

const REMOVED = { value: undefined } as const;

it('row cache: what is missing in a full reading was removed', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 1), buildRow('b', 2)], at(2));
  const news = cache.replaceRows([buildRow('b', 2)], at(9));
  expect(news).to.deep.equal([{ key: 'a', position: at(9), ...REMOVED }]);
});

it('row cache: an older row never replaces a newer one, whoever tells it', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 5, 'new')], at(5));
  expect(cache.applyRows([buildRow('a', 4, 'old')], at(4))).to.deep.equal([]);
  cache.applyRows([{ key: 'a', position: at(7), ...REMOVED }], at(7));
  expect(cache.applyRows([buildRow('a', 6, 'old')], at(6))).to.deep.equal([]);
  expect(cache.listRows()).to.deep.equal([]);
});

it('row cache: a row that is newer than a full reading stays', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 1)], at(1));
  cache.applyRows([buildRow('b', 8)], at(8));
  cache.replaceRows([buildRow('a', 1)], at(5));
  expect(cache.listRows().map(({ key }) => key)).to.include('b');
});

it('row cache: a copy for a peer holds what changed since, removals included', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 1), buildRow('b', 2)], at(2));
  cache.applyRows([{ key: 'a', position: at(4), ...REMOVED }], at(4));
  const copy = cache.copySince(at(2));
  expect(copy).to.deep.equal({
    position: at(4),
    isFull: false,
    rows: [{ key: 'a', position: at(4), ...REMOVED }],
  });
});

it('row cache: a copy for a peer that is too old is a full one', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 5)], at(6));
  expect(cache.copySince(at(3))).to.include({ isFull: true, position: at(6) });
});
