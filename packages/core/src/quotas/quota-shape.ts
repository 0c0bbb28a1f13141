/** What the limit of a tenant and the bounds of the settings give for its bucket. */

import type { Tenant, TenantQuota } from '../tenants/index.js';

/** How much more than its limit a tenant may use in a window, from the settings. */
export type QuotaBounds = {
  readonly windowMs: number;
  /** Share of the limit. */
  readonly overage: number;
  /** Cost units on top. */
  readonly slack: number;
};

/** Sizes of a bucket. */
export type QuotaShape = {
  readonly ratePerMs: number;
  /** Highest level. */
  readonly depth: number;
  /** A tenant below this level is near empty: all VMs are told its level. */
  readonly near: number;
  /** Levels over which admission goes from none to all, so that many VMs don't all admit at once. */
  readonly spread: number;
  /** Highest level of a keeper that knows nothing of what was used before. */
  readonly start: number;
  /** Time after the loss of contact in which a VM admits one request at once. */
  readonly graceMs: number;
};

const MS_PER_S = 1_000;
/** Depth of a bucket whose burst is smaller; without it a tenant without burst could use nothing. */
const LEAST_DEPTH_S = 1;
/** The depth above the burst takes at most this part of what the bound allows on top of the limit. */
const DEPTH_PART = 0.25;
const SMALLEST_DEPTH_S = 0.1;
const SPREAD_S = 0.4;
const SPREAD_PART = 0.5;
/** Above the spread, so that a tenant that is not near empty is never refused. */
const NEAR_PART = 0.6;
const START_S = 0.5;
/** Several keepers may begin in one window. */
const START_PART = 0.125;
const MAX_GRACE_MS = 400;
/** A fleet that loses contact as a whole spends its grace in full: a quarter of the allowance at the rate. */
const GRACE_PART = 0.25;

/** Whether a tenant has a limit. */
export function isLimited({ quota }: Tenant): boolean {
  return quota !== undefined && quota.ratePerSecond > 0;
}

/** Computes the sizes of the bucket of a tenant, for VMs that have a share of its limit. */
export function computeQuotaShape(
  { ratePerSecond: fullRate, burst: fullBurst }: TenantQuota,
  { windowMs, overage, slack }: QuotaBounds,
  share = 1,
): QuotaShape {
  const ratePerSecond = fullRate * share;
  const burst = fullBurst * share;
  const allowance = overage * ((ratePerSecond * windowMs) / MS_PER_S + burst) + slack * share;
  const least = Math.max(
    Math.min(LEAST_DEPTH_S * ratePerSecond, DEPTH_PART * allowance),
    SMALLEST_DEPTH_S * ratePerSecond,
  );
  const depth = Math.max(burst, least);
  const near = NEAR_PART * depth;
  return {
    ratePerMs: ratePerSecond / MS_PER_S,
    depth,
    near,
    spread: Math.min(SPREAD_S * ratePerSecond, SPREAD_PART * depth),
    start: Math.min(START_S * ratePerSecond, START_PART * allowance, near),
    graceMs: Math.min(MAX_GRACE_MS, (GRACE_PART * allowance * MS_PER_S) / ratePerSecond),
  };
}

/** Computes what a request of a tenant costs; one that does not tell both numbers of tokens costs `plainTokens`. */
export function computeCost(
  { unit, plainTokens }: TenantQuota,
  promptTokens: number | undefined,
  outputTokens: number | undefined,
): number {
  if (unit === 'request') return 1;
  if (promptTokens === undefined || outputTokens === undefined) return plainTokens;
  return promptTokens + outputTokens;
}
