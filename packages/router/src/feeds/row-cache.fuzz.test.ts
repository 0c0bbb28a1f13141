import { makeStorePosition, type StorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import type { RowChange } from '../gateway/ports.js';
import { makeRowCache, type RowCache } from './row-cache.js';

const KEYS = ['a', 'b', 'c', 'd'];

type Entry = { readonly version: number; readonly text: string };
type Snapshot = { readonly version: number; readonly rows: ReadonlyMap<string, Entry> };

/** A store that can be restored from an earlier state; its writers then write again. */
type ModelStore = {
  era: number;
  version: number;
  rows: Map<string, Entry>;
  changes: RowChange[];
  readonly snapshots: Snapshot[];
};

type Step =
  | { readonly kind: 'put'; readonly key: string; readonly text: string }
  | { readonly kind: 'remove'; readonly key: string }
  | { readonly kind: 'snapshot' }
  | { readonly kind: 'restore'; readonly back: number }
  | { readonly kind: 'read'; readonly cache: number }
  | { readonly kind: 'late-read'; readonly cache: number }
  | { readonly kind: 'follow'; readonly cache: number }
  | { readonly kind: 'copy'; readonly from: number; readonly to: number };

type Reading = { readonly rows: RowChange[]; readonly position: StorePosition };

type World = {
  readonly store: ModelStore;
  readonly caches: readonly RowCache[];
  lateReading: Reading | undefined;
};

function makeWorld(): World {
  const store = { era: 0, version: 1, rows: new Map(), changes: [], snapshots: [] };
  return { store, caches: [makeRowCache(), makeRowCache()], lateReading: undefined };
}

function listRows({ era, rows }: ModelStore): RowChange[] {
  return [...rows].map(([key, { version, text }]) => ({
    key,
    position: makeStorePosition(era, version),
    value: Buffer.from(text),
  }));
}

function readStore(store: ModelStore): Reading {
  return { rows: listRows(store), position: makeStorePosition(store.era, store.version) };
}

function write(store: ModelStore, key: string, text: string | undefined): void {
  store.version += 1;
  const position = makeStorePosition(store.era, store.version);
  if (text === undefined) store.rows.delete(key);
  else store.rows.set(key, { version: store.version, text });
  store.changes.push({ key, position, value: text === undefined ? undefined : Buffer.from(text) });
}

function restore(store: ModelStore, back: number): void {
  const snapshot = store.snapshots.at(-1 - back);
  if (snapshot === undefined) return;
  store.era += 1;
  store.version = snapshot.version;
  store.rows = new Map(snapshot.rows);
  store.changes = [];
  store.snapshots.length = 0;
}

function follow(store: ModelStore, cache: RowCache): void {
  const after = cache.getPosition();
  const position = makeStorePosition(store.era, store.version);
  const isContinued = cache.isComplete() && after >= makeStorePosition(store.era, 0);
  if (!isContinued) return;
  cache.applyRows(
    store.changes.filter((change) => change.position > after),
    position,
  );
}

function copy(from: RowCache, to: RowCache): void {
  if (!from.isComplete()) return;
  const { rows, position, isFull } = from.copySince(to.getPosition());
  if (isFull) to.replaceRows(rows, position);
  else if (to.isComplete()) to.applyRows(rows, position);
}

function performStep(world: World, step: Step): void {
  const { store, caches } = world;
  const pick = (index: number): RowCache => caches[index] ?? makeRowCache();
  if (step.kind === 'put') write(store, step.key, step.text);
  else if (step.kind === 'remove' && store.rows.has(step.key)) write(store, step.key, undefined);
  else if (step.kind === 'snapshot') {
    store.snapshots.push({ version: store.version, rows: new Map(store.rows) });
  } else if (step.kind === 'restore') {
    world.lateReading ??= readStore(store);
    restore(store, step.back);
  } else if (step.kind === 'read') {
    const { rows, position } = readStore(store);
    pick(step.cache).replaceRows(rows, position);
  } else if (step.kind === 'late-read' && world.lateReading !== undefined) {
    pick(step.cache).replaceRows(world.lateReading.rows, world.lateReading.position);
    world.lateReading = undefined;
  } else if (step.kind === 'follow') follow(store, pick(step.cache));
  else if (step.kind === 'copy') copy(pick(step.from), pick(step.to));
}

const key = fc.constantFrom(...KEYS);
const cacheIndex = fc.nat({ max: 1 });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('put'), key, text: fc.string({ maxLength: 4 }) }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('remove'), key }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restore'), back: fc.nat({ max: 2 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('read'), cache: cacheIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('late-read'), cache: cacheIndex }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('follow'), cache: cacheIndex }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('copy'), from: cacheIndex, to: cacheIndex }),
  },
);

function listTexts(rows: readonly RowChange[]): string[] {
  return rows.map((row) => `${row.key}=${String(row.value)}`).sort();
}

it('row cache: over restores, late readings and copies, a cache that is up to date holds exactly the rows of the store', () => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 80, size: 'max' }), (steps) => {
      const world = makeWorld();
      for (const step of steps) {
        performStep(world, step);
        const position = makeStorePosition(world.store.era, world.store.version);
        for (const cache of world.caches) {
          if (!cache.isComplete() || cache.getPosition() !== position) continue;
          expect(listTexts(cache.listRows())).to.deep.equal(listTexts(listRows(world.store)));
        }
      }
    }),
  );
});
