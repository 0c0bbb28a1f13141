/**
 * A small deterministic model of decode engines for tests: the running answers of an engine share its
 * steps and its memory, and when that runs out the newest answer is read in again.
 */

import { handlePoolEvent, type PoolState, type SlotAssignment } from '../pools/index.js';
import { buildSlotRequest, TARGET_MS } from '../pools/pool-test-kit.js';

/** Milliseconds per token of an engine with `running` answers at a time. */
export type Pace = (engine: string, running: number, now: number) => number;

type Answer = {
  readonly run: SlotAssignment;
  readonly tokens: number;
  made: number;
  eventAt: number;
  events: number;
  firstAt: number;
  longestPauseMs: number;
  isOut: boolean;
  wasPreempted: boolean;
};

/** What became of one answer. */
export type AnswerEnd = {
  readonly engine: string;
  readonly grantedAt: number;
  readonly endedAt: number;
  readonly longestPauseMs: number;
  readonly wasPreempted: boolean;
};

/** What became of all arrivals. */
export type ModelResult = { ends: AnswerEnd[]; refused: number; meanRunning: number };

const STEP_MS = 10;
const PREFILL_MS_PER_TOKEN = 0.018;
/** The engine makes no tokens meanwhile. */
const READ_AGAIN_MS_PER_TOKEN = 0.036;
const TOKENS_PER_EVENT = 100;

/** Makes a generator of numbers in [0, 1) that gives the same ones in each run. */
export function makeFractions(seed: number): () => number {
  let state = seed;
  return () => {
    state = (1_664_525 * state + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/** Takes a number of about the normal distribution. */
export function takeNormal(takeFraction: () => number): number {
  let sum = -6;
  for (let index = 0; index < 12; index += 1) sum += takeFraction();
  return sum;
}

function countTokens({ run, made }: Answer): number {
  return run.ask.promptTokens + made;
}

/** Takes the newest answers out of a full memory, and one back in that fits again; returns its tokens. */
function fitMemory(answers: readonly Answer[], capacity: number): number {
  const inside = answers.filter(({ isOut }) => !isOut);
  let used = inside.reduce((sum, answer) => sum + countTokens(answer), 0);
  for (const answer of inside.reverse()) {
    if (used <= capacity || answer === inside.at(-1)) break;
    answer.isOut = true;
    answer.wasPreempted = true;
    used -= countTokens(answer);
  }
  const next = answers.find(({ isOut }) => isOut);
  if (next === undefined || used + countTokens(next) > 0.95 * capacity) return 0;
  next.isOut = false;
  return countTokens(next);
}

/** Plays arrivals at `perSecond` whose hints are `deviation` off, until `untilMs`. */
export function runModel(
  state: PoolState,
  load: { perSecond: number; untilMs: number; deviation: number; takeFraction: () => number },
  pace: Pace,
): ModelResult {
  const { perSecond, untilMs, deviation, takeFraction } = load;
  const result: ModelResult = { ends: [], refused: 0, meanRunning: 0 };
  const answers = new Map<string, Answer>();
  const readsUntil = new Map<string, number>();
  let arriveAt = 0;

  function apply(event: Parameters<typeof handlePoolEvent>[1], now: number): void {
    for (const action of handlePoolEvent(state, event, now)) {
      const run = state.runs.get(action.ask.askId);
      if (action.kind === 'refuse' || run === undefined) {
        result.refused += 1;
        continue;
      }
      const tokens = run.ask.outputTokens * Math.exp(deviation * takeNormal(takeFraction));
      const times = { eventAt: 0, events: 0, firstAt: 0, longestPauseMs: 0 };
      const flags = { isOut: false, wasPreempted: false };
      answers.set(run.ask.askId, { run, tokens, made: 0, ...times, ...flags });
    }
  }

  function advance(answer: Answer, msPerToken: number, now: number): void {
    const { run } = answer;
    if (run.prefill !== undefined) {
      const prefillMs = run.ask.promptTokens * PREFILL_MS_PER_TOKEN;
      if (now - run.grantedAt < prefillMs) return;
      apply({ kind: 'prefilled', askId: run.ask.askId }, now);
    }
    if (answer.isOut) return;
    answer.made += STEP_MS / msPerToken;
    const events = Math.floor(answer.made / TOKENS_PER_EVENT) + 1;
    if (events > answer.events) {
      if (answer.events === 0) answer.firstAt = now;
      else answer.longestPauseMs = Math.max(answer.longestPauseMs, now - answer.eventAt);
      answer.events = events;
      answer.eventAt = now;
    }
    if (answer.made < answer.tokens) return;
    const { longestPauseMs, wasPreempted } = answer;
    answers.delete(run.ask.askId);
    const times = { grantedAt: run.grantedAt, endedAt: now, longestPauseMs };
    result.ends.push({ engine: run.decode, ...times, wasPreempted });
    const progress = { events, streamedMs: now - answer.firstAt, longestPauseMs };
    apply({ kind: 'ended', askId: run.ask.askId, didFinish: true, progress }, now);
  }

  for (let now = 0; now < untilMs; now += STEP_MS) {
    for (; arriveAt <= now; arriveAt += 1_000 / perSecond) {
      const ask = buildSlotRequest(now, {
        promptTokens: 5_000,
        outputTokens: 4_000 * Math.exp(0.4 * takeNormal(takeFraction)),
        aimAt: now + TARGET_MS,
      });
      apply({ kind: 'asked', ask }, now);
    }
    if (now % 50 === 0) apply({ kind: 'ticked' }, now);
    result.meanRunning += (answers.size * STEP_MS) / untilMs;
    for (const { engine } of state.engines.values()) {
      const own = [...answers.values()].filter(({ run }) => run.decode === engine.upstreamId);
      const readAgain = READ_AGAIN_MS_PER_TOKEN * fitMemory(own, engine.kvCapacityTokens);
      if (readAgain > 0) readsUntil.set(engine.upstreamId, now + readAgain);
      if (now < (readsUntil.get(engine.upstreamId) ?? 0)) continue;
      const running = own.filter(({ isOut }) => !isOut).length;
      const msPerToken = pace(engine.upstreamId, running, now);
      for (const answer of own) advance(answer, msPerToken, now);
    }
  }
  return result;
}
