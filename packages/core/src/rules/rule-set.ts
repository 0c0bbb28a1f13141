/** Indexes rules so that the cost of a look-up does not grow with the total number of rules. */

import {
  assertNever,
  type CallerId,
  type ModelTarget,
  type ServiceName,
  type UpstreamId,
} from '@tarragonspool/protocol';
import type { KeyDigest } from '../tenants/index.js';
import type { AllowRule, Rule } from './rule-line.js';

/** Rules of one revision, indexed by caller and service. */
export type RuleSet = {
  readonly callersByDigest: ReadonlyMap<KeyDigest, CallerId>;
  readonly allowRules: ReadonlyMap<CallerId, ReadonlyMap<ServiceName, readonly AllowRule[]>>;
  /** Upstreams that get no new work. */
  readonly drainedUpstreams: ReadonlySet<UpstreamId>;
};

type AllowedIndex = Map<CallerId, Map<ServiceName, AllowRule[]>>;

function addAllowRule(allowRules: AllowedIndex, rule: AllowRule): void {
  const services = allowRules.get(rule.callerId) ?? new Map<ServiceName, AllowRule[]>();
  allowRules.set(rule.callerId, services);
  const rules = services.get(rule.service) ?? [];
  services.set(rule.service, rules);
  rules.push(rule);
}

/** Builds the index of the rules of a parsed file. */
export function buildRuleSet(rules: readonly Rule[]): RuleSet {
  const callersByDigest = new Map<KeyDigest, CallerId>();
  const allowRules: AllowedIndex = new Map();
  const drained = new Set<UpstreamId>();
  for (const rule of rules) {
    switch (rule.kind) {
      case 'caller':
        callersByDigest.set(rule.keyDigest, rule.callerId);
        break;
      case 'allow':
        addAllowRule(allowRules, rule);
        break;
      case 'drain':
        drained.add(rule.upstreamId);
        break;
      default:
        assertNever(rule);
    }
  }
  return { callersByDigest, allowRules, drainedUpstreams: drained };
}

function countConstraints(rule: AllowRule): number {
  let count = 0;
  if (rule.model !== undefined) count += 1;
  if (rule.adapter !== undefined) count += 1;
  if (rule.version !== undefined) count += 1;
  return count;
}

function isMatching(rule: AllowRule, target: ModelTarget | undefined): boolean {
  if (target === undefined) {
    return rule.model === undefined && rule.adapter === undefined && rule.version === undefined;
  }
  if (rule.model !== undefined && rule.model !== target.model) return false;
  if (rule.adapter !== undefined && rule.adapter !== target.adapter) return false;
  return rule.version === undefined || rule.version === target.version;
}

/**
 * Finds the rule that allows the caller to use the service. Of several matching rules it returns the
 * one that constrains most of model, adapter and version, and of equal ones the first in the file.
 */
export function findRule(
  ruleSet: RuleSet,
  callerId: CallerId,
  service: ServiceName,
  target?: ModelTarget,
): AllowRule | undefined {
  let best: AllowRule | undefined;
  for (const rule of ruleSet.allowRules.get(callerId)?.get(service) ?? []) {
    if (!isMatching(rule, target)) continue;
    if (best === undefined || countConstraints(rule) > countConstraints(best)) best = rule;
  }
  return best;
}
