import type {
  ContentKey,
  ServiceName,
  SoftwareVersion,
  StreamId,
  UpstreamId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { findVotedOrigin } from './origin-votes.js';
import type { UpstreamRecord } from './routing-types.js';
import {
  dropExpiredOrigins,
  listOrigins,
  makeStreamOrigins,
  recordOrigin,
} from './stream-origins.js';
import {
  forgetObservation,
  listVersions,
  makeVersionHistory,
  recordVersions,
} from './version-history.js';
import {
  addUntoldVersions,
  listUntoldVersions,
  makeUntoldVersions,
  mergeUntoldVersions,
} from './untold-versions.js';

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
  expect(listOrigins(origins, KEY, 150)).to.deep.equal([first]);
});

// Guards against callers that do not name the stream, and against two streams of one content.
it('stream origins: a content names the origins of all streams with it', () => {
  const origins = makeStreamOrigins();
  const unnamed = { ...KEY, streamId: undefined };
  const origin = { service: SERVICE, softwareVersion: V1 };
  recordOrigin(origins, { ...KEY, origin, expiresAt: 100 });
  expect(listOrigins(origins, unnamed, 50)).to.deep.equal([origin]);
  const other = { ...KEY, streamId: 't' as StreamId };
  const second = { ...origin, softwareVersion: V2 };
  recordOrigin(origins, { ...other, origin: second, expiresAt: 100 });
  expect(listOrigins(origins, unnamed, 50)).to.deep.equal([origin, second]);
  expect(listOrigins(origins, KEY, 50)).to.deep.equal([origin]);
});

it('stream origins: a stream is forgotten once nobody resumes it any more', () => {
  const origins = makeStreamOrigins();
  const origin = { service: SERVICE, softwareVersion: V1 };
  recordOrigin(origins, { ...KEY, origin, expiresAt: 100 });
  expect(listOrigins(origins, KEY, 100)).to.deep.equal([]);
  dropExpiredOrigins(origins, 100);
  expect(origins.byId.size + origins.byContent.size).to.equal(0);
});

it('version history: a version counts as long as it was listed within the horizon', () => {
  const history = makeVersionHistory();
  recordVersions(history, [buildRecord(V1), buildRecord(V2)], 0);
  recordVersions(history, [buildRecord(V1), buildRecord(V2, OTHER)], 5_000);
  expect(listVersions(history, SERVICE, HORIZON_MS, 29_000)).to.equal(undefined);
  recordVersions(history, [buildRecord(V1)], 29_000);
  expect(listVersions(history, SERVICE, HORIZON_MS, 31_000)).to.deep.equal([V1]);
});

// Guards against a VM that has just started and takes the version it sees for the only one there was.
it('version history: what was there before the observation is not known', () => {
  const history = makeVersionHistory();
  expect(listVersions(history, SERVICE, HORIZON_MS, 0)).to.equal(undefined);
  recordVersions(history, [buildRecord(V1)], 1_000);
  expect(listVersions(history, SERVICE, HORIZON_MS, 30_500)).to.equal(undefined);
  expect(listVersions(history, SERVICE, HORIZON_MS, 31_000)).to.deep.equal([V1]);
  forgetObservation(history, 32_000);
  expect(listVersions(history, SERVICE, HORIZON_MS, 33_000)).to.equal(undefined);
});

const AT_V1 = { service: SERVICE, softwareVersion: V1 };
const AT_V2 = { service: SERVICE, softwareVersion: V2 };

it('origin votes: a stream that its caller names began where any VM says', () => {
  const votes = [{ known: [], untold: [], used: [AT_V2] }, { known: [AT_V1] }];
  expect(findVotedOrigin(votes, true)).to.deep.equal(AT_V1);
});

// Guards against another stream with the same content, of which no VM that is left was told.
it('origin votes: a content counts only if some VM was told of all streams that began elsewhere', () => {
  const used = [AT_V1, AT_V2];
  const known = [AT_V2];
  expect(findVotedOrigin([{ known, untold: used, used }], false)).to.equal(undefined);
  expect(findVotedOrigin([{ known, used }], false)).to.equal(undefined);
  const told = { known: [], untold: [AT_V2], used };
  expect(findVotedOrigin([{ known, untold: used, used }, told], false)).to.deep.equal(AT_V2);
  const other = { known: [AT_V1], untold: [], used };
  expect(findVotedOrigin([{ known, untold: [], used }, other], false)).to.equal(undefined);
});

it('origin votes: a stream that nobody knows goes on only where every VM saw one version', () => {
  const none = { known: [], untold: [] };
  const votes = [{ ...none, used: [AT_V1] }, none];
  expect(findVotedOrigin(votes, true)).to.deep.equal(AT_V1);
  expect(findVotedOrigin(votes, false)).to.deep.equal(AT_V1);
  const late = { ...none, used: [AT_V1, AT_V2] };
  expect(findVotedOrigin([...votes, late], true)).to.equal(undefined);
  expect(findVotedOrigin([none], true)).to.equal(undefined);
});

// Guards against a home that forgets, by the word of another one, what neither was told.
it('untold versions: after one VM told another all, what remains was told to neither', () => {
  const one = makeUntoldVersions();
  const other = makeUntoldVersions();
  addUntoldVersions(one, undefined, 200);
  addUntoldVersions(other, [V1], 100);
  addUntoldVersions(other, [V2], 300);
  const merged = mergeUntoldVersions(one, other);
  expect(listUntoldVersions(one, 50)).to.equal(undefined);
  expect(listUntoldVersions(merged, 50)).to.have.members([V1, V2]);
  expect(listUntoldVersions(merged, 150)).to.deep.equal([V2]);
  expect(listUntoldVersions(merged, 200)).to.deep.equal([]);
});

// Guards against a content whose first stream was forgotten for want of room.
it('stream origins: what is forgotten for want of room is told', () => {
  const origins = makeStreamOrigins();
  const first = { ...KEY, origin: AT_V1, expiresAt: 100 };
  expect(recordOrigin(origins, first)).to.deep.equal([]);
  for (let count = 1; count < 20_000; count += 1) {
    const key = { streamId: `s${count}` as StreamId, contentKey: `c${count}` as ContentKey };
    recordOrigin(origins, { ...key, origin: AT_V2, expiresAt: 200 });
  }
  const last = { streamId: 'last' as StreamId, contentKey: 'last' as ContentKey };
  const forgotten = recordOrigin(origins, { ...last, origin: AT_V2, expiresAt: 200 });
  expect(forgotten).to.deep.equal([{ origin: AT_V1, expiresAt: 100 }]);
});
