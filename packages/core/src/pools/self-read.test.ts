import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type PlaceAsk, type PoolAction, type PoolState } from './index.js';
import { AIM_MS, buildAsk, buildEngine, buildPool } from './pool-test-kit.js';

const THREE_DECODE = ['d1', 'd2', 'd3'].map((name) => buildEngine(name));
const PAUSE_MS = 300;
const STEP_MS = 5;
const READ_MS_PER_TOKEN = 0.036;
const DECODE_MS_PER_TOKEN = 0.6;
const TOKENS_PER_EVENT = 89;
/** Speed of an engine's answers while it reads a prompt between their tokens. */
const SPEED_WHILE_READING = 0.06;

type Stream = {
  readonly ask: PlaceAsk;
  readonly decode: UpstreamId;
  readLeftMs: number;
  tokensLeft: number;
  tokensSinceEvent: number;
  lastEventAt: number;
  isLate: boolean;
};

type Played = { onTime: number; late: number; refused: number; open: number };

/** Plays engines that read prompts between the tokens of their own answers. */
function playEngines(state: PoolState, arrivals: readonly PlaceAsk[], untilMs: number): Played {
  const result: Played = { onTime: 0, late: 0, refused: 0, open: 0 };
  const streams = new Set<Stream>();
  const left = [...arrivals];

  function take(actions: readonly PoolAction[], now: number): void {
    for (const action of actions) {
      if (action.kind === 'refuse') {
        result.refused += 1;
        continue;
      }
      const { ask, decode } = action;
      const readLeftMs = ask.promptTokens * READ_MS_PER_TOKEN;
      streams.add({
        ask,
        decode,
        readLeftMs,
        tokensLeft: ask.outputTokens,
        tokensSinceEvent: 0,
        lastEventAt: now,
        isLate: false,
      });
    }
  }

  function advance(stream: Stream, isEngineReading: boolean, now: number): void {
    const { askId, aimAt } = stream.ask;
    if (stream.readLeftMs > 0) {
      stream.readLeftMs -= STEP_MS;
      if (stream.readLeftMs > 0) return;
      stream.isLate = now > aimAt;
      stream.lastEventAt = now;
      take(handlePoolEvent(state, { kind: 'prefilled', askId }, now), now);
      return;
    }
    const speed = isEngineReading ? SPEED_WHILE_READING : 1;
    const tokens = (speed * STEP_MS) / DECODE_MS_PER_TOKEN;
    stream.tokensLeft -= tokens;
    stream.tokensSinceEvent += tokens;
    if (stream.tokensSinceEvent >= TOKENS_PER_EVENT || stream.tokensLeft <= 0) {
      if (now - stream.lastEventAt > PAUSE_MS) stream.isLate = true;
      stream.lastEventAt = now;
      stream.tokensSinceEvent = 0;
    }
    if (stream.tokensLeft > 0) return;
    streams.delete(stream);
    result[stream.isLate ? 'late' : 'onTime'] += 1;
    take(handlePoolEvent(state, { kind: 'ended', askId, didFinish: true }, now), now);
  }

  for (let now = arrivals[0]?.aimAt ?? 0; now < untilMs; now += STEP_MS) {
    while (left[0] !== undefined && left[0].aimAt - AIM_MS <= now) {
      const ask = left.shift();
      if (ask !== undefined) take(handlePoolEvent(state, { kind: 'asked', ask }, now), now);
    }
    take(handlePoolEvent(state, { kind: 'ticked' }, now), now);
    const reading = new Set<UpstreamId>();
    for (const { decode, readLeftMs } of streams) if (readLeftMs > 0) reading.add(decode);
    for (const stream of [...streams]) advance(stream, reading.has(stream.decode), now);
  }
  result.open = streams.size;
  return result;
}

/** Arrivals with short, usual and long prompts and answers in turn. */
function buildMixedArrivals(fromMs: number, toMs: number, perSecond: number): PlaceAsk[] {
  const sizes = [
    [2_800, 3_200],
    [4_200, 5_600],
    [5_600, 9_000],
    [3_600, 4_400],
    [8_400, 6_800],
  ] as const;
  const asks: PlaceAsk[] = [];
  for (let at = fromMs; at < toMs; at += 1_000 / perSecond) {
    const [promptTokens, outputTokens] = sizes[asks.length % sizes.length] ?? [5_000, 6_000];
    asks.push(buildAsk(at, { promptTokens, outputTokens }));
  }
  return asks;
}

it('pools: the last prefill engine is lost, so decode engines read with rests and most are on time', () => {
  const arrivals = buildMixedArrivals(1_000, 11_000, 4);
  const played = playEngines(buildPool(THREE_DECODE), arrivals, 25_000);
  expect(played.onTime).to.be.at.least(0.7 * arrivals.length);
  expect(played.open).to.equal(0);
});

it('pools: no prefill engine for long and many arrivals: what is served is served on time', () => {
  const arrivals = buildMixedArrivals(20_000, 30_000, 12);
  const played = playEngines(buildPool(THREE_DECODE), arrivals, 50_000);
  expect(played.onTime).to.be.at.least(40);
  expect(played.late).to.be.at.most(0.35 * played.onTime);
  expect(played.open).to.equal(0);
});
