/** Metrics of the daemon, named by Prometheus conventions. */

import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.8, 1.1, 1.5, 2, 3, 5, 8, 13, 30];

const PREFIX = 'tarragonspool_';
const DEFAULT_METRICS = /^tarragonspool_(process|nodejs)_/;

/** Every metric of the daemon. */
export type Metrics = ReturnType<typeof makeMetrics>;

/** Makes the metrics in a registry of their own. */
export function makeMetrics() {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry, prefix: PREFIX });
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'tarragonspool_requests_total',
      help: 'Final answers by kind of request and result.',
      labelNames: ['kind', 'result'],
      registers,
    }),
    firstToken: new Histogram({
      name: 'tarragonspool_first_token_seconds',
      help: 'Time from arrival to the first token.',
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    fullAnswer: new Histogram({
      name: 'tarragonspool_full_answer_seconds',
      help: 'Time from arrival to the end of the answer.',
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    claims: new Counter({
      name: 'tarragonspool_claims_total',
      help: 'Claims of idempotency keys by verdict.',
      labelNames: ['verdict'],
      registers,
    }),
    claimEndingsDropped: new Counter({
      name: 'tarragonspool_claim_endings_dropped_total',
      help: 'Outcomes of claimed calls that were not recorded.',
      registers,
    }),
    suspectContents: new Counter({
      name: 'tarragonspool_suspect_contents_total',
      help: 'Contents blamed for a crash of an engine, or cleared.',
      labelNames: ['change'],
      registers,
    }),
    duplicateChecks: new Counter({
      name: 'tarragonspool_duplicate_checks_total',
      help: 'Checks of request ids that callers chose, by verdict.',
      labelNames: ['verdict'],
      registers,
    }),
    claimsSwept: new Counter({
      name: 'tarragonspool_claims_swept_total',
      help: 'Expired claim rows that were deleted.',
      registers,
    }),
    prefillTokens: new Counter({
      name: 'tarragonspool_prefill_tokens_total',
      help: 'Prompt tokens prefilled, by what became of the result.',
      labelNames: ['fate'],
      registers,
    }),
    objectiveAnswers: new Counter({
      name: 'tarragonspool_objective_answers_total',
      help: 'Final answers by latency objective and whether they met it.',
      labelNames: ['objective', 'outcome'],
      registers,
    }),
    rulesRevision: new Gauge({
      name: 'tarragonspool_rules_revision',
      help: 'Revision of the rules in force.',
      registers,
    }),
    peers: new Gauge({
      name: 'tarragonspool_peers',
      help: 'Peers with an open link.',
      registers,
    }),
    cancels: new Counter({
      name: 'tarragonspool_cancels_total',
      help: 'Cancels of engine holds, by how they were settled.',
      labelNames: ['result'],
      registers,
    }),
    pendingCancels: new Gauge({
      name: 'tarragonspool_pending_cancels',
      help: 'Cancels that no engine has confirmed yet.',
      registers,
    }),
    sweptHolds: new Counter({
      name: 'tarragonspool_swept_holds_total',
      help: 'Holds of daemons that are gone, found on engines and cancelled.',
      registers,
    }),
    invariantViolations: new Counter({
      name: 'tarragonspool_invariant_violations_total',
      help: 'Invariants found broken, by name.',
      labelNames: ['invariant'],
      registers,
    }),
  };
}

/** One metric as the operators' page lists it. */
export type MetricRow = {
  readonly name: string;
  readonly type: string;
  readonly labels: readonly string[];
  readonly help: string;
};

/** Lists the daemon's own metrics, without those of the process and of Node.js. */
export function listMetricRows(metrics: Metrics): MetricRow[] {
  const rows: MetricRow[] = [];
  for (const metric of metrics.registry.getMetricsAsArray()) {
    const { name, help, type, labelNames } = metric as unknown as MetricRow & {
      readonly labelNames?: readonly string[];
    };
    if (DEFAULT_METRICS.test(name)) continue;
    rows.push({ name, help, type: String(type), labels: labelNames ?? [] });
  }
  return rows;
}
