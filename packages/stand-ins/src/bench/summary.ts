/** Figures of one run, from its outcomes and the engines' counts. */

import { build } from 'hdr-histogram-js';
import type { AttemptWork } from '../engine/engine.js';
import { CLIENT_TIMEOUT_MS, isGood, type Outcome } from '../load/load-client.js';

/** Percentiles of a time, in milliseconds; null without any sample. */
export type Percentiles = Record<'p50' | 'p95' | 'p99', number | null>;

/** Figures of one run under one policy. */
export type Summary = {
  readonly goodput: number;
  readonly crestGoodput: number | null;
  readonly wastedPrefillShare: number;
  readonly firstTokenMs: Percentiles;
  readonly fullAnswerMs: Percentiles;
  readonly gapMs: Percentiles;
  readonly recoveryMs: number | null;
  readonly refusalP99Ms: number | null;
  readonly refused: number;
  readonly refusedByCode: Readonly<Record<string, number>>;
  readonly failed: number;
  readonly failedByDetail: Readonly<Record<string, number>>;
  readonly cancelled: number;
};

/** A stretch of a run, in milliseconds from its start. */
export type Stretch = { readonly from: number; readonly until: number };

const STEADY_SHARE = 0.95;
const RECOVERY_STEP_MS = 100;
const DETAIL_CHARACTERS = 60;

function computePercentiles(values: readonly number[]): Percentiles {
  if (values.length === 0) return { p50: null, p95: null, p99: null };
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 * CLIENT_TIMEOUT_MS,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) histogram.recordValue(Math.max(1, Math.round(value)));
  const [p50 = 0, p95 = 0, p99 = 0] = [50, 95, 99].map((share) =>
    histogram.getValueAtPercentile(share),
  );
  return { p50, p95, p99 };
}

function countBy(outcomes: readonly Outcome[], key: (outcome: Outcome) => string) {
  const counts: Record<string, number> = {};
  for (const outcome of outcomes) counts[key(outcome)] = (counts[key(outcome)] ?? 0) + 1;
  return counts;
}

function computeWaste(outcomes: readonly Outcome[], work: readonly AttemptWork[]): number {
  const answered = new Set<string>();
  for (const { kind, requestId } of outcomes) if (kind === 'answered') answered.add(requestId);
  const ours = new Set(outcomes.map(({ requestId }) => requestId));
  const necessary = new Map<string, number>();
  let total = 0;
  for (const { requestId, prefillTokens } of work) {
    if (!ours.has(requestId)) continue;
    total += prefillTokens;
    if (!answered.has(requestId)) continue;
    necessary.set(requestId, Math.max(necessary.get(requestId) ?? 0, prefillTokens));
  }
  let useful = 0;
  for (const tokens of necessary.values()) useful += tokens;
  return total === 0 ? 0 : (total - useful) / total;
}

/**
 * Time from the end of a crest until 95 of 100 arrivals from then on are good. If that is never so,
 * the time until the run's end, which is a lower limit.
 */
function computeRecovery(outcomes: readonly Outcome[], crestEnd: number, runEnd: number): number {
  for (let from = crestEnd; from < runEnd; from += RECOVERY_STEP_MS) {
    const later = outcomes.filter(({ arrival }) => arrival.at >= from);
    if (later.filter(isGood).length >= STEADY_SHARE * later.length) return from - crestEnd;
  }
  return runEnd - crestEnd;
}

/** Computes the figures of one run. */
export function computeSummary(
  outcomes: readonly Outcome[],
  work: readonly AttemptWork[],
  crest: Stretch | undefined,
  runEnd: number,
): Summary {
  const good = outcomes.filter(isGood);
  const refused = outcomes.filter(({ kind }) => kind === 'refused');
  const failed = outcomes.filter(({ kind }) => kind === 'failed');
  const answered = outcomes.filter(({ kind }) => kind === 'answered');
  const firstTokens = outcomes.flatMap(({ firstTokenMs }) => firstTokenMs ?? []);
  const answerTimes = [
    ...answered.map(({ endMs }) => endMs),
    ...failed.map(() => CLIENT_TIMEOUT_MS),
  ];
  const inCrest = good.filter(
    ({ arrival: { at } }) => crest !== undefined && at >= crest.from && at < crest.until,
  );
  return {
    goodput: good.length,
    crestGoodput: crest === undefined ? null : inCrest.length,
    wastedPrefillShare: computeWaste(outcomes, work),
    firstTokenMs: computePercentiles(firstTokens),
    fullAnswerMs: computePercentiles(answerTimes),
    gapMs: computePercentiles(outcomes.flatMap(({ gapsMs }) => gapsMs)),
    recoveryMs: crest === undefined ? null : computeRecovery(outcomes, crest.until, runEnd),
    refusalP99Ms: computePercentiles(refused.map(({ endMs }) => endMs)).p99,
    refused: refused.length,
    refusedByCode: countBy(refused, ({ code }) => String(code)),
    failed: failed.length,
    failedByDetail: countBy(failed, ({ code, detail }) =>
      `${code ?? ''} ${detail}`.trim().slice(0, DETAIL_CHARACTERS),
    ),
    cancelled: outcomes.filter(({ kind }) => kind === 'cancelled').length,
  };
}
