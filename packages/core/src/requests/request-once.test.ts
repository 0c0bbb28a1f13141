import type {
  AttemptId,
  RequestId,
  ReservationGrant,
  ReservationId,
  UpstreamId,
} from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handleRequestEvent, startRequest } from './request-machine.js';
import type { OrderFailure } from './request-messages.js';
import { makeRequestState } from './request-state.js';
import { makeRetryBudget } from './retry-budget.js';

function failPrefill(isOnce: boolean, failure: OrderFailure): string[] {
  const times = { answerDeadline: 10_000, lastDeadline: 20_000 };
  const requestId = 'r' as RequestId;
  const work = { promptTokens: 9, maxTokens: 100, objective: 'tail' } as const;
  const options = { requestId, ...work, ...times, budget: makeRetryBudget(), isOnce };
  const state = makeRequestState(options, 0);
  startRequest(state);
  const attemptId = 'r.1' as AttemptId;
  const grant: ReservationGrant = {
    reservationId: 'g' as ReservationId,
    attemptId,
    prefill: 'p1' as UpstreamId,
    decode: 'd1' as UpstreamId,
    prefillAt: 0,
    startDeadline: 500,
    predictedFirstTokenAt: 200,
    predictedAnswerAt: 2_000,
  };
  handleRequestEvent(state, { kind: 'granted', grant, now: 0 });
  const event = { kind: 'prefill-failed', attemptId, failure, detail: 'x', now: 5 } as const;
  return handleRequestEvent(state, event).map((action) => action.kind);
}

it('a request that runs at most once: an order that may have reached the engine is not sent again', () => {
  expect(failPrefill(true, 'broken')).to.include('fail').and.not.include('ask');
  expect(failPrefill(false, 'broken')).to.include('ask');
});

it('a request that runs at most once: an order that was never sent is sent again', () => {
  expect(failPrefill(true, 'unsent')).to.include('ask');
});
