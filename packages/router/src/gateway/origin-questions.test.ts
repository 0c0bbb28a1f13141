import type { OriginVote, StreamOrigin } from '@tarragonspool/core';
import type {
  ContentKey,
  ServiceName,
  SoftwareVersion,
  StreamId,
  VmId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { makeOriginQuestions } from './origin-questions.js';

const SERVICE = 'llm' as ServiceName;
const HOME = 'vm-1' as VmId;
const KEY = { streamId: 's' as StreamId, contentKey: 'c' as ContentKey };
const OLD: StreamOrigin = { service: SERVICE, softwareVersion: 'v1' as SoftwareVersion };
const NEW: StreamOrigin = { service: SERVICE, softwareVersion: 'v1.1' as SoftwareVersion };
const ONLY_OLD: OriginVote = { known: [], untold: [OLD], used: [OLD] };

/** Who answers a question, and what the store says then; undefined if it does not answer. */
type Course = { readonly homeVote?: OriginVote; readonly stored: StreamOrigin[] | undefined };

/** Asks from a VM that knows of the old version only; returns where the stream is taken to have begun. */
function ask({ homeVote, stored }: Course): StreamOrigin | undefined {
  const answers: (StreamOrigin | undefined)[] = [];
  const timers: (() => void)[] = [];
  let now = 0;
  const questions = makeOriginQuestions({
    self: 'vm-2' as VmId,
    listHomes: () => [HOME],
    sendTo: () => homeVote !== undefined,
    isSavedRead: () => true,
    buildVote: () => ONLY_OLD,
    readUsed: (_services, onRead) => onRead(stored),
    getNow: () => now,
    schedule: (run) => {
      timers.push(run);
      return () => undefined;
    },
  });
  questions.ask(KEY, [SERVICE], (origin) => answers.push(origin));
  if (homeVote !== undefined) questions.handleAnswer(HOME, '1', homeVote);
  now = 10_000;
  for (let timer = timers.shift(); timer !== undefined; timer = timers.shift()) timer();
  expect(answers).to.have.length(1);
  return answers[0];
}

// Guards against a VM that takes the only version which it knows for that of a stream it was not told of.
it('origin questions: where nobody knows a stream, versions that the store names count', () => {
  expect(ask({ homeVote: ONLY_OLD, stored: [OLD] })).to.deep.equal(OLD);
  expect(ask({ homeVote: ONLY_OLD, stored: [OLD, NEW] })).to.equal(undefined);
  expect(ask({ stored: [OLD, NEW] })).to.equal(undefined);
  expect(ask({ stored: [OLD] })).to.deep.equal(OLD);
});

it('origin questions: without the store a VM goes by its peers, and alone by nothing', () => {
  expect(ask({ homeVote: ONLY_OLD, stored: undefined })).to.deep.equal(OLD);
  expect(ask({ stored: undefined })).to.equal(undefined);
});

it('origin questions: a stream that a home knows needs no question to the store', () => {
  const homeVote = { ...ONLY_OLD, known: [NEW] };
  expect(ask({ homeVote, stored: undefined })).to.deep.equal(NEW);
});
