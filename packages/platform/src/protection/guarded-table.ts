/**
 * Puts a circuit breaker, bounded concurrency and this VM's share of the table's budget before a
 * table client. A call that cannot be made in time is `unavailable`: nothing was sent.
 */

import type { ReadResult, TransactResult } from '@tarragonspool/protocol';
import type { TableClient } from '../table-client.js';
import { makeBudget, takeBudget, type Budget } from './budget.js';
import { endCall, isRefusing, makeCircuit, startCall, type RandomSource } from './circuit.js';

/** What a guarded table works with. */
export type GuardOptions = {
  readonly writesPerSecond: () => number;
  readonly readsPerSecond: () => number;
  readonly getNow: () => number;
  readonly random: RandomSource;
  /** Resolves after some milliseconds. */
  readonly wait: (milliseconds: number) => Promise<void>;
};

type Guard = {
  readonly options: GuardOptions;
  readonly circuit: ReturnType<typeof makeCircuit>;
  waiting: number;
};

const MAX_WAITING = 256;
const TURN_INTERVAL_MS = 5;
const UNAVAILABLE = { kind: 'unavailable' } as const;

/** Rows that all VMs together may write and read in a second. */
export const FLEET_BUDGET = { writesPerSecond: 400, readsPerSecond: 1_800 } as const;

/** Waits until the call may start; false if it may not in time. */
async function waitForTurn(
  guard: Guard,
  budget: Budget,
  amount: number,
  getRate: () => number,
  deadline: number,
): Promise<boolean> {
  const { circuit, options } = guard;
  for (;;) {
    const now = options.getNow();
    if (now >= deadline || isRefusing(circuit, now)) return false;
    const isFree = circuit.phase === 'open' || circuit.running < circuit.concurrency;
    const taken = isFree ? takeBudget(budget, amount, getRate(), now) : undefined;
    if (taken?.isTaken) return startCall(circuit, now);
    const readyAt = taken?.readyAt ?? now + TURN_INTERVAL_MS;
    if (readyAt >= deadline) return false;
    // eslint-disable-next-line no-await-in-loop -- each try follows the last
    await options.wait(readyAt - now);
  }
}

/** Makes a table client that spares the table. */
export function makeGuardedTable(table: TableClient, options: GuardOptions): TableClient {
  const guard: Guard = { options, circuit: makeCircuit(), waiting: 0 };
  const { getNow, random } = options;
  const writes = makeBudget(options.writesPerSecond(), getNow());
  const reads = makeBudget(options.readsPerSecond(), getNow());

  async function runCall<R extends TransactResult | ReadResult>(
    budget: Budget,
    amount: number,
    getRate: () => number,
    deadline: number,
    call: () => Promise<R>,
  ): Promise<R | typeof UNAVAILABLE> {
    if (guard.waiting >= MAX_WAITING) return UNAVAILABLE;
    guard.waiting += 1;
    const isStarted = await waitForTurn(guard, budget, amount, getRate, deadline);
    guard.waiting -= 1;
    if (!isStarted) return UNAVAILABLE;
    let isGood = false;
    try {
      const result = await call();
      isGood = result.kind !== 'unavailable' && result.kind !== 'lost';
      return result;
    } finally {
      endCall(guard.circuit, isGood, getNow(), random);
    }
  }

  const { writesPerSecond, readsPerSecond } = options;
  return {
    transact: (changes, deadline) =>
      runCall(writes, changes.length, writesPerSecond, deadline, () =>
        table.transact(changes, deadline),
      ),
    readRows: (keys, deadline) =>
      runCall(reads, keys.length, readsPerSecond, deadline, () => table.readRows(keys, deadline)),
    async scanRows(prefix, limit, deadline) {
      const result = await runCall(reads, 1, readsPerSecond, deadline, () =>
        table.scanRows(prefix, limit, deadline),
      );
      // Rows that a scan found are paid for afterwards.
      if (result.kind === 'rows') reads.available -= result.rows.length;
      return result;
    },
  };
}
