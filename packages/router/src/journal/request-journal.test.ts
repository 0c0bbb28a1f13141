import { expect } from 'chai';
import type { AttemptId, RequestId, ReservationGrant } from '@tarragonspool/protocol';
import { makeRequestJournal } from './request-journal.js';
import { makeRequestTrace, recordAction, recordRefused } from './request-trace.js';

function makeTrace(id: string) {
  return makeRequestTrace(id as RequestId, 1_000, '/v1/chat/completions');
}

it('journal: the oldest request makes room', () => {
  const journal = makeRequestJournal(2);
  for (const id of ['one', 'two', 'three']) journal.add(makeTrace(id));
  expect(journal.count()).to.equal(2);
  expect(journal.find('one')).to.deep.equal([]);
  expect(journal.find('three')).to.have.length(1);
});

it('journal: size 0 keeps nothing', () => {
  const journal = makeRequestJournal(0);
  journal.add(makeTrace('one'));
  expect(journal.count()).to.equal(0);
});

it('journal: a request sent twice under one id is found twice', () => {
  const journal = makeRequestJournal(5);
  journal.add(makeTrace('same'));
  journal.add(makeTrace('same'));
  expect(journal.find('same')).to.have.length(2);
});

it('request trace: says where each attempt went and why it ended', () => {
  const trace = makeTrace('one');
  const grant = { prefill: 'llm-1', decode: 'llm-2' } as ReservationGrant;
  const ask = { kind: 'ask', attemptId: 'one.1' as AttemptId, excluded: [] } as const;
  recordAction(trace, { ...ask, resumeFrom: undefined }, 1_001);
  recordAction(trace, { kind: 'start-prefill', grant }, 1_002);
  const end = { outcome: 'prefill-failed', tokens: 0 } as never;
  recordAction(trace, { kind: 'report-end', end }, 1_003);
  recordRefused(trace, { name: 'queue-full', ran: 'ran', detail: 'x'.repeat(9_999) }, 1_004);
  expect(trace.attempts).to.have.length(1);
  expect(trace.attempts[0]).to.include({ prefill: 'llm-1', outcome: 'prefill-failed' });
  expect(trace).to.include({ result: 'queue-full', ran: 'ran', endedAt: 1_004 });
  expect(trace.detail).to.have.length(256);
});
