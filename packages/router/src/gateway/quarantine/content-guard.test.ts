import type { ServiceName, SuspectRecord, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makeContentGuard } from './content-guard.js';
import { buildContent, digestContent, makeScope } from './quarantine-scope.js';

const LOGGER = pino({ level: 'silent' });
const LEDGER = 'ledger' as ServiceName;
const SCOPE = makeScope('a.example', LEDGER);
const DIGEST = digestContent('POST', '/a/', Buffer.from('deadly'));
const CONTENT = buildContent(SCOPE, DIGEST);
const OTHER = buildContent(SCOPE, digestContent('POST', '/a/', Buffer.from('harmless')));

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function buildGuard(isAlive: boolean) {
  const clock = { now: 0 };
  const sent: SuspectRecord[] = [];
  const guard = makeContentGuard({
    probe: () => Promise.resolve(isAlive),
    broadcast: (items) => sent.push(...items),
    takeFraction: () => 0,
    getCrashId: (upstreamId) => `${upstreamId}/1`,
    listScopes: () => [SCOPE],
    onCrash: () => undefined,
    onChanged: () => undefined,
    logger: LOGGER,
    getNow: () => clock.now,
  });
  const crash = async (server: string): Promise<void> => {
    const broken = { content: CONTENT, hasEvents: false, promptParts: [] };
    guard.recordBroken(server as UpstreamId, broken);
    await settle();
    clock.now += 1_000;
    guard.tick();
    // Peers may name other contents that were there.
    clock.now += 200;
    guard.tick();
  };
  return { guard, clock, sent, crash };
}

it('content guard: a content that crashed two servers is refused, others are not', async () => {
  const { guard, crash } = buildGuard(false);
  await crash('a');
  expect(guard.isQuarantined(CONTENT.fingerprint)).to.equal(false);
  await crash('b');
  expect(guard.isQuarantined(CONTENT.fingerprint)).to.equal(true);
  expect(guard.isQuarantined(OTHER.fingerprint)).to.equal(false);
});

it('content guard: an answer lost by a server that is still alive blames no content', async () => {
  const { guard, crash } = buildGuard(true);
  await crash('a');
  await crash('b');
  await crash('c');
  expect(guard.isQuarantined(CONTENT.fingerprint)).to.equal(false);
});

it('content guard: peers receive a quarantine although their clocks differ', async () => {
  const first = buildGuard(false);
  first.clock.now = 5_000_000;
  await first.crash('a');
  await first.crash('b');
  const second = buildGuard(false);
  second.guard.mergeRecords(first.sent);
  expect(second.guard.isQuarantined(CONTENT.fingerprint)).to.equal(true);
});

it('content guard: an answer clears a suspect', async () => {
  const { guard, crash } = buildGuard(false);
  await crash('a');
  guard.recordAnswered(CONTENT.fingerprint);
  await crash('b');
  expect(guard.isQuarantined(CONTENT.fingerprint)).to.equal(false);
});

// Guards against a path that crashes one team's servers being refused to another team, too.
it('content guard: what is refused at one host and service is not refused at others', async () => {
  const { guard, crash, sent } = buildGuard(false);
  await crash('a');
  await crash('b');
  const second = buildGuard(false);
  second.guard.mergeRecords(sent);
  for (const [host, service] of [
    ['b.example', 'ledger'],
    ['a.example', 'archive'],
  ] as const) {
    const elsewhere = buildContent(makeScope(host, service as ServiceName), DIGEST);
    expect(guard.isQuarantined(elsewhere.fingerprint)).to.equal(false);
    expect(second.guard.isQuarantined(elsewhere.fingerprint)).to.equal(false);
  }
});

/** A record as versions without scopes send it. */
function buildOlderRecord(crashes: number): SuspectRecord {
  const lastUpstream = 'a' as UpstreamId;
  return { fingerprint: DIGEST, crashes, lastUpstream, expiresAt: 9_999 };
}

it('content guard: records of older versions hold at the service of the server that crashed', () => {
  const { guard } = buildGuard(false);
  guard.mergeRecords([buildOlderRecord(2)]);
  expect(guard.isQuarantined(CONTENT.fingerprint)).to.equal(true);
  const elsewhere = buildContent(makeScope('a.example', 'archive' as ServiceName), DIGEST);
  expect(guard.isQuarantined(elsewhere.fingerprint)).to.equal(false);
  guard.mergeRecords([buildOlderRecord(0)]);
  expect(guard.isQuarantined(CONTENT.fingerprint)).to.equal(false);
});

it('content guard: older versions read the digest that they know, and two crashes of what is refused', async () => {
  const { crash, sent } = buildGuard(false);
  await crash('a');
  expect(sent.map(({ fingerprint, crashes }) => [fingerprint, crashes])).to.deep.equal([
    [DIGEST, 1],
  ]);
  await crash('b');
  expect(sent.at(-1)).to.include({ fingerprint: DIGEST, crashes: 2 });
});
