/** Measures the cost of decisions in core: placements, and look-ups of rules. */

import { buildRuleSet, findRule, type Rule } from '@tarragonspool/core';
import type { CallerId, ServiceName } from '@tarragonspool/protocol';
import { measurePlacements } from './placements.js';

const ENGINE_COUNTS = [32, 600] as const;
const LOADS = [0.7, 3] as const;
const ASKS = 20_000;
/** First decisions, during which the code is still being compiled, are left out. */
const WARM_UP_ASKS = 4_000;
const RULE_COUNTS = [100, 50_000] as const;
const LOOK_UPS = 500_000;
const NS_PER_MS = 1e6;

function findPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function formatTimes(values: readonly number[]): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const [p50, p99] = [0.5, 0.99].map((share) => findPercentile(values, share).toFixed(1));
  return `mean ${mean.toFixed(1)} p50 ${p50} p99 ${p99} us`;
}

function makeRules(count: number): Rule[] {
  return Array.from({ length: count }, (_, index) => ({
    kind: 'allow',
    callerId: `caller-${index}` as CallerId,
    service: 's' as ServiceName,
    priority: 5,
  })) as unknown as Rule[];
}

/** Mean time of one look-up, in nanoseconds. */
function measureLookUp(ruleCount: number): number {
  const ruleSet = buildRuleSet(makeRules(ruleCount));
  const callers = Array.from(
    { length: 1_024 },
    (_, index) => `caller-${(index * 7_919) % ruleCount}` as CallerId,
  );
  let found = 0;
  const startedAt = performance.now();
  for (let index = 0; index < LOOK_UPS; index += 1) {
    const callerId = callers[index % callers.length];
    if (callerId === undefined) continue;
    if (findRule(ruleSet, callerId, 's' as ServiceName) !== undefined) found += 1;
  }
  const elapsedMs = performance.now() - startedAt;
  if (found !== LOOK_UPS) throw new Error(`found ${found} of ${LOOK_UPS}`);
  return (elapsedMs * NS_PER_MS) / LOOK_UPS;
}

for (const engines of ENGINE_COUNTS) {
  for (const load of LOADS) {
    const { asks, others } = measurePlacements(engines, load, ASKS);
    process.stdout.write(
      `${engines} engines at ${load} of capacity: placement ${formatTimes(asks.slice(WARM_UP_ASKS))}` +
        `; ends and ticks ${formatTimes(others)}\n`,
    );
  }
}
for (const count of RULE_COUNTS) measureLookUp(count);
for (const count of RULE_COUNTS) {
  process.stdout.write(`${count} rules: look-up ${measureLookUp(count).toFixed(0)} ns\n`);
}
