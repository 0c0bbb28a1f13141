import type { QuarantinedParts } from '@tarragonspool/core';
import type { PromptPartId, ServiceName, StorePosition, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { getSteadyMs } from '../../time/steady-clock.js';
import type { RowChange } from '../ports.js';
import { listStoredContents, makeContentKey, type NamedContent } from './content-rows.js';
import { listStoredParts } from './part-rows.js';
import { buildQuarantineWrite } from './quarantine-rows.js';
import { listStoredSound } from './sound-rows.js';
import { digestContent, makeScope, scopePart } from './quarantine-scope.js';

const HOUR_MS = 3_600_000;
const SCOPE = makeScope('a.example', 'llm' as ServiceName);
const OTHER_SCOPE = makeScope('b.example', 'llm' as ServiceName);
const DEADLY = scopePart(SCOPE, 'dead' as PromptPartId);

function buildPartWrite(parts: readonly QuarantinedParts[], rows: readonly RowChange[]) {
  return buildQuarantineWrite({ parts, contents: [], sound: [], lifted: new Set() }, rows);
}

function buildRow(key: string, value: string): RowChange {
  return { key, position: 1 as StorePosition, value: Buffer.from(value) };
}

it('quarantine rows: parts that are written come back with the time that is left', () => {
  const expiresAt = getSteadyMs() + HOUR_MS;
  const write = buildPartWrite([{ parts: [DEADLY], expiresAt }], []);
  const rows = (write?.put ?? []).map(({ key, value }) => buildRow(key, value.toString()));
  const [item] = listStoredParts(rows, [SCOPE, OTHER_SCOPE]);
  expect(item?.parts).to.deep.equal([DEADLY]);
  expect(item?.expiresAt).to.be.closeTo(expiresAt, 1_000);
  expect(buildPartWrite([{ parts: [DEADLY], expiresAt }], rows)).to.equal(undefined);
});

// Guards against a row without parts, which every prompt would match.
it('quarantine rows: rows of others, without parts or that cannot be read are skipped', () => {
  const rows = [
    buildRow('vm/vm-1', '{"peerAddress":"a"}'),
    buildRow('quarantined-parts/1', '{"parts":[],"expiresAt":9e15}'),
    buildRow('quarantined-parts/2', '{"parts":["dead"]}'),
    buildRow('quarantined-parts/3', 'no JSON'),
  ];
  expect(listStoredParts(rows, [SCOPE, OTHER_SCOPE])).to.deep.equal([]);
});

// Guards against prompts that are refused for ever, again after each start, by a row that another writer left.
it('quarantine rows: a row that outlasts every quarantine, or holds more parts than a prompt shares, is skipped', () => {
  const now = Date.now();
  const build = (value: object): RowChange =>
    buildRow('quarantined-parts/odd', JSON.stringify(value));
  const odd = [
    { parts: ['a'], expiresAt: 1e300 },
    { parts: ['a'], expiresAt: now + 2 * HOUR_MS },
    { parts: ['a'.repeat(300)], expiresAt: now + 1_000 },
    { parts: [''], expiresAt: now + 1_000 },
    { parts: Array.from({ length: 2_000 }, String), expiresAt: now + 1_000 },
  ];
  for (const value of odd) expect(listStoredParts([build(value)], [SCOPE])).to.deep.equal([]);
  expect(
    listStoredParts([build({ parts: ['a'], expiresAt: now + HOUR_MS })], [SCOPE]).length,
  ).to.equal(1);
});

it('quarantine rows: rows that have expired are removed with the next write', () => {
  const old = buildRow('quarantined-parts/old', '{"parts":["old"],"expiresAt":1}');
  const known = [{ parts: [DEADLY], expiresAt: getSteadyMs() + HOUR_MS }];
  expect(buildPartWrite(known, [old])?.remove).to.deep.equal(['quarantined-parts/old']);
  expect(buildPartWrite([], [old])).to.equal(undefined);
});

// Guards against a part that crashes one service's engines being refused at all others.
it('quarantine rows: a row names its scope, and one of an older version holds in all scopes unless another names the same', () => {
  const expiresAt = getSteadyMs() + HOUR_MS;
  const older = buildRow(
    'quarantined-parts/older',
    JSON.stringify({ parts: ['dead'], expiresAt: Date.now() + HOUR_MS }),
  );
  const listAll = (rows: readonly RowChange[]): string[] =>
    listStoredParts(rows, [SCOPE, OTHER_SCOPE]).flatMap(({ parts }) => parts);
  const inOther = scopePart(OTHER_SCOPE, 'dead' as PromptPartId);
  expect(listAll([older])).to.deep.equal([DEADLY, inOther]);
  const write = buildPartWrite([{ parts: [DEADLY], expiresAt }], [older]);
  const own = (write?.put ?? []).map(({ key, value }) => buildRow(key, value.toString()));
  expect(listAll([older, ...own])).to.deep.equal([DEADLY]);
  const read = listStoredParts([older], [SCOPE]);
  expect(buildPartWrite(read, [older])).to.equal(undefined);
});

const DIGEST = digestContent('GET', '/a/1', Buffer.from(''));
const REFUSED: NamedContent = {
  scope: SCOPE,
  fingerprint: DIGEST,
  crashes: 2,
  crashIds: ['e/1', 'e/2'],
  lastUpstream: 'e' as UpstreamId,
  expiresAt: getSteadyMs() + HOUR_MS,
};

function buildContentWrite(
  contents: readonly NamedContent[],
  rows: readonly RowChange[],
  lifted: ReadonlySet<string> = new Set(),
) {
  return buildQuarantineWrite({ parts: [], contents, sound: [], lifted }, rows);
}

// Guards against a VM that starts and has forgotten which contents crash servers.
it('quarantine rows: contents that are written come back with scope, crashes and the time that is left', () => {
  const write = buildContentWrite([REFUSED], []);
  const rows = (write?.put ?? []).map(({ key, value }) => buildRow(key, value.toString()));
  const [content] = listStoredContents(rows);
  const { expiresAt, ...rest } = REFUSED;
  expect(content).to.deep.include(rest);
  expect(content?.expiresAt).to.be.closeTo(expiresAt, 1_000);
  expect(buildContentWrite([REFUSED], rows)).to.equal(undefined);
  expect(listStoredParts(rows, [SCOPE])).to.deep.equal([]);
});

it('quarantine rows: the row of a content whose refusal has ended is removed', () => {
  const write = buildContentWrite([REFUSED], []);
  const rows = (write?.put ?? []).map(({ key, value }) => buildRow(key, value.toString()));
  const ended = buildContentWrite([], rows, new Set([makeContentKey(REFUSED)]));
  expect(ended).to.deep.equal({ expected: [], put: [], remove: [makeContentKey(REFUSED)] });
});

it('quarantine rows: rows of contents that cannot be read, or outlast every quarantine, are skipped', () => {
  const now = Date.now();
  const sound = { ...REFUSED, expiresAt: now + HOUR_MS };
  const odd = [
    { ...sound, expiresAt: now + 2 * HOUR_MS },
    { ...sound, crashes: 1 },
    { ...sound, crashIds: [] },
    { ...sound, scope: '' },
    { ...sound, fingerprint: 'f'.repeat(400) },
    {},
  ];
  const build = (value: object): RowChange =>
    buildRow('quarantined-contents/odd', JSON.stringify(value));
  for (const value of odd) expect(listStoredContents([build(value)])).to.deep.equal([]);
  expect(listStoredContents([build(sound)])).to.have.length(1);
});

// Guards against a fleet that has lost its power and takes for deadly what all prompts have.
it('quarantine rows: parts that were answered often come back, each in its scope, and are written once', () => {
  const known = { parts: [], contents: [], sound: [DEADLY], lifted: new Set<string>() };
  const write = buildQuarantineWrite(known, []);
  const rows = (write?.put ?? []).map(({ key, value }) => buildRow(key, value.toString()));
  expect(listStoredSound(rows)).to.deep.equal([DEADLY]);
  expect(buildQuarantineWrite(known, rows)).to.equal(undefined);
  const more = { ...known, sound: [scopePart(SCOPE, 'more' as PromptPartId)] };
  const next = buildQuarantineWrite(more, rows)?.put ?? [];
  const nextRows = next.map(({ key, value }) => buildRow(key, value.toString()));
  expect(listStoredSound(nextRows)).to.deep.equal([DEADLY, ...more.sound]);
  for (const value of ['{}', 'no JSON', '{"scope":"","parts":[]}', '{"scope":"s","parts":[1]}']) {
    expect(listStoredSound([buildRow('sound-parts/odd', value)])).to.deep.equal([]);
  }
});
