/** How fast decode engines prefill prompts locally. */

import { LOCAL_PREFILL_FACTOR, measurePrefillMsPerToken, type PoolState } from './pool-state.js';
import type { SlotRequest } from './pool-types.js';

/** Weight of one sample. */
const SAMPLE_WEIGHT = 0.05;
/** A sample counts as at most this many times the estimate, and as at least the same part of it. */
const MAX_SAMPLE_FACTOR = 3;
/**
 * A sample below this share of the estimate shows that the estimate was learned under an overload that
 * has passed. It has a larger weight, because few prompts are granted while the estimate is too high.
 */
const RECOVERY_SHARE = 0.5;
const RECOVERY_WEIGHT = 0.25;
/** Without a sample for this long, the estimate says nothing about the present load any more. */
const STALE_MS = 5_000;

/** Updates the local prefill speed with a prompt that a decode engine has prefilled. */
export function recordLocalPrefill(
  state: PoolState,
  promptTokens: number,
  prefillMs: number,
  now: number,
): void {
  if (promptTokens <= 0) return;
  const estimate = state.localPrefillMsPerToken;
  const sample = prefillMs / promptTokens;
  const bounded = Math.min(
    MAX_SAMPLE_FACTOR * estimate,
    Math.max(estimate / MAX_SAMPLE_FACTOR, sample),
  );
  const weight = sample < RECOVERY_SHARE * estimate ? RECOVERY_WEIGHT : SAMPLE_WEIGHT;
  state.localPrefillMsPerToken = estimate + weight * (bounded - estimate);
  state.localPrefillMeasuredAt = now;
}

/** Limits the time per token to the usual one once the samples of the local prefill speed are too old. */
export function forgetLocalPrefillSpeed(state: PoolState, now: number): void {
  const { localPrefillMeasuredAt: measuredAt } = state;
  if (measuredAt === undefined || now - measuredAt < STALE_MS) return;
  const usual = LOCAL_PREFILL_FACTOR * measurePrefillMsPerToken(state);
  state.localPrefillMsPerToken = Math.min(state.localPrefillMsPerToken, usual);
  state.localPrefillMeasuredAt = undefined;
}

/** Predicts how many milliseconds a decode engine needs to prefill a prompt locally. */
export function predictLocalPrefillMs(state: PoolState, slotRequest: SlotRequest): number {
  return slotRequest.promptTokens * state.localPrefillMsPerToken;
}
