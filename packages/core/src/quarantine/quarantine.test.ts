import { expect } from 'chai';
import type { Fingerprint, UpstreamId } from '@tarragonspool/protocol';
import {
  findContentStatus,
  handleQuarantineEvent,
  makeQuarantineState,
  type QuarantineState,
} from './quarantine.js';

const ENGINE = 'e1' as UpstreamId;
const STREAM = 'stream' as Fingerprint;
const CRASHING = 'crashing' as Fingerprint;

/** Records the crash of an engine that ran a stream with tokens. */
function recordCrash(state: QuarantineState, upstreamId = ENGINE, now = 0): QuarantineState {
  const broken = { kind: 'broken', upstreamId, fingerprint: STREAM, hasTokens: true, now } as const;
  handleQuarantineEvent(state, broken);
  handleQuarantineEvent(state, { kind: 'probed', upstreamId, isAlive: false, now: now + 150 });
  return state;
}

function listBlamed(state: QuarantineState, now: number): string[] {
  const blamed: string[] = [];
  for (const action of handleQuarantineEvent(state, { kind: 'ticked', now })) {
    if (action.kind !== 'publish') continue;
    for (const { fingerprint } of action.items) blamed.push(fingerprint);
  }
  return blamed;
}

it('quarantine: a stream with tokens is not blamed once a peer names another content', () => {
  const state = recordCrash(makeQuarantineState());
  expect(listBlamed(state, 300)).to.deep.equal([]);
  const item = { fingerprint: CRASHING, crashes: 1, lastUpstream: ENGINE, expiresAt: 9_999 };
  handleQuarantineEvent(state, { kind: 'heard', items: [item], now: 350 });
  expect(listBlamed(state, 400)).to.deep.equal([]);
  expect(listBlamed(state, 900)).to.deep.equal([]);
  expect(findContentStatus(state, STREAM, 900).kind).to.equal('clear');
});

it('quarantine: a stream with tokens is blamed where no peer names another content', () => {
  const state = recordCrash(makeQuarantineState());
  expect(listBlamed(state, 600)).to.deep.equal([]);
  expect(listBlamed(state, 700)).to.deep.equal([STREAM]);
});

it('quarantine: a stream with tokens continues on another engine while peers are awaited, but not after a second crash', () => {
  const state = recordCrash(makeQuarantineState());
  expect(findContentStatus(state, STREAM, 200).kind).to.equal('in-doubt');
  listBlamed(state, 300);
  expect(findContentStatus(state, STREAM, 301).kind).to.equal('clear');
  recordCrash(state, 'e2' as UpstreamId, 350);
  expect(findContentStatus(state, STREAM, 660).kind).to.equal('in-doubt');
});
