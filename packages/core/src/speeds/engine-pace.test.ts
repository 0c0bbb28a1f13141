import { expect } from 'chai';
import {
  countHandledAnswers,
  makeEnginePace,
  makePoolPace,
  predictMsPerToken,
  recordPace,
} from './engine-pace.js';

const USAGE = 0.5;
const VARIANCE = 0.03;

/** An engine that has ended an answer every 300 ms for a while, at 1 ms per token. */
function buildMeasured() {
  const pool = makePoolPace();
  const engine = makeEnginePace();
  let now = 0;
  const record = (msPerToken: number, usage = USAGE): void => {
    now += 300;
    recordPace(pool, engine, { msPerToken, usage, variance: VARIANCE }, now);
  };
  for (let index = 0; index < 100; index += 1) record(1);
  const predict = (): number => predictMsPerToken(pool, engine, USAGE, now);
  const countHandled = (maxMsPerToken: number): number =>
    countHandledAnswers(pool, engine, 14, maxMsPerToken, now);
  return { record, predict, countHandled };
}

it('speeds: an engine that becomes three times slower is known as slow after three answers', () => {
  const { record, predict } = buildMeasured();
  for (let index = 0; index < 3; index += 1) record(3);
  expect(predict()).to.be.within(2, 3.5);
  for (let index = 0; index < 3; index += 1) record(1);
  expect(predict()).to.be.within(0.8, 1.6);
});

it('speeds: a single answer that took five times as long changes the pace of its engine little', () => {
  const { record, predict } = buildMeasured();
  record(5);
  expect(predict()).to.be.lessThan(1.35);
});

it('speeds: an engine that takes four times as long beyond half of its slots handles half of them well', () => {
  const { record, countHandled } = buildMeasured();
  expect(countHandled(Infinity)).to.equal(14);
  for (let index = 0; index < 60; index += 1) {
    record(1, 0.3 + 0.03 * (index % 6));
    record(4, 0.7 + 0.03 * (index % 6));
  }
  expect(countHandled(Infinity)).to.be.within(5, 9);
});

it('speeds: an engine gets no more answers than it generates within the pause target', () => {
  const { record, countHandled } = buildMeasured();
  for (let index = 0; index < 40; index += 1) {
    for (const usage of [0.2, 0.4, 0.6, 0.8, 1]) record(0.8 + usage, usage);
  }
  expect(countHandled(Infinity)).to.equal(14);
  expect(countHandled(1.5)).to.be.within(7, 11);
});
