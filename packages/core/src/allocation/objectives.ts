/** Settings of the allocation objectives, which docs/operators/allocation.md explains. */

import { assertNever } from '@tarragonspool/protocol';
import type { AllocationObjective } from './allocator-events.js';

/** Settings that differ between the objectives. */
export type ObjectiveSettings = {
  /** A decode engine is suspect after this many predicted token gaps without progress. */
  readonly maxSilentTokenGaps: number;
  /** Share of its predicted time by which a prefill may overrun before its engine is suspect. */
  readonly maxPrefillOverrunShare: number;
  /**
   * Safety margin that is added to a prediction before it is compared with a deadline, as a share
   * of it.
   */
  readonly safetyMarginShare: number;
  /**
   * Share of a caller's overuse (as prefill time) by which its requests are delayed in the queue.
   */
  readonly fairnessWeight: number;
  /** Decode slots per engine that may be granted before the stream that occupies them has ended. */
  readonly maxBorrowedSlots: number;
  /** Share of the granted prefill work that moves of started prefills may waste. */
  readonly maxWastedShare: number;
  /** How much earlier each level of priority ranks a request in the queue. */
  readonly priorityLeadMs: number;
  /** How strictly costly requests are refused above capacity, from 0 (not at all) to 1. */
  readonly selectivity: number;
};

/** Returns the settings of an objective. */
export function getObjectiveSettings(objective: AllocationObjective): ObjectiveSettings {
  switch (objective) {
    case 'tail':
      return {
        maxSilentTokenGaps: 3,
        maxPrefillOverrunShare: 0.4,
        safetyMarginShare: 0.08,
        fairnessWeight: 1,
        maxBorrowedSlots: 0,
        maxWastedShare: 0.02,
        priorityLeadMs: 200,
        selectivity: 1,
      };
    case 'crest':
      return {
        maxSilentTokenGaps: 5,
        maxPrefillOverrunShare: 0.8,
        safetyMarginShare: 0.03,
        fairnessWeight: 0.25,
        maxBorrowedSlots: 4,
        maxWastedShare: 0.005,
        priorityLeadMs: 50,
        selectivity: 1,
      };
    default:
      return assertNever(objective);
  }
}
