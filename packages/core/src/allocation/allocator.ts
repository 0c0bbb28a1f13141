/**
 * Hands out places on one shard's engines. Decides only; the host carries asks and grants. Times
 * are milliseconds since the epoch.
 */

import { assertNever } from '@tarragonspool/protocol';
import type { AllocatorAction, AllocatorEvent, AllocatorOptions } from './allocator-events.js';
import { handleBaselineEvent, makeBaselineState, type BaselineState } from './baselines.js';
import { handleShardEvent } from './shard-allocator.js';
import { makeShardState, type ShardState } from './shard-state.js';

/** Whole state of one allocator. */
export type AllocatorState = BaselineState | ShardState;

/** Makes the state of an allocator on one VM. */
export function makeAllocatorState(options: AllocatorOptions): AllocatorState {
  return options.policy === 'ours'
    ? makeShardState(options)
    : makeBaselineState(options, options.policy);
}

/** Decides what to do about one event. */
export function handleAllocatorEvent(
  state: AllocatorState,
  event: AllocatorEvent,
): AllocatorAction[] {
  switch (state.kind) {
    case 'baseline':
      return handleBaselineEvent(state, event);
    case 'shard':
      return handleShardEvent(state, event);
    default:
      return assertNever(state);
  }
}
