import type { ServiceName, SoftwareVersion, StorePosition } from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { RowChange, RowWrite } from '../ports.js';
import {
  applyVersionRows,
  isRegistered,
  listRegisteredVersions,
  listVersionsAtStart,
  makeVersionRegistry,
} from './version-registry.js';
import {
  buildEndingWrite,
  buildMissingWrite,
  decodeVersionRows,
  makeVersionKey,
} from './version-rows.js';

const SERVICE = 'llm' as ServiceName;
const V1 = { service: SERVICE, softwareVersion: 'v1' as SoftwareVersion };
const V2 = { service: SERVICE, softwareVersion: 'v1.1' as SoftwareVersion };
const POSITION = 7 as StorePosition;

function listWritten(write: RowWrite | undefined): RowChange[] {
  return (write?.put ?? []).map((row) => ({ ...row, position: POSITION }));
}

const V1_ROWS = listWritten(buildMissingWrite(new Map(), [V1]));

it('version rows: a version that is written is read again, and is missed no more', () => {
  const rows = decodeVersionRows(V1_ROWS);
  const row = { ...V1, isRetired: false, position: POSITION };
  expect([...rows]).to.deep.equal([[makeVersionKey(V1), row]]);
  expect(buildMissingWrite(rows, [V1])).to.equal(undefined);
  expect(buildMissingWrite(rows, [V1, V2])?.put).to.have.length(1);
});

it('version rows: rows of others, or that cannot be read, are skipped', () => {
  const buildRow = (key: string, value: string): RowChange => ({
    key,
    position: POSITION,
    value: Buffer.from(value),
  });
  const rows = [
    buildRow('vm/vm-1', '{"service":"llm","softwareVersion":"v1","isRetired":false}'),
    buildRow('engine-version/1', '{"service":"llm"}'),
    buildRow('engine-version/2', 'no JSON'),
  ];
  expect([...decodeVersionRows(rows)]).to.deep.equal([]);
});

// Guards against a row that is removed while a VM takes it for one that holds.
it('version rows: the row of an unused version is marked, and removed a horizon later', () => {
  const rows = decodeVersionRows(V1_ROWS);
  const key = makeVersionKey(V1);
  const seen = { listed: [], isUnused: () => true, retiredSince: new Map(), removeBefore: 100 };
  expect(buildEndingWrite(rows, { ...seen, listed: [V1] })).to.equal(undefined);
  expect(buildEndingWrite(rows, { ...seen, isUnused: () => false })).to.equal(undefined);
  const marked = buildEndingWrite(rows, seen);
  expect(marked?.expected).to.deep.equal([{ key, position: POSITION }]);
  const retired = decodeVersionRows(listWritten(marked));
  expect(retired.get(key)?.isRetired).to.equal(true);
  expect(buildEndingWrite(retired, seen)).to.equal(undefined);
  const since = (at: number): typeof seen => ({ ...seen, retiredSince: new Map([[key, at]]) });
  expect(buildEndingWrite(retired, since(100))).to.equal(undefined);
  expect(buildEndingWrite(retired, since(99))?.remove).to.deep.equal([key]);
  expect(buildMissingWrite(retired, [V1])?.put).to.have.length(1);
});

// Guards against streams that begin at a version which VMs that start do not find.
it('version registry: a mark takes a version away, a restore of the store does not', () => {
  const registry = makeVersionRegistry();
  expect(listRegisteredVersions(registry, SERVICE, 0)).to.equal(undefined);
  applyVersionRows(registry, V1_ROWS, 0);
  applyVersionRows(registry, [], 1);
  expect(isRegistered(registry, V1)).to.equal(true);
  expect(listRegisteredVersions(registry, SERVICE, 1)).to.deep.equal([V1.softwareVersion]);
  const seen = { listed: [], isUnused: () => true, retiredSince: new Map(), removeBefore: 0 };
  const marked = buildEndingWrite(decodeVersionRows(V1_ROWS), seen);
  applyVersionRows(registry, listWritten(marked), 2);
  expect(isRegistered(registry, V1)).to.equal(false);
  expect(listRegisteredVersions(registry, SERVICE, 2)).to.deep.equal([V1.softwareVersion]);
  expect(listVersionsAtStart(registry, SERVICE)).to.deep.equal([V1.softwareVersion]);
});
