import type { ServiceName, ServiceSummary, UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { judgeCall, type PendingCall } from './call-room.js';
import {
  makeServerCurve,
  predictAnswerMs,
  recordAnswers,
  recordRefusals,
  updateHandles,
} from './server-curve.js';
import { computeRoom } from './service-room.js';
import { computeAdmittedShares } from './tenant-room.js';

const NOW = 10_000;

function buildSummary(changes: Partial<ServiceSummary>): ServiceSummary {
  const upstreamId = 'a' as UpstreamId;
  return {
    service: 'ledger' as ServiceName,
    servers: [{ upstreamId, inFlight: 6, handles: 6, handledMs: 40, answerMs: 45 }],
    share: 1,
    tenants: [],
    lateShare: 1,
    retryAfterMs: 500,
    ...changes,
  };
}

function buildCall(changes: Partial<PendingCall>): PendingCall {
  const due = { aimAt: NOW + 200, deadlineAt: NOW + 1_500 };
  return { tenant: '', ...due, answerMs: 50, fraction: 0.5, now: NOW, ...changes };
}

it('call room: a call is sent where there is room for its share', () => {
  expect(judgeCall(buildSummary({}), buildCall({})).kind).to.equal('send');
  const scarce = buildSummary({ share: 0.4 });
  expect(judgeCall(scarce, buildCall({ fraction: 0.3 })).kind).to.equal('send');
});

it('call room: a call that can still be on time waits, and no longer than that', () => {
  const verdict = judgeCall(buildSummary({ share: 0.4 }), buildCall({}));
  expect(verdict).to.deep.equal({ kind: 'wait', isLate: false, until: NOW + 150 });
});

it('call room: a call that hardly gets its turn in time is refused at once', () => {
  const summary = buildSummary({ share: 0.05 });
  const verdict = judgeCall(summary, buildCall({}));
  expect(verdict).to.deep.equal({ kind: 'refuse', retryAfterMs: 625 });
});

it('call room: a late call waits while the queue drains well before its deadline, and no longer', () => {
  const call = buildCall({ aimAt: NOW + 10 });
  const draining = buildSummary({ share: 0.4, lateShare: 0, drainMs: 300 });
  expect(judgeCall(draining, call)).to.deep.equal({
    kind: 'wait',
    isLate: true,
    until: NOW + 1_400,
  });
  const slow = buildSummary({ share: 0.4, lateShare: 0, drainMs: 1_200 });
  expect(judgeCall(slow, call).kind).to.equal('refuse');
});

it('call room: a tenant with a share of its own is judged by that', () => {
  const summary = buildSummary({ share: 0.1, tenants: [{ tenant: 'usual', share: 1 }] });
  expect(judgeCall(summary, buildCall({ tenant: 'usual', fraction: 0.9 })).kind).to.equal('send');
});

it('service room: full servers give late calls only what calls on time leave', () => {
  const servers = [{ inFlight: 9, handles: 6, handledMs: 60 }];
  const tenants = [{ tenant: '', perS: 80, usualPerS: 20 }];
  const calm = computeRoom({ servers, tenants, waiting: 0, waitingLate: 20 });
  expect(calm.share).to.equal(1);
  expect(calm.lateShare).to.be.within(0.01, 0.5);
  expect(calm.drainMs).to.be.within(500, 3_000);
  const short = computeRoom({ servers, tenants, waiting: 30, waitingLate: 20 });
  expect(short.share).to.be.lessThan(0.5);
  expect(short.lateShare).to.equal(0);
});

it('service room: a stuck server takes no room of the others', () => {
  const stuck = { inFlight: 500, handles: 6, handledMs: 60 };
  const servers = [stuck, ...Array.from({ length: 5 }, () => ({ ...stuck, inFlight: 1 }))];
  const tenants = [{ tenant: '', perS: 80, usualPerS: 80 }];
  expect(computeRoom({ servers, tenants, waiting: 0, waitingLate: 0 }).share).to.equal(1);
});

it('tenant room: what one tenant does not need goes to the others, by their usual use', () => {
  const shares = computeAdmittedShares(
    [
      { tenant: 'large', perS: 50, usualPerS: 50 },
      { tenant: 'small', perS: 5, usualPerS: 10 },
      { tenant: 'greedy', perS: 100, usualPerS: 10 },
    ],
    100,
  );
  expect(shares.get('large')).to.equal(1);
  expect(shares.get('small')).to.equal(1);
  expect(shares.get('greedy')).to.be.closeTo(0.45, 0.001);
});

it('tenant room: a tenant without usual use gets some room', () => {
  const shares = computeAdmittedShares(
    [
      { tenant: 'usual', perS: 100, usualPerS: 100 },
      { tenant: 'new', perS: 1, usualPerS: 0 },
    ],
    50,
  );
  expect(shares.get('new')).to.equal(1);
});

it('server curve: a new server is taken to handle its slots, and its first answer sets its speed', () => {
  const curve = makeServerCurve(6);
  expect(curve.handles).to.equal(6);
  recordAnswers(curve, { inFlight: 1, answers: 1, answerMs: 40 });
  expect(predictAnswerMs(curve, 1)).to.equal(40);
  expect(predictAnswerMs(curve, 12)).to.equal(80);
});

it('server curve: a server that refuses below its slots is given less, and more again later', () => {
  const curve = makeServerCurve(6);
  recordRefusals(curve, 3);
  updateHandles(curve, 100);
  expect(curve.handles).to.be.lessThan(3);
  for (let step = 0; step < 60; step += 1) updateHandles(curve, 100);
  expect(curve.handles).to.be.greaterThan(5);
});

it('server curve: a new VM that sums goes on from what the one before had learned', () => {
  const curve = makeServerCurve(6, { handles: 3, inFlight: 0, answerMs: 90 });
  expect(curve.handles).to.equal(3);
  expect(predictAnswerMs(curve, 1)).to.equal(90);
});
