import type {
  PromptPartId,
  PromptPartsMessage,
  QuarantineScope,
  ServiceName,
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
