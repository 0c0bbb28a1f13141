/** Polls engines for their load, and those of owned shards for cache events and holds too. */

import { findOrphanedHolds, type SweepView } from '@tarragonspool/core';
import type { CacheEventList, EngineHold, UpstreamId } from '@tarragonspool/protocol';
import type { AllocationInbox, EnginePollResult } from '../allocation/allocation-messages.js';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { offer, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import type { Directory, EngineEntry } from '../upstreams/directory.js';
import type { CancelInbox } from './cancel-task.js';

/** Dependencies of the polls. */
export type EnginePollParts = {
  readonly directory: Directory;
  readonly allocation: AllocationInbox;
  readonly cancels: CancelInbox;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Lists the engines to poll: `shared` ones for everything, `private` ones only for load. */
  readonly listPolled: (now: number) => ReadonlyMap<UpstreamId, 'shared' | 'private'>;
  readonly makeSweepView: () => SweepView;
};

const POLL_INTERVAL_MS = 250;
const HOLDS_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
const CANCEL_RETRY_MS = 5_000;

/** Runs the polls until the process ends. */
export function* runEnginePolls(parts: EnginePollParts): Task {
  const { directory, allocation, cancels, metrics, logger } = parts;
  const inFlight = new Set<UpstreamId>();
  const cacheSequences = new Map<UpstreamId, number>();
  const holdsDueAt = new Map<UpstreamId, number>();

  const report = (item: EnginePollResult): void => {
    offer(allocation, { kind: 'engine-reported', report: item });
  };

  function cancelOrphans(upstreamId: UpstreamId, holds: readonly EngineHold[], now: number): void {
    for (const { owner, kind } of findOrphanedHolds(holds, parts.makeSweepView(), now)) {
      const { attemptId } = owner;
      metrics.sweptHolds.inc();
      logger.info({ upstreamId, attemptId, kind }, 'engines: orphaned hold cancelled');
      const order = { upstreamId, attemptId, deadline: now + CANCEL_RETRY_MS };
      offer(cancels, { kind: 'cancel', order });
    }
  }

  function handleCacheEvents(
    upstreamId: UpstreamId,
    after: number,
    list: CacheEventList,
    now: number,
  ): void {
    const { events, latest } = list;
    // Sequence numbers restart when the engine restarts.
    if (latest < after) cacheSequences.delete(upstreamId);
    const last = events.at(-1);
    if (last === undefined) return;
    cacheSequences.set(upstreamId, last.sequence);
    report({ kind: 'cache-changed', upstreamId, events, now });
  }

  async function pollHolds(engine: EngineEntry, deadline: number): Promise<void> {
    const { upstreamId, client } = engine;
    if (Date.now() < (holdsDueAt.get(upstreamId) ?? 0)) return;
    const holds = await client.listHolds(deadline);
    if (holds === undefined) return;
    const now = Date.now();
    holdsDueAt.set(upstreamId, now + HOLDS_INTERVAL_MS);
    report({ kind: 'holds-listed', upstreamId, holds, now });
    cancelOrphans(upstreamId, holds, now);
  }

  async function pollShared(engine: EngineEntry, deadline: number): Promise<void> {
    const { upstreamId, client } = engine;
    const after = cacheSequences.get(upstreamId) ?? -1;
    const holdsPolled = pollHolds(engine, deadline);
    const list = await client.readCacheEvents(after, deadline);
    if (list !== undefined) handleCacheEvents(upstreamId, after, list, Date.now());
    await holdsPolled;
  }

  async function pollEngine(engine: EngineEntry, scope: 'shared' | 'private'): Promise<void> {
    const { upstreamId, client } = engine;
    const deadline = Date.now() + CALL_TIMEOUT_MS;
    const shared = scope === 'shared' ? pollShared(engine, deadline) : undefined;
    const load = await client.readLoad(deadline);
    if (load !== undefined) {
      report({ kind: 'load-reported', upstreamId, report: load, now: Date.now() });
    }
    await shared;
  }

  for (;;) {
    const polled = parts.listPolled(Date.now());
    for (const upstreamId of [...cacheSequences.keys(), ...holdsDueAt.keys()]) {
      // A VM that loses a shard misses cache events, so it reads all again when it owns it again.
      if (polled.get(upstreamId) === 'shared') continue;
      cacheSequences.delete(upstreamId);
      holdsDueAt.delete(upstreamId);
    }
    for (const [upstreamId, scope] of polled) {
      const engine = directory.engines.get(upstreamId);
      if (engine === undefined || inFlight.has(upstreamId)) continue;
      inFlight.add(upstreamId);
      pollEngine(engine, scope)
        .catch((error: unknown) =>
          logger.error({ err: error, upstreamId }, 'engines: poll of an engine failed'),
        )
        .finally(() => inFlight.delete(upstreamId));
    }
    yield* waitMs(POLL_INTERVAL_MS);
  }
}
