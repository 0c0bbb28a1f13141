/** When to dial each peer again: the wait doubles with each failure and carries jitter. */

import type { VmId } from '@tarragonspool/protocol';

type DialRecord = { failures: number; nextAt: number };

/** Keeps the times. */
export type DialSchedule = {
  readonly isDue: (vmId: VmId, now: number) => boolean;
  readonly addFailure: (vmId: VmId, now: number) => void;
  readonly addSuccess: (vmId: VmId) => void;
};

const FIRST_WAIT_MS = 250;
const MAX_WAIT_MS = 8_000;

/** Makes a schedule; `random` returns numbers from 0 to 1. */
export function makeDialSchedule(random: () => number = Math.random): DialSchedule {
  const records = new Map<VmId, DialRecord>();
  return {
    isDue: (vmId, now) => now >= (records.get(vmId)?.nextAt ?? 0),
    addFailure: (vmId, now) => {
      const failures = (records.get(vmId)?.failures ?? 0) + 1;
      const waitMs = Math.min(MAX_WAIT_MS, FIRST_WAIT_MS * 2 ** (failures - 1));
      records.set(vmId, { failures, nextAt: now + waitMs * (0.5 + random() / 2) });
    },
    addSuccess: (vmId) => {
      records.delete(vmId);
    },
  };
}
