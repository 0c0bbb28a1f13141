/** Shares of callers: prefill tokens granted lately, with exponential decay. */

import type { CallerId } from '@tarragonspool/protocol';

type Usage = { tokens: number; updatedAt: number };

/** Recent usage of every active caller. */
export type CallerShares = {
  readonly usages: Map<CallerId, Usage>;
  total: Usage;
};

const HALF_LIFE_MS = 2_000;
const ACTIVE_MIN_TOKENS = 1;

/** Makes empty shares. */
export function makeCallerShares(): CallerShares {
  return { usages: new Map(), total: { tokens: 0, updatedAt: 0 } };
}

function getTokens({ tokens, updatedAt }: Usage, now: number): number {
  return tokens * 2 ** (-Math.max(0, now - updatedAt) / HALF_LIFE_MS);
}

function addTokens(usage: Usage, tokens: number, now: number): Usage {
  return { tokens: Math.max(0, getTokens(usage, now) + tokens), updatedAt: now };
}

/** Adds tokens to a caller's usage; negative to take them back. */
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

/** Returns the tokens that a caller used beyond an equal share; negative below it. */
export function measureOveruse(shares: CallerShares, callerId: CallerId, now: number): number {
  const own = shares.usages.get(callerId);
  if (own === undefined) return -getTokens(shares.total, now);
  const active = Math.max(1, shares.usages.size);
  return getTokens(own, now) - getTokens(shares.total, now) / active;
}

/** Forgets callers that have been idle. */
export function removeIdleCallers(shares: CallerShares, now: number): void {
  for (const [callerId, usage] of shares.usages) {
    if (getTokens(usage, now) < ACTIVE_MIN_TOKENS) shares.usages.delete(callerId);
  }
}
