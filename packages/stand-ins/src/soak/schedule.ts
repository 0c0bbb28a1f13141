/** The faults of one soak run, from its seed. Times are milliseconds from the run's start. */

import type { Random } from '../load/random.js';

/** Every kind of fault. */
export const FAULT_KINDS = [
  'kill-vm',
  'freeze-vm',
  'planned-stop',
  'cut-link',
  'slow-link',
  'platform-outage',
  'platform-slow',
  'lost-answers',
  'delayed-effects',
  'slow-engine',
  'kill-engine',
  'freeze-engine',
  'stalled-export',
  'leaving-engine',
  'dying-ledger',
  'slow-ledger',
  'crashing-request',
  'duplicate-request',
  'racing-operators',
  'hang-ups',
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault. `target` picks among whatever the kind applies to. */
export type Fault = {
  readonly kind: FaultKind;
  readonly at: number;
  readonly durationMs: number;
  readonly target: number;
};

const START_MS = 1_500;
const ALONE_SLOT_MS = 1_200;
const PAIR_SLOT_MS = 2_400;
const QUIET_END_MS = 5_000;
const MAX_TARGET = 1_000_000;

function makeOrder(random: Random): FaultKind[] {
  const kinds: FaultKind[] = [...FAULT_KINDS];
  for (let at = kinds.length - 1; at > 0; at -= 1) {
    const other = random.takeInt(0, at);
    [kinds[at], kinds[other]] = [kinds[other] as FaultKind, kinds[at] as FaultKind];
  }
  return kinds;
}

/** Makes the schedule: each kind alone, then in pairs that overlap, until the time is up. */
export function makeSchedule(random: Random, durationMs: number): Fault[] {
  const faults: Fault[] = [];
  const end = durationMs - QUIET_END_MS;
  const add = (kind: FaultKind, at: number, slotMs: number): void => {
    const length = random.takeInt(Math.floor(slotMs / 2), slotMs);
    faults.push({ kind, at, durationMs: length, target: random.takeInt(0, MAX_TARGET) });
  };
  let at = START_MS;
  for (const kind of makeOrder(random)) {
    if (at + ALONE_SLOT_MS > end) return faults;
    add(kind, at, ALONE_SLOT_MS);
    at += ALONE_SLOT_MS;
  }
  for (;;) {
    const kinds = makeOrder(random);
    while (kinds.length > 1) {
      if (at + PAIR_SLOT_MS > end) return faults;
      for (const kind of kinds.splice(0, 2)) add(kind, at, PAIR_SLOT_MS);
      at += PAIR_SLOT_MS;
    }
  }
}
