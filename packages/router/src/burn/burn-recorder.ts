/** Counts final answers against their latency targets and reports the counts to operators. */

import {
  BURN_WINDOWS,
  countAnswers,
  listBurnHours,
  recordBurnSample,
  type AnswerCounts,
  type BurnSample,
  type BurnSeries,
  type BurnState,
} from '@tarragonspool/core';
import { RESULT_CODES, type CallerId, type ResultName } from '@tarragonspool/protocol';
import { ANSWERED_RESULT, type RequestTrace } from '../journal/request-trace.js';
import type { Metrics } from '../metrics/metrics.js';

/** Counts of one caller and service, by window. */
export type BurnSeriesReport = {
  readonly callerId: string;
  readonly service: string;
  readonly windows: Readonly<
    Record<string, { readonly firstToken: AnswerCounts; readonly answer: AnswerCounts }>
  >;
  /** Hours that are not empty: start, then met and total of the first token and the answer. */
  readonly hours: readonly (readonly number[])[];
};

/** Counts of one VM. */
export type BurnReport = {
  readonly vmId: string;
  readonly startedAt: number;
  readonly now: number;
  readonly targetPercent: number;
  readonly maxSeries: number;
  readonly series: readonly BurnSeriesReport[];
};

/** Results that the caller brought about; they say nothing of the service. */
const CALLER_RESULTS = new Set<ResultName>([
  'caller-gone',
  'duplicate-request',
  'claim-in-progress',
  'key-reused',
  'quarantined',
]);
const FIRST_SERVICE_CODE = 2_000;

function isCallerResult(result: string): boolean {
  const name = result as ResultName;
  const entry = RESULT_CODES[name] as { readonly code: number } | undefined;
  return entry === undefined || entry.code < FIRST_SERVICE_CODE || CALLER_RESULTS.has(name);
}

/** Makes the sample of an ended request; none where it failed by the caller's own doing. */
export function makeBurnSample(trace: RequestTrace): BurnSample | undefined {
  const { callerId, service, result, endedAt } = trace;
  if (callerId === undefined || service === undefined) return undefined;
  if (result === undefined || endedAt === undefined) return undefined;
  const isAnswered = result === ANSWERED_RESULT;
  if (!isAnswered && isCallerResult(result)) return undefined;
  const { firstTokenAt, firstTokenDeadline, answerDeadline } = trace;
  const hasTokens = firstTokenDeadline !== undefined;
  const isFirstTokenMet = hasTokens
    ? firstTokenAt !== undefined && firstTokenAt <= firstTokenDeadline
    : undefined;
  const isAnswerMet = isAnswered && (answerDeadline === undefined || endedAt <= answerDeadline);
  return { callerId: callerId as CallerId, service, isFirstTokenMet, isAnswerMet };
}

/** Records an ended request in the rings and in the metrics. */
export function recordTrace(state: BurnState, metrics: Metrics, trace: RequestTrace): void {
  const sample = makeBurnSample(trace);
  if (sample === undefined || trace.endedAt === undefined) return;
  recordBurnSample(state, sample, trace.endedAt);
  const { isFirstTokenMet, isAnswerMet } = sample;
  const getOutcome = (isMet: boolean): string => (isMet ? 'met' : 'missed');
  if (isFirstTokenMet !== undefined) {
    const outcome = getOutcome(isFirstTokenMet);
    metrics.objectiveAnswers.inc({ objective: 'first-token', outcome });
  }
  metrics.objectiveAnswers.inc({ objective: 'answer', outcome: getOutcome(isAnswerMet) });
}

function buildSeriesReport(series: BurnSeries, now: number): BurnSeriesReport {
  const windows: Record<string, { firstToken: AnswerCounts; answer: AnswerCounts }> = {};
  for (const { name, windowMs } of BURN_WINDOWS) {
    windows[name] = {
      firstToken: countAnswers(series, 'first-token', windowMs, now),
      answer: countAnswers(series, 'answer', windowMs, now),
    };
  }
  const hours = listBurnHours(series, now).map(({ startAt, counts }) => [startAt, ...counts]);
  return { callerId: series.callerId, service: series.service, windows, hours };
}

/** Builds the report of one VM. */
export function buildBurnReport(
  state: BurnState,
  vmId: string,
  targetPercent: number,
  now: number,
): BurnReport {
  const { startedAt, maxSeries } = state;
  const series = [...state.series.values()].map((entry) => buildSeriesReport(entry, now));
  return { vmId, startedAt, now, targetPercent, maxSeries, series };
}
