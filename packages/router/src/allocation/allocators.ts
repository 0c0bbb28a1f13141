/** The allocators on this VM: a shared one for each shard that it owns, and private ones. */

import {
  handleAllocatorEvent,
  makeAllocatorState,
  type AllocationObjective,
  type AllocationPolicy,
  type AllocatorAction,
  type AllocatorEvent,
  type AllocatorOptions,
  type AllocatorState,
  type ListedEngine,
  type ShardEngine,
  type ShardMap,
} from '@tarragonspool/core';
import type { AttemptId, Incarnation, ShardId, UpstreamId, VmId } from '@tarragonspool/protocol';
import type { EnginePollResult } from './allocation-messages.js';

/** Whether an allocator serves every entry VM or this one only. */
export type AllocatorScope = 'shared' | 'private';

/** An engine as the directory lists it. */
export type AllocatedEngine = ListedEngine & ShardEngine;

/** An action, with the allocator that decided on it. */
export type ScopedAction = {
  readonly scope: AllocatorScope;
  readonly shardId: ShardId;
  readonly action: AllocatorAction;
};

type RunningAllocator = {
  readonly scope: AllocatorScope;
  readonly shardId: ShardId;
  readonly state: AllocatorState;
  usedAt: number;
};

/** The allocators of this VM. */
export type Allocators = {
  /** Passes an event to one allocator; a request or a list of held reservations creates it if missing. */
  readonly handleEvent: (
    scope: AllocatorScope,
    shardId: ShardId,
    event: AllocatorEvent,
  ) => ScopedAction[];
  /** Passes an engine's report to the allocators of its shard. */
  readonly handleReport: (report: EnginePollResult) => ScopedAction[];
  /** Passes an event to every running allocator. */
  readonly handleForAll: (event: AllocatorEvent) => ScopedAction[];
  readonly updateEngines: (
    shards: ShardMap,
    engines: readonly AllocatedEngine[],
    now: number,
  ) => ScopedAction[];
  /** Removes shared allocators of shards that this VM no longer owns, once unused for a while. */
  readonly removeIdle: (isOwned: (shardId: ShardId) => boolean, now: number) => void;
  /** Lists the engines to poll: those of shared allocators for everything, the others for load. */
  readonly listPolled: (now: number) => ReadonlyMap<UpstreamId, AllocatorScope>;
};

/** Engines of a private allocator are no longer polled once it is unused for this long. */
const POLL_IDLE_MS = 5_000;
/** Longer than a request can wait, because removing an allocator loses its waiting requests. */
const REMOVE_IDLE_MS = 60_000;
const INCARNATION_RADIX = 36;

/** Options of the allocators of each scope. */
export type AllocatorOptionsByScope = Readonly<Record<AllocatorScope, AllocatorOptions>>;

/** Makes the options of both scopes; reservation ids start with the VM and its incarnation. */
export function makeAllocatorOptions(parts: {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly policy: AllocationPolicy;
  readonly objective: AllocationObjective;
}): AllocatorOptionsByScope {
  const { vmId, incarnation, policy, objective } = parts;
  const name = `${vmId}.${incarnation.toString(INCARNATION_RADIX)}`;
  const common = { objective, seed: incarnation };
  const privatePolicy = policy === 'ours' ? 'two-choices' : policy;
  return {
    shared: { ...common, policy, vmId: `${name}.s` as VmId },
    private: { ...common, policy: privatePolicy, vmId: `${name}.p` as VmId },
  };
}

/** Returns whether one of the actions grants or refuses the request of an attempt. */
export function isAnswered(actions: readonly ScopedAction[], attemptId: AttemptId): boolean {
  for (const { action } of actions) {
    if (action.kind === 'grant' && action.ask.attemptId === attemptId) return true;
    if (action.kind === 'refuse' && action.attemptId === attemptId) return true;
  }
  return false;
}

function buildAllocatorKey(scope: AllocatorScope, shardId: ShardId): string {
  return `${scope}|${shardId}`;
}

/** Makes the collection of allocators; it is empty at first. */
export function makeAllocators(options: AllocatorOptionsByScope): Allocators {
  const running = new Map<string, RunningAllocator>();
  let knownShards: ShardMap = new Map();
  let knownEngines: readonly AllocatedEngine[] = [];

  function listEngines(shardId: ShardId): AllocatedEngine[] {
    const shard = knownShards.get(shardId);
    if (shard === undefined) return [];
    return knownEngines.filter(({ upstreamId }) => shard.engines.has(upstreamId));
  }

  function applyEvent(allocator: RunningAllocator, event: AllocatorEvent): ScopedAction[] {
    const { scope, shardId, state } = allocator;
    return handleAllocatorEvent(state, event).map((action) => ({ scope, shardId, action }));
  }

  function getAllocator(scope: AllocatorScope, shardId: ShardId, now: number): RunningAllocator {
    const key = buildAllocatorKey(scope, shardId);
    const existing = running.get(key);
    if (existing !== undefined) return existing;
    const state = makeAllocatorState(options[scope]);
    handleAllocatorEvent(state, { kind: 'engines-listed', engines: listEngines(shardId), now });
    const created = { scope, shardId, state, usedAt: now };
    running.set(key, created);
    return created;
  }

  return {
    handleEvent: (scope, shardId, event) => {
      if (event.kind !== 'asked' && event.kind !== 'held-announced') {
        const existing = running.get(buildAllocatorKey(scope, shardId));
        return existing === undefined ? [] : applyEvent(existing, event);
      }
      const allocator = getAllocator(scope, shardId, event.now);
      allocator.usedAt = event.now;
      return applyEvent(allocator, event);
    },
    handleReport: (report) => {
      const actions: ScopedAction[] = [];
      for (const allocator of running.values()) {
        const shard = knownShards.get(allocator.shardId);
        if (shard?.engines.has(report.upstreamId)) actions.push(...applyEvent(allocator, report));
      }
      return actions;
    },
    handleForAll: (event) => {
      const actions: ScopedAction[] = [];
      for (const allocator of running.values()) actions.push(...applyEvent(allocator, event));
      return actions;
    },
    updateEngines: (shards, engines, now) => {
      knownShards = shards;
      knownEngines = engines;
      const actions: ScopedAction[] = [];
      for (const allocator of running.values()) {
        const listed = listEngines(allocator.shardId);
        actions.push(...applyEvent(allocator, { kind: 'engines-listed', engines: listed, now }));
      }
      return actions;
    },
    removeIdle: (isOwned, now) => {
      for (const [key, { scope, shardId, usedAt }] of running) {
        if (scope === 'private' || isOwned(shardId)) continue;
        if (now - usedAt >= REMOVE_IDLE_MS) running.delete(key);
      }
    },
    listPolled: (now) => {
      const polled = new Map<UpstreamId, AllocatorScope>();
      for (const { scope, shardId, usedAt } of running.values()) {
        const isIdle = scope === 'private' && now - usedAt >= POLL_IDLE_MS;
        if (isIdle) continue;
        for (const upstreamId of knownShards.get(shardId)?.engines ?? []) {
          if (polled.get(upstreamId) !== 'shared') polled.set(upstreamId, scope);
        }
      }
      return polled;
    },
  };
}
