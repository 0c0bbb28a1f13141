import type { SuspectRecord, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { digestContent, makeContentGuard } from './content-guard.js';

const LOGGER = pino({ level: 'silent' });
const CONTENT = digestContent('POST', '/a/', Buffer.from('deadly'));
const OTHER = digestContent('POST', '/a/', Buffer.from('harmless'));

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
    getCrashId: (upstreamId) => `${upstreamId}/1`,
    onCrash: () => undefined,
    logger: LOGGER,
    getNow: () => clock.now,
  });
  const crash = async (server: string): Promise<void> => {
    const content = { fingerprint: CONTENT, hasEvents: false, promptParts: [] };
    guard.recordBroken(server as UpstreamId, content);
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
  expect(guard.isQuarantined(CONTENT)).to.equal(false);
  await crash('b');
  expect(guard.isQuarantined(CONTENT)).to.equal(true);
  expect(guard.isQuarantined(OTHER)).to.equal(false);
});

it('content guard: an answer lost by a server that is still alive blames no content', async () => {
  const { guard, crash } = buildGuard(true);
  await crash('a');
  await crash('b');
  await crash('c');
  expect(guard.isQuarantined(CONTENT)).to.equal(false);
});

it('content guard: peers receive a quarantine although their clocks differ', async () => {
  const first = buildGuard(false);
  first.clock.now = 5_000_000;
  await first.crash('a');
  await first.crash('b');
  const second = buildGuard(false);
  second.guard.mergeRecords(first.sent);
  expect(second.guard.isQuarantined(CONTENT)).to.equal(true);
});

it('content guard: an answer clears a suspect', async () => {
  const { guard, crash } = buildGuard(false);
  await crash('a');
  guard.recordAnswered(CONTENT);
  await crash('b');
  expect(guard.isQuarantined(CONTENT)).to.equal(false);
});
