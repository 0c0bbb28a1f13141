import { expect } from 'chai';
import type { RowChange } from '../gateway/ports.js';
import { makeRowCache } from './row-cache.js';

function buildRow(key: string, version: number, text: string | undefined = 'x'): RowChange {
  return { key, version, value: text === undefined ? undefined : Buffer.from(text) };
}

const REMOVED = { value: undefined } as const;

it('row cache: what is missing in a full reading was removed', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 1), buildRow('b', 2)], 2);
  const news = cache.replaceRows([buildRow('b', 2)], 9);
  expect(news).to.deep.equal([{ key: 'a', version: 9, ...REMOVED }]);
});

it('row cache: an older row never replaces a newer one, whoever tells it', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 5, 'new')], 5);
  expect(cache.applyRows([buildRow('a', 4, 'old')], 4)).to.deep.equal([]);
  cache.applyRows([{ key: 'a', version: 7, ...REMOVED }], 7);
  expect(cache.applyRows([buildRow('a', 6, 'old')], 6)).to.deep.equal([]);
  expect(cache.listRows()).to.deep.equal([]);
});

it('row cache: a row that is newer than a full reading stays', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 1)], 1);
  cache.applyRows([buildRow('b', 8)], 8);
  cache.replaceRows([buildRow('a', 1)], 5);
  expect(cache.listRows().map(({ key }) => key)).to.include('b');
});

it('row cache: a copy for a peer holds what changed since, removals included', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 1), buildRow('b', 2)], 2);
  cache.applyRows([{ key: 'a', version: 4, ...REMOVED }], 4);
  const copy = cache.copySince(2);
  expect(copy).to.deep.equal({
    version: 4,
    isFull: false,
    rows: [{ key: 'a', version: 4, ...REMOVED }],
  });
});

it('row cache: a copy for a peer that is too old is a full one', () => {
  const cache = makeRowCache();
  cache.replaceRows([buildRow('a', 5)], 6);
  expect(cache.copySince(3)).to.include({ isFull: true, version: 6 });
});
