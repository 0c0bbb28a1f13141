import type { UpstreamId } from '@tarragonspool/protocol';
import { expect } from 'chai';
import { handlePoolEvent, type SlotRequest, type PoolAction, type PoolState } from './index.js';
import { TARGET_MS, buildSlotRequest, buildEngine, buildPool } from './pool-test-kit.js';

const THREE_DECODE = ['d1', 'd2', 'd3'].map((name) => buildEngine(name));
const PAUSE_MS = 300;
const STEP_MS = 5;
const LOCAL_PREFILL_MS_PER_TOKEN = 0.036;
const DECODE_MS_PER_TOKEN = 0.6;
const TOKENS_PER_EVENT = 89;
/** Relative speed of an engine's answers while it prefills a prompt between their tokens. */
const SPEED_DURING_PREFILL = 0.06;

type Stream = {
  readonly ask: SlotRequest;
  readonly decode: UpstreamId;
  prefillLeftMs: number;
  tokensLeft: number;
  tokensSinceEvent: number;
  lastEventAt: number;
  missesTarget: boolean;
};

type SimulationResult = { metTarget: number; missedTarget: number; refused: number; open: number };

/** Simulates engines that prefill prompts between the tokens of their own answers. */
function simulateEngines(
  state: PoolState,
  arrivals: readonly SlotRequest[],
  untilMs: number,
): SimulationResult {
  const result: SimulationResult = { metTarget: 0, missedTarget: 0, refused: 0, open: 0 };
  const streams = new Set<Stream>();
  const remaining = [...arrivals];

  function apply(actions: readonly PoolAction[], now: number): void {
    for (const action of actions) {
      if (action.kind === 'refuse') {
        result.refused += 1;
        continue;
      }
      const { ask: slotRequest, decode } = action;
      const prefillLeftMs = slotRequest.promptTokens * LOCAL_PREFILL_MS_PER_TOKEN;
      streams.add({
        ask: slotRequest,
        decode,
        prefillLeftMs,
        tokensLeft: slotRequest.outputTokens,
        tokensSinceEvent: 0,
        lastEventAt: now,
        missesTarget: false,
      });
    }
  }

  function advance(stream: Stream, isEnginePrefilling: boolean, now: number): void {
    const { askId: slotRequestId, aimAt } = stream.ask;
    if (stream.prefillLeftMs > 0) {
      stream.prefillLeftMs -= STEP_MS;
      if (stream.prefillLeftMs > 0) return;
      stream.missesTarget = now > aimAt;
      stream.lastEventAt = now;
      apply(handlePoolEvent(state, { kind: 'prefilled', askId: slotRequestId }, now), now);
      return;
    }
    const speed = isEnginePrefilling ? SPEED_DURING_PREFILL : 1;
    const tokens = (speed * STEP_MS) / DECODE_MS_PER_TOKEN;
    stream.tokensLeft -= tokens;
    stream.tokensSinceEvent += tokens;
    if (stream.tokensSinceEvent >= TOKENS_PER_EVENT || stream.tokensLeft <= 0) {
      if (now - stream.lastEventAt > PAUSE_MS) stream.missesTarget = true;
      stream.lastEventAt = now;
      stream.tokensSinceEvent = 0;
    }
    if (stream.tokensLeft > 0) return;
    streams.delete(stream);
    result[stream.missesTarget ? 'missedTarget' : 'metTarget'] += 1;
    apply(
      handlePoolEvent(state, { kind: 'ended', askId: slotRequestId, didFinish: true }, now),
      now,
    );
  }

  for (let now = arrivals[0]?.aimAt ?? 0; now < untilMs; now += STEP_MS) {
    while (remaining[0] !== undefined && remaining[0].aimAt - TARGET_MS <= now) {
      const next = remaining.shift();
      if (next !== undefined) apply(handlePoolEvent(state, { kind: 'asked', ask: next }, now), now);
    }
    apply(handlePoolEvent(state, { kind: 'ticked' }, now), now);
    const prefilling = new Set<UpstreamId>();
    for (const { decode, prefillLeftMs } of streams) if (prefillLeftMs > 0) prefilling.add(decode);
    for (const stream of [...streams]) advance(stream, prefilling.has(stream.decode), now);
  }
  result.open = streams.size;
  return result;
}

/** Builds arrivals that alternate between short, usual and long prompts and answers. */
function buildMixedArrivals(fromMs: number, toMs: number, perSecond: number): SlotRequest[] {
  const sizes = [
    [2_800, 3_200],
    [4_200, 5_600],
    [5_600, 9_000],
    [3_600, 4_400],
    [8_400, 6_800],
  ] as const;
  const slotRequests: SlotRequest[] = [];
  for (let at = fromMs; at < toMs; at += 1_000 / perSecond) {
    const [promptTokens, outputTokens] = sizes[slotRequests.length % sizes.length] ?? [
      5_000, 6_000,
    ];
    slotRequests.push(buildSlotRequest(at, { promptTokens, outputTokens }));
  }
  return slotRequests;
}

it('pools: the last prefill engine is lost, so decode engines prefill with cooldowns and most answers are on time', () => {
  const arrivals = buildMixedArrivals(1_000, 11_000, 4);
  const result = simulateEngines(buildPool(THREE_DECODE), arrivals, 25_000);
  expect(result.metTarget).to.be.at.least(0.7 * arrivals.length);
  expect(result.open).to.equal(0);
});

it('pools: with no prefill engine for a long time and many arrivals, most served answers are on time', () => {
  const arrivals = buildMixedArrivals(20_000, 30_000, 12);
  const result = simulateEngines(buildPool(THREE_DECODE), arrivals, 50_000);
  expect(result.metTarget).to.be.at.least(40);
  expect(result.missedTarget).to.be.at.most(0.35 * result.metTarget);
  expect(result.open).to.equal(0);
});
