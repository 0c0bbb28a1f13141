/** What one VM admits for one tenant: from the keeper's level, or from its own share without contact. */

import type { QuotaLevelItem, QuotaUseItem } from '@tarragonspool/protocol';
import type { QuotaShape } from './quota-shape.js';

/** What a VM knows of one tenant. */
export type QuotaAccount = {
  /** Cost admitted from the keeper's level, less what was given back. */
  used: number;
  /** Part of `used` that a keeper has confirmed, and the report whose reply confirmed it. */
  settled: number;
  settledSequence: number;
  /** Cost of all requests, admitted or not. */
  asked: number;
  /** Value of `asked` in the latest report. */
  reportedAsk: number;
  /** Cost asked per millisecond, averaged. */
  askRate: number;
  askedAt: number;
  /** Undefined until the keeper has sent a level. */
  keeperLevel: KeeperLevel | undefined;
  /** Time promised to the last refused caller. */
  promisedAt: number;
  /** Own share; undefined unless it was used in a loss of contact. What was overdrawn then stays. */
  own: OwnShare | undefined;
};

/** Level that the keeper sent last, and when it was received. */
type KeeperLevel = { readonly level: number; readonly at: number; readonly demand: number };

/** What this VM may admit without contact, and has admitted. */
type OwnShare = {
  level: number;
  at: number;
  /** Which loss of contact it belongs to. */
  readonly lossCount: number;
};

/** Loss of contact with the keeper. */
export type ContactLoss = {
  readonly count: number;
  readonly at: number;
  /** Whether this VM was in contact before; false in a process that has just started or stalled. */
  readonly wasInContact: boolean;
};

/**
 * Time for which a level of the keeper is increased at the rate; while the tenant is near empty the
 * next level is due earlier.
 */
const GROWTH_MS = 250;
/** Time constant of the average of the cost asked. */
const ASK_AVERAGE_MS = 1_000;
/** Shortest time after which a refused caller is asked to come back. */
const LEAST_RETRY_MS = 50;
/** Longest Retry-After: a forecast further ahead would be a guess. */
const MAX_RETRY_MS = 5_000;
/** Longest time between the returns of two refused callers. */
const MAX_SPACING_MS = 2_000;
/** Level, as a part of the spread, at which a caller that comes back is likely to be admitted. */
const RETRY_LEVEL = 0.5;
/** Own shares don't grow beyond what the most expensive request and this time of the rate need. */
const OWN_DEPTH_MS = 1_000;

/** Makes the account of a tenant that this VM has not met; `sequence` is that of the last report. */
export function makeQuotaAccount(sequence: number, now: number): QuotaAccount {
  return {
    used: 0,
    settled: 0,
    // The keeper may know an earlier account of the tenant, which was settled in full.
    settledSequence: sequence,
    asked: 0,
    reportedAsk: 0,
    askRate: 0,
    askedAt: now,
    keeperLevel: undefined,
    promisedAt: 0,
    own: undefined,
  };
}

/** Records that a request was asked for. */
export function recordAsked(account: QuotaAccount, cost: number, now: number): void {
  account.asked += cost;
  const kept = Math.exp((account.askedAt - now) / ASK_AVERAGE_MS);
  account.askRate = account.askRate * kept + cost / ASK_AVERAGE_MS;
  account.askedAt = now;
}

/** Applies a level that the keeper sent, in reply to a report or to all VMs. */
export function applyLevel(
  account: QuotaAccount,
  { level, used, demand }: QuotaLevelItem,
  sequence: number | undefined,
  now: number,
): void {
  if (used !== undefined && sequence !== undefined && sequence > account.settledSequence) {
    account.settled = used;
    account.settledSequence = sequence;
  }
  account.keeperLevel = { level, at: now, demand: demand ?? account.keeperLevel?.demand ?? 1 };
}

/** Whether the keeper said last that the tenant is near empty. */
export function isNearEmpty({ keeperLevel }: QuotaAccount, { near }: QuotaShape): boolean {
  return keeperLevel !== undefined && keeperLevel.level < near;
}

/**
 * Estimates the level now. Without a recent level a tenant is not near empty, since all VMs are sent
 * the levels of those that are.
 */
export function estimateLevel(account: QuotaAccount, shape: QuotaShape, now: number): number {
  const { keeperLevel, used, settled } = account;
  const { ratePerMs, depth, near, spread } = shape;
  const unsettled = used - settled;
  if (keeperLevel === undefined) return near - unsettled;
  const ageMs = now - keeperLevel.at;
  if (ageMs <= GROWTH_MS) return Math.min(depth, keeperLevel.level + ratePerMs * ageMs) - unsettled;
  // The level is overdue: others may have used up what was left.
  return (isNearEmpty(account, shape) ? keeperLevel.level - spread : near) - unsettled;
}

/** Computes when a refused caller may come back: each after those that were refused before. */
export function scheduleRetry(
  account: QuotaAccount,
  missing: number,
  cost: number,
  { ratePerMs }: QuotaShape,
  now: number,
): number {
  const demand = Math.max(1, account.keeperLevel?.demand ?? 1);
  // This VM's part of what all are asked for is its part of the rate.
  const part = Math.min(1, account.askRate / (ratePerMs * demand));
  const spacingMs = Math.min(MAX_SPACING_MS, cost / (ratePerMs * part));
  const earliest = now + Math.max(LEAST_RETRY_MS, missing / ratePerMs);
  const at = Math.min(now + MAX_RETRY_MS, Math.max(earliest, account.promisedAt));
  account.promisedAt = at + spacingMs;
  return at;
}

/** Admits a request from the keeper's level; returns when to come back if it is refused. */
export function takeFromLevel(
  account: QuotaAccount,
  cost: number,
  shape: QuotaShape,
  fraction: number,
  now: number,
): number | undefined {
  const level = estimateLevel(account, shape, now);
  if (level > fraction * shape.spread) {
    account.used += cost;
    return undefined;
  }
  const missing = RETRY_LEVEL * shape.spread - level;
  return scheduleRetry(account, missing, cost, shape, now);
}

function refillOwnShare(
  account: QuotaAccount,
  { ratePerMs, depth }: QuotaShape,
  cost: number,
  loss: ContactLoss,
  now: number,
): OwnShare {
  const before = account.own;
  let own = before;
  if (own?.lossCount !== loss.count) {
    const earned = ratePerMs * (loss.at - (before?.at ?? loss.at));
    const level = Math.min(0, (before?.level ?? 0) + earned);
    own = { level, at: loss.at, lossCount: loss.count };
  }
  const limit = Math.max(own.level, depth, ratePerMs * OWN_DEPTH_MS, cost);
  own.level = Math.min(limit, own.level + ratePerMs * (now - own.at));
  own.at = now;
  account.own = own;
  return own;
}

/** How a VM uses its own share. */
export type OwnShareTerms = {
  /** Sizes for the whole fleet, and for one VM. */
  readonly whole: QuotaShape;
  readonly part: QuotaShape;
  readonly loss: ContactLoss;
  /** Place of this VM among all in the order in which they admit their first requests, from 0 to 1. */
  readonly phase: number;
};

/**
 * Admits a request from this VM's own share. The first request of a VM may cost far more than its
 * share earns in a window; the VMs admit theirs one after the other, as all shares together earn them.
 */
export function takeFromOwnShare(
  account: QuotaAccount,
  cost: number,
  { whole, part, loss, phase }: OwnShareTerms,
  now: number,
): number | undefined {
  const own = refillOwnShare(account, part, cost, loss, now);
  const isInGrace =
    loss.wasInContact && now - loss.at <= whole.graceMs && !isNearEmpty(account, whole);
  const needed = isInGrace ? 0 : phase * cost;
  if (own.level >= needed) {
    own.level -= cost;
    return undefined;
  }
  return scheduleRetry(account, needed - own.level, cost, part, now);
}

/** Whether the own share has earned all that was used of it. */
export function isOwnShareEven(
  { own }: QuotaAccount,
  { ratePerMs }: QuotaShape,
  now: number,
): boolean {
  return own === undefined || own.level + ratePerMs * (now - own.at) >= 0;
}

/** Builds what a report says of the tenant; undefined if the keeper knows all of it. */
export function buildUseItem(tenant: string, account: QuotaAccount): QuotaUseItem | undefined {
  const { used, settled, settledSequence, asked, reportedAsk } = account;
  if (used === settled && asked === reportedAsk) return undefined;
  account.reportedAsk = asked;
  return { tenant, used, settled, settledSequence, asked };
}
