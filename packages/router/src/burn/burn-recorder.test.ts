import { expect } from 'chai';
import { makeBurnState } from '@tarragonspool/core';
import type { Refusal, RequestId, ServiceName } from '@tarragonspool/protocol';
import {
  makeRequestTrace,
  recordAnswered,
  recordRefused,
  type RequestTrace,
} from '../journal/request-trace.js';
import { makeMetrics } from '../metrics/metrics.js';
import { buildBurnReport, recordTrace } from './burn-recorder.js';

const START = Date.UTC(2026, 11, 4);

function makeTrace(firstTokenAt: number | undefined): RequestTrace {
  const trace = makeRequestTrace('request-1' as RequestId, START, '/v1/chat/completions');
  trace.callerId = 'desk';
  trace.service = 'llm' as ServiceName;
  trace.firstTokenDeadline = START + 1_000;
  trace.answerDeadline = START + 2_000;
  if (firstTokenAt !== undefined) trace.firstTokenAt = firstTokenAt;
  return trace;
}

function listCounts(traces: readonly RequestTrace[]): unknown {
  const state = makeBurnState(START, 10);
  const metrics = makeMetrics();
  for (const trace of traces) recordTrace(state, metrics, trace);
  return buildBurnReport(state, 'vm-1', 95, START + 3_000).series[0]?.windows['1h'];
}

it('burn recorder: a late first token and a late end are told apart', () => {
  const early = makeTrace(START + 900);
  recordAnswered(early, START + 1_900);
  const lateFirst = makeTrace(START + 1_100);
  recordAnswered(lateFirst, START + 1_900);
  const lateEnd = makeTrace(START + 900);
  recordAnswered(lateEnd, START + 2_100);
  expect(listCounts([early, lateFirst, lateEnd])).to.deep.equal({
    firstToken: { met: 2, total: 3 },
    answer: { met: 2, total: 3 },
  });
});

it('burn recorder: refusals of the service miss both, those of the caller count for nothing', () => {
  const names: Refusal['name'][] = ['queue-full', 'upstream-failed', 'caller-gone', 'not-approved'];
  const traces = names.map((name) => {
    const trace = makeTrace(undefined);
    recordRefused(trace, { name, ran: 'not-run', detail: '' }, START + 10);
    return trace;
  });
  expect(listCounts(traces)).to.deep.equal({
    firstToken: { met: 0, total: 2 },
    answer: { met: 0, total: 2 },
  });
});
