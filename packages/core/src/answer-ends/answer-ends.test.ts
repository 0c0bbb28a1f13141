import { expect } from 'chai';
import { chooseAnswerFraming } from './answer-framing.js';
import { judgeLife, judgeServerEnd, type EndEvidence } from './server-end.js';

const SHAPE = {
  method: 'POST',
  status: 200,
  hasLength: false,
  isWhole: false,
  takesChunks: true,
};

// Guards against an answer whose end only the end of its connection tells, where something else can tell it.
it('answer framing: a connection tells the end only to a caller without chunks, of a body that is not known', () => {
  expect(chooseAnswerFraming(SHAPE)).to.equal('chunks');
  expect(chooseAnswerFraming({ ...SHAPE, hasLength: true })).to.equal('length');
  expect(chooseAnswerFraming({ ...SHAPE, isWhole: true })).to.equal('length');
  expect(chooseAnswerFraming({ ...SHAPE, isWhole: true, takesChunks: false })).to.equal('length');
  expect(chooseAnswerFraming({ ...SHAPE, takesChunks: false })).to.equal('connection');
});

it('answer framing: an answer without a body has no framing', () => {
  expect(chooseAnswerFraming({ ...SHAPE, method: 'HEAD', isWhole: true })).to.equal('head');
  expect(chooseAnswerFraming({ ...SHAPE, status: 304, isWhole: true })).to.equal('head');
});

/** Closed with its last part. */
const CLOSED = { isBroken: false, idleMs: 0.4, pauseMs: 90 };
/** Closed in the middle of the time between two parts. */
const CLOSED_LATE = { isBroken: false, idleMs: 40, pauseMs: 90 };

/** A server that leaves and answers no more. */
const LEAVING: EndEvidence = {
  life: 'none',
  isHeardAfter: false,
  hasAllTokens: false,
  isLeaving: true,
  hasStoodStill: false,
  end: CLOSED,
  endedBeside: [],
};

function isEnded(evidence: Partial<EndEvidence>): boolean {
  return judgeServerEnd({ ...LEAVING, ...evidence }).isEnded;
}

// Guards against an engine that leaves in order and is taken for dead (review/8).
it('server end: a server that leaves has ended what it closed with the last part', () => {
  expect(isEnded({})).to.equal(true);
  expect(isEnded({ endedBeside: [CLOSED, CLOSED] })).to.equal(true);
});

// Guards against an engine that crashes while it leaves and is believed.
it('server end: a server that leaves has died if connections end at one moment between parts, or broken', () => {
  expect(isEnded({ end: CLOSED_LATE })).to.equal(false);
  expect(isEnded({ endedBeside: [CLOSED_LATE] })).to.equal(false);
  expect(isEnded({ endedBeside: [{ ...CLOSED, isBroken: true }] })).to.equal(false);
  expect(isEnded({ hasStoodStill: true })).to.equal(false);
});

it('server end: a server that is not leaving and does not answer has died', () => {
  expect(isEnded({ isLeaving: false })).to.equal(false);
  expect(isEnded({ isLeaving: false, life: 'other-process' })).to.equal(false);
});

it('server end: a server that answers, is heard after the end or has sent all tokens has ended the answer', () => {
  const late = { isLeaving: false, end: CLOSED_LATE };
  expect(isEnded({ ...late, life: 'same-process' })).to.equal(true);
  expect(isEnded({ ...late, isHeardAfter: true })).to.equal(true);
  expect(isEnded({ ...late, hasAllTokens: true })).to.equal(true);
});

// Guards against parts that come so fast that reading two of them takes longer than a share of their pause.
it('server end: a close within the time of reading is with the last part however fast parts come', () => {
  expect(isEnded({ end: { isBroken: false, idleMs: 1.8, pauseMs: 3 } })).to.equal(true);
  expect(isEnded({ end: { isBroken: false, idleMs: 2.2, pauseMs: 3 } })).to.equal(false);
  expect(isEnded({ end: { isBroken: false, idleMs: 9, pauseMs: undefined } })).to.equal(true);
});

// Guards against an engine that has started anew and is taken for dead until it is listed so, and for alive if it died.
it('server end: the start that reports after an answer is compared with the one during it, or with the listed one', () => {
  expect(judgeLife({ during: 7, after: 7, listed: 1 })).to.equal('same-process');
  expect(judgeLife({ during: 1, after: 7, listed: 1 })).to.equal('other-process');
  expect(judgeLife({ during: 'none', after: 7, listed: 1 })).to.equal('other-process');
  expect(judgeLife({ during: 'none', after: 7, listed: undefined })).to.equal('same-process');
  expect(judgeLife({ during: undefined, after: 7, listed: 1 })).to.equal('same-process');
});
