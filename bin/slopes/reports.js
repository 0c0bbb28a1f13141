/** Metrics, burn report and journal: memory and processor time against series and requests. */

import { makeBurnState, recordBurnSample } from '../../packages/core/dist/index.js';
import { buildBurnReport } from '../../packages/router/dist/burn/burn-recorder.js';
import { makeRequestJournal } from '../../packages/router/dist/journal/request-journal.js';
import {
  makeRequestTrace,
  recordAction,
  recordAnswered,
} from '../../packages/router/dist/journal/request-trace.js';
import { makeMetrics } from '../../packages/router/dist/metrics/metrics.js';
import { measureCpu, measureKept } from './measure.js';

const START = Date.UTC(2026, 11, 4);

function makeSample(index) {
  const callerId = `org-${Math.floor(index / 20)}`;
  return { callerId, service: `model-${index % 20}`, isFirstTokenMet: true, isAnswerMet: true };
}

function makeTrace(index) {
  const trace = makeRequestTrace(`9b3f0a52-7f6e-4a5d-${index}`, START, '/v1/chat/completions');
  Object.assign(trace, { callerId: `org-${index % 2_500}`, service: 'llm', model: 'llm' });
  const grant = { prefill: `engine-${index % 32}`, decode: `engine-${index % 32}` };
  recordAction(trace, { kind: 'ask', attemptId: `${trace.requestId}.1`, excluded: [] }, START);
  recordAction(trace, { kind: 'start-prefill', grant }, START);
  recordAction(trace, { kind: 'report-end', end: { outcome: 'answered', tokens: 9 } }, START);
  recordAnswered(trace, START);
  return trace;
}

function measureBurn() {
  const [memory, report] = [[], []];
  let cpu = 0;
  for (const size of [500, 2_000, 4_000]) {
    const { made, bytes } = measureKept(() => {
      const state = makeBurnState(START, 50_000);
      for (let index = 0; index < size; index += 1)
        recordBurnSample(state, makeSample(index), START);
      return state;
    });
    memory.push({ size, value: bytes });
    const build = () => JSON.stringify(buildBurnReport(made, 'vm-1', 95, START));
    report.push({ size, value: measureCpu(5, build) });
    const record = (index) => recordBurnSample(made, makeSample(index % size), START + index);
    cpu = measureCpu(100_000, record);
  }
  return { memory, report, cpu };
}

function measureJournal() {
  return [500, 2_000, 4_000].map((size) => {
    const { bytes } = measureKept(() => {
      const journal = makeRequestJournal(size);
      for (let index = 0; index < size; index += 1) journal.add(makeTrace(index));
      return journal;
    }, 4);
    return { size, value: bytes };
  });
}

/** Measures metrics with a label that the product does not have: what it would cost. */
async function measureLabelSets() {
  const [memory, scrape] = [[], []];
  for (const size of [100, 1_000, 10_000]) {
    const { made, bytes } = measureKept(() => {
      const metrics = makeMetrics();
      for (let index = 0; index < size; index += 1) {
        metrics.requests.inc({ kind: `caller-${index}`, result: 'answered' });
      }
      return metrics;
    }, 4);
    memory.push({ size, value: bytes });
    const before = process.cpuUsage();
    const runs = 5;
    for (let run = 0; run < runs; run += 1) await made.registry.metrics();
    const { user, system } = process.cpuUsage(before);
    scrape.push({ size, value: (user + system) / runs });
  }
  return { memory, scrape };
}

/** Measures reports. */
export async function measureReports() {
  const burn = measureBurn();
  const labels = await measureLabelSets();
  const role = 'metrics and burn';
  return [
    {
      role,
      what: 'counters of the burn report',
      unit: 'bytes',
      per: 'series',
      points: burn.memory,
    },
    {
      role,
      what: `processor time to answer GET /burn (recording one answer: ${burn.cpu.toFixed(2)} µs)`,
      unit: 'µs',
      per: 'series',
      points: burn.report,
    },
    { role, what: 'journal', unit: 'bytes', per: 'request', points: measureJournal() },
    { role, what: 'registry', unit: 'bytes', per: 'label set', points: labels.memory },
    {
      role,
      what: 'processor time of a scrape',
      unit: 'µs',
      per: 'label set',
      points: labels.scrape,
    },
  ];
}
