/** Polls the platform's VM list and hands it to membership. */

import type { VmListClient } from '@tarragonspool/platform';
import type { Logger } from '../logging/logger.js';
import type { MembershipInbox } from '../membership/membership-task.js';
import { awaitPromise, offer, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';

const POLL_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;

/** Runs until the process ends; the last list stays in use while the platform is away. */
export function* runDirectory(
  vmList: VmListClient,
  membership: MembershipInbox,
  logger: Logger,
): Task {
  let isAvailable = true;
  for (;;) {
    const records = yield* awaitPromise(vmList.listVms(Date.now() + CALL_TIMEOUT_MS));
    if (records !== undefined) offer(membership, { kind: 'listed', records, now: Date.now() });
    if (isAvailable !== (records !== undefined)) {
      isAvailable = records !== undefined;
      logger.warn({ isAvailable }, 'upstreams: VM list changed availability');
    }
    yield* waitMs(POLL_INTERVAL_MS);
  }
}
