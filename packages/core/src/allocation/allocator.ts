/**
 * Allocates the prefill engines and decode slots of one shard. Only makes decisions; the host
 * transports requests and grants. Times are milliseconds since the epoch.
 */

import { assertNever } from '@tarragonspool/protocol';
import type { AllocatorAction, AllocatorEvent, AllocatorOptions } from './allocator-events.js';
import { type BaselineState, handleBaselineEvent, makeBaselineState } from './baselines.js';
import { handleShardEvent } from './shard-allocator.js';
import { makeShardState, type ShardState } from './shard-state.js';

/** State of one allocator, by kind of policy. */
export type AllocatorState = BaselineState | ShardState;

/** Makes the state of an allocator for the policy in the options. */
export function makeAllocatorState(options: AllocatorOptions): AllocatorState {
  return options.policy === 'ours'
    ? makeShardState(options)
    : makeBaselineState(options, options.policy);
}

/** Applies one event and returns the actions that follow from it. */
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
