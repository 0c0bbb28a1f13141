/** How fast decode engines prefill prompts locally. */

import { LOCAL_PREFILL_FACTOR, measurePrefillMsPerToken, type PoolState } from './pool-state.js';
import type { SlotRequest } from './pool-types.js';

/** Weight of one sample, which is first limited to a third up to three times the estimate. */
const SAMPLE_WEIGHT = 0.05;
const MAX_SAMPLE_FACTOR = 3;
/**
 * Weight of a sample that is below this share of the estimate: the estimate was then learned under an
 * overload that has passed, and as long as it is too high, few prompts are granted that would correct it.
 */
const RECOVERY_WEIGHT = 0.25;
const RECOVERY_SHARE = 0.5;
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

/** Forgets a low local prefill speed that has had no sample for too long. */
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
