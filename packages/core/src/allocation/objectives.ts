/** What differs between the objectives. The page docs/operators/allocation.md explains the choice. */

import { assertNever } from '@tarragonspool/protocol';
import type { AllocationObjective } from './allocator-events.js';

/** Settings of one objective. */
export type ObjectiveSettings = {
  /** Token gaps without news after which a decode engine is suspect. */
  readonly suspectGaps: number;
  /** Share of its predicted time by which a prefill may be late before its engine is suspect. */
  readonly suspectOverrun: number;
  /** Share of each prediction that is added before it is compared with a deadline. */
  readonly safetyShare: number;
  /** Share of a caller's overuse by which its requests are put back in the queue. */
  readonly fairnessWeight: number;
  /** Decode places that may be granted before the stream that holds them has ended. */
  readonly maxBorrowedPlaces: number;
  /** Share of granted prefill work that may be thrown away by moving started prefills. */
  readonly maxWastedShare: number;
  /** By how much sooner each level of priority makes a request start. */
  readonly priorityLeadMs: number;
  /** From zero to one: how far the costlier requests give way above capacity. */
  readonly selectivity: number;
};

/** Returns the settings of an objective. */
export function getObjectiveSettings(objective: AllocationObjective): ObjectiveSettings {
  switch (objective) {
    case 'tail':
      return {
        suspectGaps: 3,
        suspectOverrun: 0.4,
        safetyShare: 0.08,
        fairnessWeight: 1,
        maxBorrowedPlaces: 0,
        maxWastedShare: 0.02,
        priorityLeadMs: 200,
        selectivity: 1,
      };
    case 'crest':
      return {
        suspectGaps: 5,
        suspectOverrun: 0.8,
        safetyShare: 0.03,
        fairnessWeight: 0.25,
        maxBorrowedPlaces: 4,
        maxWastedShare: 0.005,
        priorityLeadMs: 50,
        selectivity: 1,
      };
    default:
      return assertNever(objective);
  }
}
