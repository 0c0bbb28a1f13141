/** Polls the platform's VM list and tells the allocator which engines there are. */

import type { VmListClient } from '@tarragonspool/platform';
import type { AllocationInbox } from '../allocation/allocation-messages.js';
import type { AllocatedEngine } from '../allocation/allocators.js';
import type { Logger } from '../logging/logger.js';
import { awaitPromise, offer, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import { applyVmList, type Directory } from './directory.js';

const POLL_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 2_000;

function listEngines(directory: Directory): AllocatedEngine[] {
  const engines: AllocatedEngine[] = [];
  for (const engine of directory.engines.values()) {
    const { upstreamId, role, models, isLeaving, service, dataCentre } = engine;
    engines.push({ upstreamId, role, models, isLeaving, service, dataCentre });
  }
  return engines;
}

/** Runs until the process ends; keeps the last list while the platform is away. */
export function* runDirectory(
  directory: Directory,
  vmList: VmListClient,
  allocation: AllocationInbox,
  logger: Logger,
): Task {
  let isAvailable = true;
  for (;;) {
    const records = yield* awaitPromise(vmList.listVms(Date.now() + CALL_TIMEOUT_MS));
    if (records !== undefined) {
      applyVmList(directory, records);
      const engines = listEngines(directory);
      offer(allocation, { kind: 'engines-listed', engines, now: Date.now() });
    }
    if (isAvailable !== (records !== undefined)) {
      isAvailable = records !== undefined;
      logger.warn({ isAvailable }, 'upstreams: VM list changed availability');
    }
    yield* waitMs(POLL_INTERVAL_MS);
  }
}
