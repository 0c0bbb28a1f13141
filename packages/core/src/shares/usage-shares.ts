/**
 * Tracks what each user of a pool has used recently, with exponential decay, to share the pool
 * fairly: callers by the tokens of their prompts, tenants by the time that they occupy slots.
 */

type DecayedUsage = { amount: number; updatedAt: number };

/** Recent usage of every active user. */
export type UsageShares<Key> = {
  readonly usages: Map<Key, DecayedUsage>;
  readonly halfLifeMs: number;
  total: DecayedUsage;
};

const ACTIVE_MIN_AMOUNT = 1;

/** Makes shares without usage. */
export function makeUsageShares<Key>(halfLifeMs: number): UsageShares<Key> {
  return { usages: new Map(), halfLifeMs, total: { amount: 0, updatedAt: 0 } };
}

function computeDecayed({ amount, updatedAt }: DecayedUsage, halfLifeMs: number, now: number) {
  return amount * 2 ** (-Math.max(0, now - updatedAt) / halfLifeMs);
}

function addAmount(
  usage: DecayedUsage,
  amount: number,
  halfLifeMs: number,
  now: number,
): DecayedUsage {
  return { amount: Math.max(0, computeDecayed(usage, halfLifeMs, now) + amount), updatedAt: now };
}

/** Adds an amount to a user's usage; a negative number subtracts it. */
export function addUsage<Key>(
  shares: UsageShares<Key>,
  key: Key,
  amount: number,
  now: number,
): void {
  const { halfLifeMs } = shares;
  const usage = shares.usages.get(key) ?? { amount: 0, updatedAt: now };
  shares.usages.set(key, addAmount(usage, amount, halfLifeMs, now));
  shares.total = addAmount(shares.total, amount, halfLifeMs, now);
}

/** Returns what a user has used recently. */
export function measureUsage<Key>(shares: UsageShares<Key>, key: Key, now: number): number {
  const own = shares.usages.get(key);
  return own === undefined ? 0 : computeDecayed(own, shares.halfLifeMs, now);
}

/** Returns what a user used beyond an equal share; negative if it used less. */
export function measureOveruse<Key>(shares: UsageShares<Key>, key: Key, now: number): number {
  const total = computeDecayed(shares.total, shares.halfLifeMs, now);
  const own = shares.usages.get(key);
  if (own === undefined) return -total;
  const activeUsers = Math.max(1, shares.usages.size);
  return computeDecayed(own, shares.halfLifeMs, now) - total / activeUsers;
}

/** Removes users whose usage has decayed to nearly zero. */
export function removeIdleUsers<Key>(shares: UsageShares<Key>, now: number): void {
  for (const [key, usage] of shares.usages) {
    if (computeDecayed(usage, shares.halfLifeMs, now) < ACTIVE_MIN_AMOUNT) {
      shares.usages.delete(key);
    }
  }
}
