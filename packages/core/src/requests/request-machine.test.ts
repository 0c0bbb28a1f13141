import type {
  AttemptId,
  DecodeFrame,
  RequestId,
  ReservationGrant,
  ReservationId,
  UpstreamId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { getNextTick, handleRequestEvent, startRequest } from './request-machine.js';
import type { OrderFailure, RequestAction } from './request-messages.js';
import { makeRequestState, type RequestState } from './request-state.js';
import { makeRetryBudget } from './retry-budget.js';

type Run = { readonly state: RequestState; actions: RequestAction[]; now: number };

const PREFILLED_TOKENS = 800;

function startRun(): Run {
  const state = makeRequestState(
    {
      requestId: 'r' as RequestId,
      promptTokens: 1_000,
      answerDeadline: 10_000,
      lastDeadline: 20_000,
      budget: makeRetryBudget(),
    },
    0,
  );
  return { state, actions: startRequest(state), now: 0 };
}

function send(run: Run, event: Parameters<typeof handleRequestEvent>[1]): void {
  run.now = event.now;
  run.actions = handleRequestEvent(run.state, event);
}

function makeGrant(attempt: number, engines: string, now: number): ReservationGrant {
  const [prefill, decode] = engines.split(' ');
  return {
    reservationId: `g${attempt}` as ReservationId,
    attemptId: `r.${attempt}` as AttemptId,
    prefill: prefill as UpstreamId,
    decode: decode as UpstreamId,
    prefillAt: now,
    startDeadline: now + 500,
    predictedFirstTokenAt: now + 200,
    predictedAnswerAt: now + 2_000,
  };
}

function grant(run: Run, attempt: number, engines = 'p1 d1'): void {
  send(run, { kind: 'granted', grant: makeGrant(attempt, engines, run.now), now: run.now });
}

function finishPrefill(run: Run, attempt: number): void {
  const result = { promptTokens: 1_000, cachedTokens: 200, kvBytes: 1 };
  const attemptId = `r.${attempt}` as AttemptId;
  send(run, { kind: 'prefilled', attemptId, result, now: run.now + 50 });
}

type FrameBody =
  | { kind: 'imported' }
  | { kind: 'token'; index: number; text: string }
  | { kind: 'end'; tokens: number; finishReason: 'stop' };

function sendFrame(run: Run, attempt: number, body: FrameBody): void {
  const frame = { ...body, attemptId: `r.${attempt}` as AttemptId } as DecodeFrame;
  send(run, { kind: 'frame', frame, now: run.now + 10 });
}

function sendToken(run: Run, attempt: number, index: number): void {
  sendFrame(run, attempt, { kind: 'token', index, text: `t${index}` });
}

function failDecode(run: Run, attempt: number, failure: OrderFailure): void {
  const attemptId = `r.${attempt}` as AttemptId;
  send(run, { kind: 'decode-failed', attemptId, failure, detail: 'x', now: run.now });
}

function startDecoding(): Run {
  const run = startRun();
  grant(run, 1);
  finishPrefill(run, 1);
  sendFrame(run, 1, { kind: 'imported' });
  return run;
}

function show(run: Run): string[] {
  return run.actions.map((action) => {
    switch (action.kind) {
      case 'ask':
        return `ask ${action.attemptId} from ${action.resumeFrom ?? 'none'}`;
      case 'cancel':
        return `cancel ${action.upstreamId} ${action.attemptId}`;
      case 'withdraw':
        return `withdraw ${action.attemptId}`;
      case 'report-end':
        return `end ${action.end.attemptId} ${action.end.outcome}`;
      case 'write-token':
        return `write ${action.index}`;
      case 'start-decode':
        return `decode ${action.grant.decode} from ${action.source.upstreamId} at ${action.fromIndex}`;
      case 'count-prefill':
        return `${action.fate} ${action.tokens}`;
      case 'fail':
        return `fail ${action.refusal.name} ${action.refusal.ran}`;
      default:
        return action.kind;
    }
  });
}

it('requests: an answer is written once and its attempt ended', () => {
  const run = startDecoding();
  expect(show(run)).to.deep.equal([`used ${PREFILLED_TOKENS}`]);
  sendToken(run, 1, 0);
  expect(show(run)).to.deep.equal(['write 0']);
  sendFrame(run, 1, { kind: 'end', tokens: 1, finishReason: 'stop' });
  expect(show(run)).to.deep.equal(['end r.1 answered', 'finish']);
});

it('requests: a prefill starts when the grant says, not sooner', () => {
  const run = startRun();
  send(run, { kind: 'granted', grant: { ...makeGrant(1, 'p1 d1', 0), prefillAt: 100 }, now: 0 });
  expect(show(run)).to.deep.equal([]);
  expect(getNextTick(run.state)).to.equal(100);
  send(run, { kind: 'ticked', now: 99 });
  expect(show(run)).to.deep.equal([]);
  send(run, { kind: 'ticked', now: 100 });
  expect(show(run)).to.deep.equal(['start-prefill']);
});

it('requests: a grant past its start deadline is given back and asked for again', () => {
  const run = startRun();
  send(run, { kind: 'granted', grant: makeGrant(1, 'p1 d1', 0), now: 501 });
  expect(show(run)).to.deep.equal(['end r.1 unused', 'ask r.2 from none']);
});

it('requests: a refused import goes to another engine without a new prefill', () => {
  const run = startRun();
  grant(run, 1);
  finishPrefill(run, 1);
  failDecode(run, 1, 'declined');
  expect(show(run)).to.deep.equal(['end r.1 decode-failed', 'ask r.2 from p1']);
  grant(run, 2, 'p1 d2');
  expect(show(run)).to.deep.equal(['decode d2 from p1 at 0']);
});

it('requests: a refused import starts over once the cache has lapsed, and counts the waste', () => {
  const run = startRun();
  grant(run, 1);
  finishPrefill(run, 1);
  failDecode(run, 1, 'declined');
  send(run, { kind: 'ticked', now: 5_000 });
  expect(show(run)).to.deep.equal([
    'withdraw r.2',
    `wasted ${PREFILLED_TOKENS}`,
    'cancel p1 r.1',
    'ask r.3 from none',
  ]);
});

it('requests: a stream that breaks goes on elsewhere at the next token', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  failDecode(run, 1, 'broken');
  expect(show(run)).to.deep.equal(['cancel d1 r.1', 'end r.1 decode-failed', 'ask r.2 from none']);
  grant(run, 2, 'p2 d2');
  finishPrefill(run, 2);
  expect(show(run)).to.deep.equal(['decode d2 from p2 at 1']);
  sendToken(run, 2, 1);
  expect(show(run)).to.deep.equal([`wasted ${PREFILLED_TOKENS}`, 'write 1']);
  sendToken(run, 1, 2);
  expect(show(run)).to.deep.equal([]);
});

it('requests: a gap in the tokens is not written', () => {
  const run = startDecoding();
  sendToken(run, 1, 1);
  expect(show(run)).to.include('ask r.2 from none');
  expect(show(run).filter((line) => line.startsWith('write'))).to.deep.equal([]);
});

it('requests: a repeated token is not written', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  sendToken(run, 1, 0);
  expect(show(run)).to.deep.equal([]);
});

it('requests: a stalled stream moves with its cache, and the old place is freed after the import', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  send(run, { kind: 'ticked', now: getNextTick(run.state) });
  expect(show(run)).to.deep.equal(['ask r.2 from d1']);
  grant(run, 2, 'd1 d2');
  expect(show(run)).to.deep.equal(['decode d2 from d1 at 1']);
  sendToken(run, 1, 1);
  expect(show(run)).to.deep.equal([]);
  sendFrame(run, 2, { kind: 'imported' });
  expect(show(run)).to.deep.equal(['cancel d1 r.1', 'end r.1 decode-failed']);
});

it('requests: a stalled stream that cannot be exported starts over without blame on the importer', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  send(run, { kind: 'ticked', now: getNextTick(run.state) });
  grant(run, 2, 'd1 d2');
  send(run, { kind: 'ticked', now: getNextTick(run.state) });
  expect(show(run)).to.include('ask r.3 from none');
  expect(run.state.excluded).to.deep.equal(['d1']);
});

it('requests: exclusions are dropped when no other engine is left', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  failDecode(run, 1, 'broken');
  const refusal = { name: 'no-upstream', ran: 'not-run', detail: '' } as const;
  send(run, { kind: 'refused', attemptId: 'r.2' as AttemptId, refusal, now: run.now });
  expect(run.actions).to.deep.equal([
    { kind: 'ask', attemptId: 'r.3', excluded: [], resumeFrom: undefined },
  ]);
});

it('requests: a stalled stream that moves again stays', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  send(run, { kind: 'ticked', now: getNextTick(run.state) });
  sendToken(run, 1, 1);
  expect(show(run)).to.deep.equal(['withdraw r.2', 'write 1']);
});

it('requests: a delayed stream asks to move, and after refusals the stalled one asks without asking leave', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  const refusal = { name: 'no-upstream', ran: 'not-run', detail: '' } as const;
  const moves: boolean[] = [];
  for (let attempt = 2; attempt < 12; attempt += 1) {
    send(run, { kind: 'ticked', now: getNextTick(run.state) });
    const [ask] = run.actions;
    if (ask?.kind !== 'ask') throw new Error(`no ask but ${ask?.kind}`);
    moves.push(ask.movesFrom === 'r.1');
    if (ask.movesFrom === undefined) break;
    send(run, { kind: 'refused', attemptId: ask.attemptId, refusal, now: run.now });
  }
  expect(moves.slice(0, 2)).to.deep.equal([true, true]);
  expect(moves.at(-1)).to.equal(false);
});

it('requests: a caller that goes away frees every place', () => {
  const run = startDecoding();
  send(run, { kind: 'caller-gone', now: run.now });
  expect(show(run)).to.deep.equal(['cancel d1 r.1', 'end r.1 cancelled', 'fail caller-gone ran']);
});

it('requests: an ask is withdrawn when its caller goes away', () => {
  const run = startRun();
  send(run, { kind: 'caller-gone', now: 1 });
  expect(show(run)).to.deep.equal(['withdraw r.1', 'fail caller-gone not-run']);
});

it('requests: not run is said only if no order left', () => {
  const refusal = { name: 'queue-full', ran: 'not-run', detail: '' } as const;
  const attemptId = (attempt: number) => `r.${attempt}` as AttemptId;
  const unsent = startRun();
  grant(unsent, 1);
  const failed = { kind: 'prefill-failed', detail: 'x', now: 1 } as const;
  send(unsent, { ...failed, attemptId: attemptId(1), failure: 'unsent' });
  send(unsent, { kind: 'refused', attemptId: attemptId(2), refusal, now: 2 });
  expect(show(unsent)).to.deep.equal(['fail queue-full not-run']);
  const broken = startRun();
  grant(broken, 1);
  send(broken, { ...failed, attemptId: attemptId(1), failure: 'broken' });
  send(broken, { kind: 'refused', attemptId: attemptId(2), refusal, now: 2 });
  expect(show(broken)).to.deep.equal(['fail queue-full unknown']);
});

it('requests: retries stop when the budget is spent', () => {
  const run = startRun();
  run.state.budget.available = 0;
  grant(run, 1);
  send(run, {
    kind: 'prefill-failed',
    attemptId: 'r.1' as AttemptId,
    failure: 'broken',
    detail: 'x',
    now: 1,
  });
  expect(show(run)).to.include('fail upstream-failed unknown');
});

it('requests: an answer under way is not cut at its target', () => {
  const run = startDecoding();
  sendToken(run, 1, 0);
  send(run, { kind: 'ticked', now: 10_000 });
  expect(run.state.phase).to.equal('decoding');
  send(run, { kind: 'ticked', now: 20_000 });
  expect(show(run).at(-1)).to.equal('fail upstream-timeout ran');
});
