/** Shape of a daemon's answer about a request, and its text for people. */

import * as z from 'zod';
import { formatCell, formatTime, renderTable } from '../output/table.js';

const attemptSchema = z.object({
  attemptId: z.string(),
  askedAt: z.number(),
  grantedAt: z.number().optional(),
  prefill: z.string().optional(),
  decode: z.string().optional(),
  prefilledAt: z.number().optional(),
  endedAt: z.number().optional(),
  outcome: z.string().optional(),
  tokens: z.number().optional(),
});

const traceSchema = z.object({
  requestId: z.string(),
  arrivedAt: z.number(),
  path: z.string(),
  callerId: z.string().optional(),
  service: z.string().optional(),
  model: z.string().optional(),
  firstTokenDeadline: z.number().optional(),
  answerDeadline: z.number().optional(),
  firstTokenAt: z.number().optional(),
  endedAt: z.number().optional(),
  result: z.string().optional(),
  ran: z.string().optional(),
  detail: z.string().optional(),
  attempts: z.array(attemptSchema),
});

/** Answer of `GET /requests/ID`. */
export const requestSchema = z.object({ vmId: z.string(), requests: z.array(traceSchema) });

/** What became of one request on one VM. */
export type TraceAnswer = z.infer<typeof traceSchema>;

function formatSince(start: number, time: number | undefined): string {
  return time === undefined ? '-' : `${time - start} ms`;
}

function formatTarget(trace: TraceAnswer, at: number | undefined, deadline?: number): string {
  const target = deadline === undefined ? '' : ` (target ${deadline - trace.arrivedAt} ms)`;
  return `${formatSince(trace.arrivedAt, at)}${target}`;
}

function renderAttempts(trace: TraceAnswer): string {
  const rows = trace.attempts.map((attempt) => [
    attempt.attemptId,
    formatSince(trace.arrivedAt, attempt.askedAt),
    formatSince(trace.arrivedAt, attempt.grantedAt),
    attempt.prefill,
    formatSince(trace.arrivedAt, attempt.prefilledAt),
    attempt.decode,
    formatSince(trace.arrivedAt, attempt.endedAt),
    attempt.outcome,
    attempt.tokens,
  ]);
  return renderTable(
    ['ATTEMPT', 'ASKED', 'GRANTED', 'PREFILL', 'PREFILLED', 'DECODE', 'ENDED', 'OUTCOME', 'TOKENS'],
    rows,
  );
}

/** Renders what became of one request; times are counted from its arrival. */
export function renderTrace(vmId: string, trace: TraceAnswer): string {
  const ran = trace.ran === undefined ? '' : `, ${trace.ran}`;
  const detail = trace.detail === undefined ? '' : `: ${trace.detail}`;
  const fields: [string, string][] = [
    ['request', trace.requestId],
    ['arrived', `${formatTime(trace.arrivedAt)} at ${vmId}`],
    ['path', trace.path],
    ['caller', formatCell(trace.callerId)],
    ['service', formatCell(trace.service)],
    ['model', formatCell(trace.model)],
    ['first token', formatTarget(trace, trace.firstTokenAt, trace.firstTokenDeadline)],
    ['ended', formatTarget(trace, trace.endedAt, trace.answerDeadline)],
    ['result', `${trace.result ?? 'running'}${ran}${detail}`],
  ];
  const width = Math.max(...fields.map(([name]) => name.length));
  const head = fields.map(([name, value]) => `${name.padEnd(width)}  ${formatCell(value)}\n`);
  const attempts = trace.attempts.length === 0 ? '' : `\n${renderAttempts(trace)}`;
  return `${head.join('')}${attempts}`;
}
