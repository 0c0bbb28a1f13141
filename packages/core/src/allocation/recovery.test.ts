import { expect } from 'chai';
import type { ReservationGrant, ReservationId, UpstreamId } from '@tarragonspool/protocol';
import { makeReservationRequest, START } from './builders.test.js';
import { adviseRecovery, type AttemptView } from './recovery.js';

function makeView(parts: Partial<AttemptView> = {}): AttemptView {
  const reservationRequest = makeReservationRequest('a', START);
  const grant: ReservationGrant = {
    reservationId: 'r' as ReservationId,
    attemptId: reservationRequest.attemptId,
    prefill: 'p0' as UpstreamId,
    decode: 'd0' as UpstreamId,
    prefillAt: START,
    startDeadline: START + 500,
    predictedFirstTokenAt: START + 200,
    predictedAnswerAt: START + 200 + 39 * 30,
  };
  const { promptTokens, maxTokens } = reservationRequest;
  const progressedAt = START + 300;
  const defaults = { grant, promptTokens, maxTokens, tokens: 5, movedAt: progressedAt, askedAt: 0 };
  return { ...defaults, stage: 'decode', ...parts };
}

it('recovery: a stream that makes progress stays on its engine', () => {
  expect(adviseRecovery(makeView(), 'tail', START + 360)).to.equal('wait');
});

it('recovery: a stalled stream with many tokens left is moved, sooner for tail than for crest', () => {
  expect(adviseRecovery(makeView(), 'tail', START + 410)).to.equal('resume');
  expect(adviseRecovery(makeView(), 'crest', START + 410)).to.equal('wait');
  expect(adviseRecovery(makeView(), 'crest', START + 460)).to.equal('resume');
});

it('recovery: a stalled stream near its end waits, since a move would take longer', () => {
  expect(adviseRecovery(makeView({ tokens: 39 }), 'tail', START + 410)).to.equal('wait');
});

it('recovery: a prefill that overruns its prediction requests engines in place of its own, once per interval', () => {
  const view = makeView({ stage: 'prefill' });
  expect(adviseRecovery(view, 'tail', START + 250)).to.equal('wait');
  expect(adviseRecovery(view, 'tail', START + 290)).to.equal('replace-prefill');
  expect(adviseRecovery({ ...view, askedAt: START + 280 }, 'tail', START + 290)).to.equal('wait');
});
