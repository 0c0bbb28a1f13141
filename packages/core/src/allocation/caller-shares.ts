/**
 * Tracks the recent prefill tokens of each caller, with exponential decay, to share the pool
 * fairly.
 */

import type { CallerId } from '@tarragonspool/protocol';

type DecayedUsage = { tokens: number; updatedAt: number };

/** Recent usage of every active caller. */
export type CallerShares = {
  readonly usages: Map<CallerId, DecayedUsage>;
  total: DecayedUsage;
};

const HALF_LIFE_MS = 2_000;
const ACTIVE_MIN_TOKENS = 1;

/** Makes shares without usage. */
export function makeCallerShares(): CallerShares {
  return { usages: new Map(), total: { tokens: 0, updatedAt: 0 } };
}

function getDecayedTokens({ tokens, updatedAt }: DecayedUsage, now: number): number {
  return tokens * 2 ** (-Math.max(0, now - updatedAt) / HALF_LIFE_MS);
}

function addTokens(usage: DecayedUsage, tokens: number, now: number): DecayedUsage {
  return { tokens: Math.max(0, getDecayedTokens(usage, now) + tokens), updatedAt: now };
}

/** Adds tokens to a caller's usage; a negative number subtracts them. */
export function addUsage(
  shares: CallerShares,
  callerId: CallerId,
  tokens: number,
  now: number,
): void {
  const usage = shares.usages.get(callerId) ?? { tokens: 0, updatedAt: now };
  shares.usages.set(callerId, addTokens(usage, tokens, now));
  shares.total = addTokens(shares.total, tokens, now);
}

/** Returns the tokens that a caller used beyond an equal share; negative if it used less. */
export function measureOveruse(shares: CallerShares, callerId: CallerId, now: number): number {
  const own = shares.usages.get(callerId);
  if (own === undefined) return -getDecayedTokens(shares.total, now);
  const activeCallers = Math.max(1, shares.usages.size);
  return getDecayedTokens(own, now) - getDecayedTokens(shares.total, now) / activeCallers;
}

/** Removes callers whose usage has decayed to nearly zero. */
export function removeIdleCallers(shares: CallerShares, now: number): void {
  for (const [callerId, usage] of shares.usages) {
    if (getDecayedTokens(usage, now) < ACTIVE_MIN_TOKENS) shares.usages.delete(callerId);
  }
}
