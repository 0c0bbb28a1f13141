import { expect } from 'chai';
import fc from 'fast-check';
import { canGoOnElsewhere, judgeEvent, makeStreamPlace, type StreamPlace } from './event-order.js';
import type { EventId } from './event-splitter.js';

const NONE: EventId = { kind: 'none' };
const UNUSABLE: EventId = { kind: 'unusable' };

function buildNumber(value: number): EventId {
  return { kind: 'number', value };
}

/** Judges the events of one run; returns the place after them, or why one does not follow. */
function judgeRun(place: StreamPlace, ids: readonly (number | EventId)[]): StreamPlace | string {
  let reached = place;
  for (const [index, id] of ids.entries()) {
    const event = typeof id === 'number' ? buildNumber(id) : id;
    const verdict = judgeEvent(reached, event, index === 0);
    if (verdict.kind === 'out-of-order') return verdict.fault;
    reached = verdict.place;
  }
  return reached;
}

/** Judges the events of a run that goes on after another one. */
function judgeNextRun(first: readonly (number | EventId)[], next: number | EventId): string {
  const place = judgeRun(makeStreamPlace(true, undefined), first);
  if (typeof place === 'string') return place;
  const reached = judgeRun(place, [next]);
  return typeof reached === 'string' ? reached : 'follows';
}

// Guards against a stream whose ids go back within one answer.
it('event order: an event whose id is not above the one before does not follow', () => {
  const start = makeStreamPlace(true, undefined);
  expect(judgeRun(start, [1, 2, 3, 2])).to.equal('id not above the one before');
  expect(judgeRun(start, [1, 2, 2])).to.equal('id not above the one before');
  expect(judgeRun(start, [1, 2, 3])).to.include({ lastId: 3 });
});

// Guards against a stream that begins again because an engine ignores where it was asked to go on.
it('event order: a run that begins again or repeats the last event does not follow', () => {
  expect(judgeNextRun([1, 2, 3], 1)).to.equal('id not above the one before');
  expect(judgeNextRun([1, 2, 3], 3)).to.equal('id not above the one before');
  expect(judgeNextRun([1, 2, 3], 4)).to.equal('follows');
});

// Guards against events that are missing where a second engine goes on.
it('event order: a run that leaves events out does not follow where ids count by one', () => {
  expect(judgeNextRun([1, 2, 3], 6)).to.equal('events left out');
  expect(judgeNextRun([0, 1, 2], 4)).to.equal('events left out');
  expect(judgeNextRun([101, 102], 104)).to.equal('events left out');
});

it('event order: where ids do not count by one a run may begin at any greater one', () => {
  expect(judgeNextRun([10, 20, 30], 45)).to.equal('follows');
  expect(judgeNextRun([1, 2, 5, 6, 7], 9)).to.equal('follows');
  expect(judgeNextRun([1], 3)).to.equal('follows');
});

it('event order: a caller that goes on after an event gets no event up to it', () => {
  expect(judgeRun(makeStreamPlace(true, 4), [4])).to.equal('id not above the one before');
  expect(judgeRun(makeStreamPlace(true, 4), [1])).to.equal('id not above the one before');
  expect(judgeRun(makeStreamPlace(true, 4), [5, 6])).to.include({ lastId: 6 });
});

// Guards against events that come again because the place to go on was taken from an earlier one.
it('event order: no other run goes on after events without a number until the next number', () => {
  const start = makeStreamPlace(true, undefined);
  const canGoOn = (ids: readonly (number | EventId)[]): boolean => {
    const place = judgeRun(start, ids);
    return typeof place !== 'string' && canGoOnElsewhere(place);
  };
  expect(canGoOn([1, 2])).to.equal(true);
  expect(canGoOn([1, NONE])).to.equal(false);
  expect(canGoOn([1, NONE, 2])).to.equal(true);
  expect(canGoOn([NONE])).to.equal(false);
  expect(canGoOn([UNUSABLE, UNUSABLE])).to.equal(false);
});

it('event order: ids that are no numbers follow each other, but do not follow a number', () => {
  const start = makeStreamPlace(true, undefined);
  expect(judgeRun(start, [UNUSABLE, UNUSABLE])).not.to.be.a('string');
  expect(judgeRun(start, [1, UNUSABLE])).to.equal('id is no number');
});

it('event order: a stream that only one run makes may have other ids after numbers, and no run goes on with it', () => {
  const place = judgeRun(makeStreamPlace(false, undefined), [1, UNUSABLE, 2]);
  expect(place).to.include({ lastId: 2 });
  expect(canGoOnElsewhere(place as StreamPlace)).to.equal(false);
});

// Guards against events left out behind a caller's own place, where the run after it has shown that ids count by one.
it('event order: a run after one event of a resumed stream goes on where it was asked to', () => {
  const place = judgeRun(makeStreamPlace(true, 3), [4]);
  expect(judgeRun(place as StreamPlace, [6])).to.equal('events left out');
  expect(judgeRun(place as StreamPlace, [5])).to.include({ lastId: 5 });
  const leapt = judgeRun(makeStreamPlace(true, 3), [6]);
  expect(judgeRun(leapt as StreamPlace, [9])).to.include({ lastId: 9 });
});

it('event order: what follows is always above all that came before', () => {
  const runs = fc.array(fc.array(fc.nat(12), { maxLength: 6 }), { maxLength: 6 });
  fc.assert(
    fc.property(runs, (events) => {
      let place = makeStreamPlace(true, undefined);
      const passedOn: number[] = [];
      for (const run of events) {
        for (const [index, id] of run.entries()) {
          const verdict = judgeEvent(place, buildNumber(id), index === 0);
          if (verdict.kind === 'out-of-order') break;
          place = verdict.place;
          passedOn.push(id);
        }
      }
      const sorted = [...new Set(passedOn)].sort((one, other) => one - other);
      expect(passedOn).to.deep.equal(sorted);
    }),
  );
});
