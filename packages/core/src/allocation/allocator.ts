/**
 * Hands out places on one shard's engines. Decides only; the host carries asks and grants. Times
 * are milliseconds since the epoch.
 */

import type { AllocatorAction, AllocatorEvent, AllocatorOptions } from './allocator-events.js';
import { handleBaselineEvent, makeBaselineState, type BaselineState } from './baselines.js';

/** Whole state of one allocator. */
export type AllocatorState = BaselineState;

/** Makes the state of an allocator on one VM. */
export function makeAllocatorState(options: AllocatorOptions): AllocatorState {
  const policy = options.policy === 'ours' ? 'least-outstanding' : options.policy;
  return makeBaselineState(options, policy);
}

/** Decides what to do about one event. */
export function handleAllocatorEvent(
  state: AllocatorState,
  event: AllocatorEvent,
): AllocatorAction[] {
  return handleBaselineEvent(state, event);
}
