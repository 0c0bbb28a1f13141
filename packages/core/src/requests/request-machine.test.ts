import type {
  AttemptId,
  DecodeFrame,
  RequestId,
  ReservationGrant,
  ReservationId,
  UpstreamId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { findNextRequestTick, handleRequestEvent, startRequest } from './request-machine.js';
import type { OrderFailure, RequestAction } from './request-messages.js';
import { makeRequestState, type RequestState } from './request-state.js';
import { makeRetryBudget } from './retry-budget.js';

type TestRequest = { readonly state: RequestState; actions: RequestAction[]; now: number };

const PREFILLED_TOKENS = 800;

function startTestRequest(): TestRequest {
  const state = makeRequestState(
    {
      requestId: 'r' as RequestId,
      promptTokens: 1_000,
      answerDeadline: 10_000,
      lastDeadline: 20_000,
      maxTokens: 100,
      objective: 'tail',
      budget: makeRetryBudget(),
    },
    0,
  );
  return { state, actions: startRequest(state), now: 0 };
}

function send(request: TestRequest, event: Parameters<typeof handleRequestEvent>[1]): void {
  request.now = event.now;
  request.actions = handleRequestEvent(request.state, event);
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

function grant(request: TestRequest, attempt: number, engines = 'p1 d1'): void {
  send(request, {
    kind: 'granted',
    grant: makeGrant(attempt, engines, request.now),
    now: request.now,
  });
}

function finishPrefill(request: TestRequest, attempt: number): void {
  const result = { promptTokens: 1_000, cachedTokens: 200, kvBytes: 1 };
  const attemptId = `r.${attempt}` as AttemptId;
  send(request, { kind: 'prefilled', attemptId, result, now: request.now + 50 });
}

type FrameBody =
  | { kind: 'imported' }
  | { kind: 'token'; index: number; text: string }
  | { kind: 'end'; tokens: number; finishReason: 'stop' };

function sendFrame(request: TestRequest, attempt: number, body: FrameBody): void {
  const frame = { ...body, attemptId: `r.${attempt}` as AttemptId } as DecodeFrame;
  send(request, { kind: 'frame', frame, now: request.now + 10 });
}

function sendToken(request: TestRequest, attempt: number, index: number): void {
  sendFrame(request, attempt, { kind: 'token', index, text: `t${index}` });
}

function failDecode(request: TestRequest, attempt: number, failure: OrderFailure): void {
  const attemptId = `r.${attempt}` as AttemptId;
  send(request, { kind: 'decode-failed', attemptId, failure, detail: 'x', now: request.now });
}

function startDecoding(): TestRequest {
  const request = startTestRequest();
  grant(request, 1);
  finishPrefill(request, 1);
  sendFrame(request, 1, { kind: 'imported' });
  return request;
}

function describeActions(request: TestRequest): string[] {
  return request.actions.map((action) => {
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

it('requests: an answer is written once and the end of its attempt is reported', () => {
  const request = startDecoding();
  expect(describeActions(request)).to.deep.equal([`used ${PREFILLED_TOKENS}`]);
  sendToken(request, 1, 0);
  expect(describeActions(request)).to.deep.equal(['write 0']);
  sendFrame(request, 1, { kind: 'end', tokens: 1, finishReason: 'stop' });
  expect(describeActions(request)).to.deep.equal(['end r.1 answered', 'finish']);
});

it('requests: a prefill starts at the prefillAt of its grant, not earlier', () => {
  const request = startTestRequest();
  send(request, {
    kind: 'granted',
    grant: { ...makeGrant(1, 'p1 d1', 0), prefillAt: 100 },
    now: 0,
  });
  expect(describeActions(request)).to.deep.equal([]);
  expect(findNextRequestTick(request.state)).to.equal(100);
  send(request, { kind: 'ticked', now: 99 });
  expect(describeActions(request)).to.deep.equal([]);
  send(request, { kind: 'ticked', now: 100 });
  expect(describeActions(request)).to.deep.equal(['start-prefill']);
});

it('requests: a grant past its start deadline is released and a new one requested', () => {
  const request = startTestRequest();
  send(request, { kind: 'granted', grant: makeGrant(1, 'p1 d1', 0), now: 501 });
  expect(describeActions(request)).to.deep.equal(['end r.1 unused', 'ask r.2 from none']);
});

it('requests: an import refused as `declined` goes to another engine without a new prefill', () => {
  const request = startTestRequest();
  grant(request, 1);
  finishPrefill(request, 1);
  failDecode(request, 1, 'declined');
  expect(describeActions(request)).to.deep.equal(['end r.1 decode-failed', 'ask r.2 from p1']);
  grant(request, 2, 'p1 d2');
  expect(describeActions(request)).to.deep.equal(['decode d2 from p1 at 0']);
});

it('requests: an import refused as `declined` starts over once the KV cache has expired, and counts the waste', () => {
  const request = startTestRequest();
  grant(request, 1);
  finishPrefill(request, 1);
  failDecode(request, 1, 'declined');
  send(request, { kind: 'ticked', now: 5_000 });
  expect(describeActions(request)).to.deep.equal([
    'withdraw r.2',
    `wasted ${PREFILLED_TOKENS}`,
    'cancel p1 r.1',
    'ask r.3 from none',
  ]);
});

it('requests: a stream that breaks continues on another engine at the next token', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  failDecode(request, 1, 'broken');
  expect(describeActions(request)).to.deep.equal([
    'cancel d1 r.1',
    'end r.1 decode-failed',
    'ask r.2 from none',
  ]);
  grant(request, 2, 'p2 d2');
  finishPrefill(request, 2);
  expect(describeActions(request)).to.deep.equal(['decode d2 from p2 at 1']);
  sendToken(request, 2, 1);
  expect(describeActions(request)).to.deep.equal([`wasted ${PREFILLED_TOKENS}`, 'write 1']);
  sendToken(request, 1, 2);
  expect(describeActions(request)).to.deep.equal([]);
});

it('requests: tokens after a gap are not written to the caller', () => {
  const request = startDecoding();
  sendToken(request, 1, 1);
  expect(describeActions(request)).to.include('ask r.2 from none');
  expect(describeActions(request).filter((line) => line.startsWith('write'))).to.deep.equal([]);
});

it('requests: a repeated token is not written to the caller', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  sendToken(request, 1, 0);
  expect(describeActions(request)).to.deep.equal([]);
});

it('requests: a stalled stream moves with its KV cache, and its old hold is cancelled after the import', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
  expect(describeActions(request)).to.deep.equal(['ask r.2 from d1']);
  grant(request, 2, 'd1 d2');
  expect(describeActions(request)).to.deep.equal(['decode d2 from d1 at 1']);
  sendToken(request, 1, 1);
  expect(describeActions(request)).to.deep.equal([]);
  sendFrame(request, 2, { kind: 'imported' });
  expect(describeActions(request)).to.deep.equal(['cancel d1 r.1', 'end r.1 decode-failed']);
});

it('requests: a stalled stream that cannot be exported starts over; the importer is not excluded', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
  grant(request, 2, 'd1 d2');
  send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
  expect(describeActions(request)).to.include('ask r.3 from none');
  expect(request.state.excluded).to.deep.equal(['d1']);
});

it('requests: exclusions are dropped when no other engine is left', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  failDecode(request, 1, 'broken');
  const refusal = { name: 'no-upstream', ran: 'not-run', detail: '' } as const;
  send(request, { kind: 'refused', attemptId: 'r.2' as AttemptId, refusal, now: request.now });
  expect(request.actions).to.deep.equal([
    { kind: 'ask', attemptId: 'r.3', excluded: [], resumeFrom: undefined, movesFrom: undefined },
  ]);
});

it('requests: a standby attempt takes the place of a delayed prefill once it is granted', () => {
  const request = startTestRequest();
  grant(request, 1);
  while (request.actions.length === 0 || request.actions[0]?.kind === 'start-prefill') {
    send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
  }
  expect(request.actions).to.deep.equal([
    { kind: 'ask', attemptId: 'r.2', excluded: ['p1'], resumeFrom: undefined, movesFrom: 'r.1' },
  ]);
  grant(request, 2, 'p2 d2');
  expect(describeActions(request)).to.deep.equal([
    'abandoned 1000',
    'cancel p1 r.1',
    'end r.1 cancelled',
    'start-prefill',
  ]);
});

it('requests: a delayed prefill that ends first is used, and the `ask` of its standby is withdrawn', () => {
  const request = startTestRequest();
  grant(request, 1);
  while (request.state.standbyId === undefined) {
    send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
  }
  finishPrefill(request, 1);
  expect(describeActions(request)).to.deep.equal(['withdraw r.2', 'decode d1 from p1 at 0']);
});

it('requests: a stalled stream that continues stays on its engine', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
  sendToken(request, 1, 1);
  expect(describeActions(request)).to.deep.equal(['withdraw r.2', 'write 1']);
});

it('requests: a delayed stream requests to move, and a stuck one requests a reservation without movesFrom', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  const refusal = { name: 'no-upstream', ran: 'not-run', detail: '' } as const;
  const moves: boolean[] = [];
  for (let tick = 0; tick < 100; tick += 1) {
    send(request, { kind: 'ticked', now: findNextRequestTick(request.state) });
    const [action] = request.actions;
    if (action === undefined) continue;
    if (action.kind !== 'ask') throw new Error(`expected an ask action, got ${action.kind}`);
    moves.push(action.movesFrom === 'r.1');
    if (action.movesFrom === undefined) break;
    send(request, { kind: 'refused', attemptId: action.attemptId, refusal, now: request.now });
  }
  expect(moves.slice(0, 2)).to.deep.equal([true, true]);
  expect(moves.at(-1)).to.equal(false);
});

it('requests: all holds are cancelled when the caller goes away', () => {
  const request = startDecoding();
  send(request, { kind: 'caller-gone', now: request.now });
  expect(describeActions(request)).to.deep.equal([
    'cancel d1 r.1',
    'end r.1 cancelled',
    'fail caller-gone ran',
  ]);
});

it('requests: an `ask` is withdrawn when the caller goes away', () => {
  const request = startTestRequest();
  send(request, { kind: 'caller-gone', now: 1 });
  expect(describeActions(request)).to.deep.equal(['withdraw r.1', 'fail caller-gone not-run']);
});

it('requests: not run is reported only if no order was sent', () => {
  const refusal = { name: 'queue-full', ran: 'not-run', detail: '' } as const;
  const attemptId = (attempt: number) => `r.${attempt}` as AttemptId;
  const unsent = startTestRequest();
  grant(unsent, 1);
  const failed = { kind: 'prefill-failed', detail: 'x', now: 1 } as const;
  send(unsent, { ...failed, attemptId: attemptId(1), failure: 'unsent' });
  send(unsent, { kind: 'refused', attemptId: attemptId(2), refusal, now: 2 });
  expect(describeActions(unsent)).to.deep.equal(['fail queue-full not-run']);
  const broken = startTestRequest();
  grant(broken, 1);
  send(broken, { ...failed, attemptId: attemptId(1), failure: 'broken' });
  send(broken, { kind: 'refused', attemptId: attemptId(2), refusal, now: 2 });
  expect(describeActions(broken)).to.deep.equal(['fail queue-full unknown']);
});

it('requests: retries stop when the budget is spent', () => {
  const request = startTestRequest();
  request.state.budget.available = 0;
  grant(request, 1);
  send(request, {
    kind: 'prefill-failed',
    attemptId: 'r.1' as AttemptId,
    failure: 'broken',
    detail: 'x',
    now: 1,
  });
  expect(describeActions(request)).to.include('fail upstream-failed unknown');
});

it('requests: an answer in progress is not cut off at its latency target', () => {
  const request = startDecoding();
  sendToken(request, 1, 0);
  send(request, { kind: 'ticked', now: 10_000 });
  expect(request.state.phase).to.equal('decoding');
  send(request, { kind: 'ticked', now: 20_000 });
  expect(describeActions(request).at(-1)).to.equal('fail upstream-timeout ran');
});
