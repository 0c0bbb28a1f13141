import {
  decodePeerMessage,
  encodePeerMessage,
  type PromptPartId,
  type PromptPartsMessage,
  type QuarantineScope,
  type ServiceName,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { pino } from 'pino';
import { makePartGuard, type PartGuard } from './part-guard.js';
import { makeScope, scopePart } from './quarantine-scope.js';

const LOGGER = pino({ level: 'silent' });
const SCOPE = makeScope('a.example', 'llm' as ServiceName);
const OTHER_SCOPE = makeScope('b.example', 'llm' as ServiceName);
const DEADLY = 'dead' as PromptPartId;
const CRASH_INTERVAL_MS = 1_000;

function name(scope: QuarantineScope, part = DEADLY): PromptPartId {
  return scopePart(scope, part);
}

function buildGuard() {
  const clock = { now: 0 };
  const sent: PromptPartsMessage[] = [];
  const guard = makePartGuard({
    broadcast: (message) => sent.push(message),
    listScopes: () => [SCOPE, OTHER_SCOPE],
    onChanged: () => undefined,
    logger: LOGGER,
    getNow: () => clock.now,
  });
  return { guard, clock, sent };
}

function crashThrice({ guard, clock }: ReturnType<typeof buildGuard>): void {
  for (const crashId of ['e/1', 'e/2', 'e/3']) {
    guard.recordCrash(crashId, [[name(SCOPE)]]);
    clock.now += CRASH_INTERVAL_MS;
  }
}

function isRefused(guard: PartGuard, scope: QuarantineScope): boolean {
  return guard.findQuarantined([name(scope)]) !== undefined;
}

// Guards against a part that crashes one team's engines being refused to another team, too.
it('part guard: a part is refused in its scope only, also by peers', () => {
  const first = buildGuard();
  crashThrice(first);
  const second = buildGuard();
  for (const message of first.sent) second.guard.handleMessage(message);
  for (const { guard } of [first, second]) {
    expect(isRefused(guard, SCOPE)).to.equal(true);
    expect(isRefused(guard, OTHER_SCOPE)).to.equal(false);
  }
});

it('part guard: older versions read the parts without a scope, and theirs hold in all scopes', () => {
  const { guard, sent, clock } = buildGuard();
  crashThrice({ guard, sent, clock });
  const told = sent.flatMap(({ quarantined }) => quarantined.flatMap(({ parts }) => parts));
  expect(told).to.deep.equal([DEADLY]);
  const older = buildGuard();
  older.guard.handleMessage({
    kind: 'prompt-parts',
    sound: [],
    quarantined: [{ parts: [DEADLY], endsInMs: 9_999 }],
  });
  expect(isRefused(older.guard, SCOPE)).to.equal(true);
  expect(isRefused(older.guard, OTHER_SCOPE)).to.equal(true);
});

function answerOften(guard: PartGuard): void {
  for (let count = 0; count < 10; count += 1) guard.recordAnswered([name(SCOPE)]);
}

// Guards against a VM that starts and refuses a greeting that the others know to be sound.
it('part guard: that a part was answered often is told as a link opens, also while crashes count against it', () => {
  const first = buildGuard();
  answerOften(first.guard);
  first.guard.recordCrash('e/1', [[name(SCOPE)]]);
  const second = buildGuard();
  for (const message of first.guard.listTold()) second.guard.handleMessage(message);
  expect(second.guard.listOftenAnswered()).to.deep.equal([name(SCOPE)]);
  crashThrice(second);
  expect(isRefused(second.guard, SCOPE)).to.equal(false);
});

// Guards against a VM of an older version that takes such a part for answered just now, and forgets what it has counted.
it('part guard: older versions are told no sound parts that crashes count against, and theirs are read without', () => {
  const { guard } = buildGuard();
  answerOften(guard);
  guard.recordCrash('e/1', [[name(SCOPE)]]);
  expect(guard.listTold().flatMap(({ sound }) => sound)).to.deep.equal([]);
  const newer = buildGuard();
  newer.guard.handleMessage({
    kind: 'prompt-parts',
    scope: SCOPE,
    sound: [],
    isEarlier: true,
    quarantined: [],
  });
  crashThrice(newer);
  expect(isRefused(newer.guard, SCOPE)).to.equal(true);
});

function tellAll(from: PartGuard, to: PartGuard): void {
  for (const message of from.listTold()) {
    const decoded = decodePeerMessage(encodePeerMessage(message));
    if (decoded?.kind === 'prompt-parts') to.handleMessage(decoded);
  }
}

// Guards against a part that crashes three engines more after each start of a VM.
it('part guard: crashes that were counted for parts are told as a link opens, in their scope and with their age', () => {
  const first = buildGuard();
  for (const crashId of ['e/1', 'e/2']) {
    first.guard.recordCrash(crashId, [[name(SCOPE)]]);
    first.clock.now += CRASH_INTERVAL_MS;
  }
  const second = buildGuard();
  second.clock.now = 50_000;
  tellAll(first.guard, second.guard);
  // Told again by another VM, they count once.
  tellAll(first.guard, second.guard);
  expect(isRefused(second.guard, SCOPE)).to.equal(false);
  second.guard.recordCrash('e/2', [[name(SCOPE)]]);
  expect(isRefused(second.guard, SCOPE)).to.equal(false);
  second.guard.recordCrash('e/3', [[name(SCOPE)], [name(OTHER_SCOPE)]]);
  expect(isRefused(second.guard, SCOPE)).to.equal(true);
  expect(isRefused(second.guard, OTHER_SCOPE)).to.equal(false);
});

it('part guard: a VM of an older version tells no counts, and each crash counts from the first one seen', () => {
  const { guard, clock } = buildGuard();
  guard.handleMessage({ kind: 'prompt-parts', scope: SCOPE, sound: [], quarantined: [] });
  guard.recordCrash('e/2', [[name(SCOPE)]]);
  clock.now += CRASH_INTERVAL_MS;
  guard.recordCrash('e/3', [[name(SCOPE)]]);
  expect(isRefused(guard, SCOPE)).to.equal(false);
  clock.now += CRASH_INTERVAL_MS;
  guard.recordCrash('e/4', [[name(SCOPE)]]);
  expect(isRefused(guard, SCOPE)).to.equal(true);
});

it('part guard: what is told as a link opens is bounded', () => {
  const { guard, clock } = buildGuard();
  for (let number = 0; number < 300; number += 1) {
    guard.recordCrash(`e/${number}`, [
      [name(SCOPE, `part-${number}` as PromptPartId)],
      [name(SCOPE)],
    ]);
    clock.now += CRASH_INTERVAL_MS;
  }
  const crashes = guard.listTold().flatMap(({ counted = [] }) => counted);
  expect(crashes.flatMap(({ parts }) => parts).length).to.be.within(100, 107);
});
