import type {
  ContentKey,
  OriginMessage,
  ServiceName,
  SoftwareVersion,
  StreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeStreamOriginBook } from './stream-origins.js';

const HOMES = ['vm-1', 'vm-2', 'vm-3'] as VmId[];
const SERVICE = 'llm' as ServiceName;
const VERSIONS = ['v1', 'v1.1', 'v1.2'] as SoftwareVersion[];
const STEP_MS = 100;
const LIFETIME_MS = 15_000;
const KEY = { streamId: 's' as StreamId, contentKey: 'c' as ContentKey };
const logger = pino({ level: 'silent' });

// Guards against messages for each stream of a service that has one software version only.
it('stream origins: homes are told of streams from when a service may have had several versions', () => {
  const sent: OriginMessage[] = [];
  let used = VERSIONS.slice(0, 1);
  const book = makeStreamOriginBook({
    self: 'vm-5' as VmId,
    listHomes: () => HOMES,
    sendTo: (_to, message) => {
      sent.push(message);
      return true;
    },
    listServices: () => [SERVICE],
    listUsedVersions: () => used,
    listEarlierVersions: () => used,
    getHorizonMs: () => LIFETIME_MS,
    save: () => undefined,
    isSavedRead: () => true,
    readUsed: (_services, onRead) => onRead(undefined),
    logger,
    getNow: () => 0,
    schedule: () => () => undefined,
  });
  const origin = { service: SERVICE, softwareVersion: 'v1' as SoftwareVersion };
  book.recordOwn({ ...KEY, origin, expiresAt: LIFETIME_MS });
  book.tick();
  expect(sent).to.deep.equal([]);
  used = VERSIONS.slice(0, 2);
  book.tick();
  expect(sent.map(({ kind }) => kind)).to.deep.equal(Array(3).fill('stream-origins'));
});

it('stream origins: a VM that saw one version only answers for streams that it was not told of', () => {
  const sent: OriginMessage[] = [];
  const book = makeStreamOriginBook({
    self: 'vm-1' as VmId,
    listHomes: () => HOMES,
    sendTo: (_to, message) => {
      sent.push(message);
      return true;
    },
    listServices: () => [SERVICE],
    listUsedVersions: () => VERSIONS.slice(0, 1),
    listEarlierVersions: () => VERSIONS.slice(0, 1),
    getHorizonMs: () => LIFETIME_MS,
    save: () => undefined,
    isSavedRead: () => true,
    readUsed: (_services, onRead) => onRead(undefined),
    logger,
    getNow: () => 0,
  });
  const question = { kind: 'stream-origin-request', number: '1', ...KEY } as const;
  book.handleMessage('vm-4' as VmId, { ...question, services: [SERVICE] });
  const origin = { service: SERVICE, softwareVersion: VERSIONS[0] };
  const vote = { known: [], untold: [origin], used: [origin] };
  expect(sent).to.deep.equal([{ kind: 'stream-origin-answer', number: '1', ...vote }]);
});

// Guards against streams of a VM that was lost while it took the version of its streams for the only one.
it('stream origins: a home says that it was not told of streams of a VM that was lost as a version came', () => {
  const sent: OriginMessage[] = [];
  let used = VERSIONS.slice(0, 1);
  let now = 0;
  const book = makeStreamOriginBook({
    self: 'vm-1' as VmId,
    listHomes: () => HOMES,
    sendTo: (_to, message) => {
      if (message.kind === 'stream-origin-answer') sent.push(message);
      return true;
    },
    listServices: () => [SERVICE],
    listUsedVersions: () => used,
    listEarlierVersions: () => used,
    getHorizonMs: () => LIFETIME_MS,
    save: () => undefined,
    isSavedRead: () => true,
    readUsed: (_services, onRead) => onRead(undefined),
    logger,
    getNow: () => now,
  });
  const ask = (): void => {
    const question = { kind: 'stream-origin-request', number: '1', ...KEY } as const;
    book.handleMessage('vm-4' as VmId, { ...question, services: [SERVICE] });
  };
  for (const at of [0, LIFETIME_MS, 2 * LIFETIME_MS]) {
    now = at;
    book.tick();
  }
  used = VERSIONS.slice(0, 2);
  now += STEP_MS;
  book.tick();
  book.handleLinkClosed();
  ask();
  now += LIFETIME_MS;
  ask();
  const lists = sent.map((message) => 'untold' in message && message.untold);
  expect(lists).to.deep.equal([[{ service: SERVICE, softwareVersion: VERSIONS[0] }], []]);
});
