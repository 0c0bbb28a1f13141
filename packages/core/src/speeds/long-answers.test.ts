import { expect } from 'chai';
import { buildEngine, buildPool } from '../pools/pool-test-kit.js';
import { makeAnswerLengths, measureLengthShape } from './answer-lengths.js';
import { addToProfile, makeMemoryProfile, predictPeak } from './memory-forecast.js';
import { hasPreemptionPause, makeMemoryMargin, recordMemoryOutcome } from './memory-margin.js';
import { makeFractions, runModel, type Pace } from './engine-model-kit.js';

/** Six decode engines with 14 slots each, and memory for seven answers. */
const ENGINES = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'].map((name) =>
  buildEngine(name, { slots: 14, kvCapacityTokens: 56_000 }),
);
const PREFILL_ENGINES = ['p1', 'p2', 'p3', 'p4'].map((name) =>
  buildEngine(name, { stage: 'prefill' }),
);

/** A step takes a little longer with each further answer. */
const evenPace: Pace = (_engine, running) => 0.55 + 0.015 * running;

// Guards against answers that outgrow the memory of their engine, whose prompts are then read again, and against
// memory that is kept free for answers that are not that long.
it('speeds: answers longer than their hint with memory for seven: few are preempted, and the memory is used', () => {
  const state = buildPool([...PREFILL_ENGINES, ...ENGINES]);
  const load = { perSecond: 16, untilMs: 90_000, deviation: 0.5, takeFraction: makeFractions(7) };
  const { ends, meanRunning } = runModel(state, load, evenPace);
  const undisturbed = ends.filter(({ wasPreempted }) => !wasPreempted).length;
  expect(undisturbed / ends.length).to.be.greaterThan(0.95);
  expect(undisturbed).to.be.greaterThan(750);
  expect(meanRunning / ENGINES.length).to.be.greaterThan(4.5);
});

it('speeds: answers pause for lack of memory more often than tolerated, so that fewer share an engine', () => {
  const margin = makeMemoryMargin();
  const before = margin.deviations;
  const preempted = { events: 40, streamedMs: 3_000, longestPauseMs: 900 };
  const undisturbed = { events: 40, streamedMs: 3_000, longestPauseMs: 110 };
  const slow = { events: 40, streamedMs: 9_000, longestPauseMs: 330 };
  expect(hasPreemptionPause(preempted, 180)).to.equal(true);
  // An engine that is slow all the time pauses for long between all events, and the other answers of an engine that
  // reads a prompt again pause for as long as that takes.
  const besides = { events: 40, streamedMs: 3_000, longestPauseMs: 290 };
  for (const progress of [undisturbed, slow, besides]) {
    expect(hasPreemptionPause(progress, 180)).to.equal(false);
  }
  for (let index = 0; index < 100; index += 1) recordMemoryOutcome(margin, index % 12 === 0);
  expect(margin.deviations).to.be.greaterThan(before + 0.3);
  for (let index = 0; index < 400; index += 1) recordMemoryOutcome(margin, false);
  expect(margin.deviations).to.be.lessThan(before);
});

it('speeds: an answer that has outlived its hint is taken as long, and as over at its longest length', () => {
  const shape = measureLengthShape(makeAnswerLengths());
  const sizes = { promptTokens: 1_000, outputTokens: 1_000, spanMs: 1_000 };
  const predict = (ageMs: number, maxOutputTokens?: number): number => {
    const profile = makeMemoryProfile();
    addToProfile(profile, shape, { ...sizes, ageMs, maxOutputTokens }, 1_000);
    return predictPeak(profile, makeMemoryProfile(), 0);
  };
  expect(predict(1_800)).to.be.greaterThan(predict(0) + 1_000);
  expect(predict(1_800, 1_200)).to.be.lessThan(2_300);
});
