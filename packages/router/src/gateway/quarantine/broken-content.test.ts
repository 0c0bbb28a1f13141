import { makeUpstreamList, type UpstreamRecord } from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import type { GatewayState } from '../gateway-state.js';
import { recordBrokenContent } from './broken-content.js';
import { buildContent, digestContent, makeScope } from './quarantine-scope.js';

const SERVER = 'a' as UpstreamId;
const SCOPE = makeScope('a.example', 'llm' as ServiceName);
const CONTENT = buildContent(SCOPE, digestContent('POST', '/a/', Buffer.from('letter')));

/** Counts the breaks that are held against a content, of a server that is listed so. */
function countBlamed(listed: Partial<UpstreamRecord> | undefined): number {
  let blamed = 0;
  const upstreams = makeUpstreamList();
  if (listed !== undefined) {
    const record = { upstreamId: SERVER, incarnation: 1, isLeaving: false, ...listed };
    upstreams.records.set(SERVER, record as UpstreamRecord);
  }
  const contentGuard = {
    recordBroken: () => {
      blamed += 1;
    },
  };
  const state = { contentGuard, upstreams, logger: pino({ level: 'silent' }) };
  const broken = { content: CONTENT, hasEvents: true, promptParts: [] };
  recordBrokenContent(state as unknown as GatewayState, SERVER, broken);
  return blamed;
}

// Guards against two releases by which a content is refused that no engine ever answered (issue 56).
it('broken content: a request that breaks off at a leaving server blames no content', () => {
  expect(countBlamed({ isLeaving: true })).to.equal(0);
});

it('broken content: a request that breaks off at another server, or one that is not listed, is looked into', () => {
  expect(countBlamed({})).to.equal(1);
  expect(countBlamed(undefined)).to.equal(1);
});
