import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { findLimit, recordLimit, type LimitStatement } from './upstream-beliefs.js';

const SERVER = 'a' as UpstreamId;

function buildStatement(fields: Partial<LimitStatement>): LimitStatement {
  const named = { upstreamId: SERVER, incarnation: 1, requestsPerSecond: 4 };
  return { ...named, sentAt: 100, heardAt: 110, ...fields };
}

const ENDED = { requestsPerSecond: undefined };

it('upstream limits: a limit that is lowered or raised is the one in force', () => {
  const beliefs = new Map();
  expect(recordLimit(beliefs, buildStatement({}))).to.equal(true);
  expect(recordLimit(beliefs, buildStatement({ heardAt: 120 }))).to.equal(false);
  expect(recordLimit(beliefs, buildStatement({ heardAt: 130, requestsPerSecond: 2 }))).to.equal(
    true,
  );
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 1 })).to.equal(2);
  expect(recordLimit(beliefs, buildStatement({ heardAt: 140, requestsPerSecond: 9 }))).to.equal(
    true,
  );
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 1 })).to.equal(9);
});

// Guards against an answer that overtakes another one ending a limit that still holds.
it('upstream limits: only the answer to a request sent after it was named ends a limit', () => {
  const beliefs = new Map();
  recordLimit(beliefs, buildStatement({}));
  expect(recordLimit(beliefs, buildStatement({ ...ENDED, sentAt: 105, heardAt: 150 }))).to.equal(
    false,
  );
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 1 })).to.equal(4);
  expect(recordLimit(beliefs, buildStatement({ ...ENDED, sentAt: 111, heardAt: 150 }))).to.equal(
    true,
  );
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 1 })).to.equal(undefined);
});

it('upstream limits: a limit that was named before it ended does not come back', () => {
  const beliefs = new Map();
  recordLimit(beliefs, buildStatement({}));
  recordLimit(beliefs, buildStatement({ ...ENDED, sentAt: 120, heardAt: 150 }));
  expect(recordLimit(beliefs, buildStatement({ sentAt: 115, heardAt: 125 }))).to.equal(false);
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 1 })).to.equal(undefined);
});

it('upstream limits: a limit holds for the incarnation that named it', () => {
  const beliefs = new Map();
  recordLimit(beliefs, buildStatement({}));
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 2 })).to.equal(undefined);
  recordLimit(beliefs, buildStatement({ incarnation: 2, requestsPerSecond: 7 }));
  expect(recordLimit(beliefs, buildStatement({ heardAt: 200 }))).to.equal(false);
  expect(findLimit(beliefs, { upstreamId: SERVER, incarnation: 2 })).to.equal(7);
});
