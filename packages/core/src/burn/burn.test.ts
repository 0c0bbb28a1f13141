import { expect } from 'chai';
import type { CallerId, ServiceName } from '@tarragonspool/protocol';
import {
  countAnswers,
  makeBurnState,
  measureBurnRate,
  recordBurnSample,
  OTHER_LABEL,
} from './burn.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const START = Date.UTC(2026, 11, 4);

function makeSample(caller: string, isMet: boolean, service = 'llm') {
  return {
    callerId: caller as CallerId,
    service: service as ServiceName,
    isFirstTokenMet: isMet,
    isAnswerMet: isMet,
  };
}

it('burn: a window counts only the answers that fall into it', () => {
  const state = makeBurnState(START, 10);
  recordBurnSample(state, makeSample('desk', false), START);
  recordBurnSample(state, makeSample('desk', true), START + 30 * MINUTE_MS);
  const [series] = state.series.values();
  if (series === undefined) throw new Error('expected a series');
  const now = START + 30 * MINUTE_MS;
  expect(countAnswers(series, 'answer', 5 * MINUTE_MS, now)).to.deep.equal({ met: 1, total: 1 });
  expect(countAnswers(series, 'answer', HOUR_MS, now)).to.deep.equal({ met: 1, total: 2 });
  const later = START + 80 * HOUR_MS;
  expect(countAnswers(series, 'answer', 72 * HOUR_MS, later)).to.deep.equal({ met: 0, total: 0 });
});

it('burn: calls without tokens count only for the answer objective', () => {
  const state = makeBurnState(START, 10);
  recordBurnSample(state, { ...makeSample('desk', true), isFirstTokenMet: undefined }, START);
  const [series] = state.series.values();
  if (series === undefined) throw new Error('expected a series');
  expect(countAnswers(series, 'first-token', HOUR_MS, START).total).to.equal(0);
  expect(countAnswers(series, 'answer', HOUR_MS, START).total).to.equal(1);
});

it('burn: callers beyond the limit share one series for each service', () => {
  const state = makeBurnState(START, 2);
  for (let index = 0; index < 500; index += 1) {
    recordBurnSample(state, makeSample(`caller-${index}`, true), START);
  }
  expect([...state.series.values()].map(({ callerId }) => callerId)).to.deep.equal([
    'caller-0',
    'caller-1',
    OTHER_LABEL,
  ]);
});

it('burn: services beyond the limit share one series', () => {
  const state = makeBurnState(START, 2);
  for (let index = 0; index < 5_000; index += 1) {
    recordBurnSample(state, makeSample('a', true, `service-${index}`), START);
  }
  expect(state.series.size).to.equal(2 + 64 + 1);
});

it('burn: a series unused for three days is removed when a new one needs its place', () => {
  const state = makeBurnState(START, 1);
  recordBurnSample(state, makeSample('old', true), START);
  recordBurnSample(state, makeSample('new', true), START + 74 * HOUR_MS);
  expect([...state.series.values()].map(({ callerId }) => callerId)).to.deep.equal(['new']);
});

it('burn: the rate is undefined without answers, and 1 when the budget is used up exactly', () => {
  expect(measureBurnRate({ met: 0, total: 0 }, 0.95)).to.equal(undefined);
  expect(measureBurnRate({ met: 95, total: 100 }, 0.95)).to.be.closeTo(1, 1e-9);
  expect(measureBurnRate({ met: 0, total: 3 }, 0.95)).to.be.closeTo(20, 1e-9);
});
