import type {
  ContentKey,
  ServiceName,
  SoftwareVersion,
  StreamId,
  UpstreamId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import type { UpstreamRecord } from './routing-types.js';
import {
  dropExpiredOrigins,
  findOrigin,
  makeStreamOrigins,
  recordOrigin,
} from './stream-origins.js';
import {
  findOnlyVersion,
  forgetObservation,
  makeVersionHistory,
  recordVersions,
} from './version-history.js';

const KEY = { streamId: 's' as StreamId, contentKey: 'c' as ContentKey };
const SERVICE = 'llm' as ServiceName;
const OTHER = 'other' as ServiceName;
const V1 = 'v1' as SoftwareVersion;
const V2 = 'v1.1' as SoftwareVersion;
const HORIZON_MS = 30_000;

function buildRecord(softwareVersion: SoftwareVersion, service = SERVICE): UpstreamRecord {
  return {
    upstreamId: softwareVersion as string as UpstreamId,
    service,
    softwareVersion,
  } as UpstreamRecord;
}

// Guards against a stream whose version changes because a later report names another one.
it('stream origins: the first record of a stream holds, and a later one extends it', () => {
  const origins = makeStreamOrigins();
  const first = { service: SERVICE, softwareVersion: V1 };
  recordOrigin(origins, { ...KEY, origin: first, expiresAt: 100 });
  const second = { service: SERVICE, softwareVersion: V2 };
  recordOrigin(origins, { ...KEY, origin: second, expiresAt: 200 });
  expect(findOrigin(origins, KEY, 150)).to.deep.equal(first);
});

// Guards against callers that do not name the stream, and against two streams of one content.
it('stream origins: a stream is found by its content unless streams with it began at several versions', () => {
  const origins = makeStreamOrigins();
  const unnamed = { ...KEY, streamId: undefined };
  const origin = { service: SERVICE, softwareVersion: V1 };
  recordOrigin(origins, { ...KEY, origin, expiresAt: 100 });
  expect(findOrigin(origins, unnamed, 50)).to.deep.equal(origin);
  const other = { ...KEY, streamId: 't' as StreamId };
  recordOrigin(origins, { ...other, origin: { ...origin, softwareVersion: V2 }, expiresAt: 100 });
  expect(findOrigin(origins, unnamed, 50)).to.equal(undefined);
  expect(findOrigin(origins, KEY, 50)).to.deep.equal(origin);
});

it('stream origins: a stream is forgotten once nobody resumes it any more', () => {
  const origins = makeStreamOrigins();
  const origin = { service: SERVICE, softwareVersion: V1 };
  recordOrigin(origins, { ...KEY, origin, expiresAt: 100 });
  expect(findOrigin(origins, KEY, 100)).to.equal(undefined);
  dropExpiredOrigins(origins, 100);
  expect(origins.byId.size + origins.byContent.size).to.equal(0);
});

it('version history: a version is the only one after no other was listed for the whole horizon', () => {
  const history = makeVersionHistory();
  recordVersions(history, [buildRecord(V1), buildRecord(V2)], 0);
  recordVersions(history, [buildRecord(V1), buildRecord(V2, OTHER)], 5_000);
  expect(findOnlyVersion(history, SERVICE, HORIZON_MS, 29_000)).to.equal(undefined);
  recordVersions(history, [buildRecord(V1)], 29_000);
  expect(findOnlyVersion(history, SERVICE, HORIZON_MS, 31_000)).to.equal(V1);
});

// Guards against a VM that has just started and takes the version it sees for the only one there was.
it('version history: what was there before the observation is not known', () => {
  const history = makeVersionHistory();
  expect(findOnlyVersion(history, SERVICE, HORIZON_MS, 0)).to.equal(undefined);
  recordVersions(history, [buildRecord(V1)], 1_000);
  expect(findOnlyVersion(history, SERVICE, HORIZON_MS, 30_500)).to.equal(undefined);
  expect(findOnlyVersion(history, SERVICE, HORIZON_MS, 31_000)).to.equal(V1);
  forgetObservation(history, 32_000);
  expect(findOnlyVersion(history, SERVICE, HORIZON_MS, 33_000)).to.equal(undefined);
});
