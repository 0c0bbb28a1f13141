/** Reads and writes the row that names the VM which may give orders to the engines of a service. */

import {
  applyAcquired,
  applyLeaseRow,
  applyStoreEra,
  chooseLeaseStep,
  type LeaseRow,
  type OrderLease,
} from '@tarragonspool/core';
import {
  getEra,
  STORE_START,
  type ServiceName,
  type StorePosition,
  type VmId,
} from '@tarragonspool/protocol';
import * as z from 'zod';
import { recordStoreEra, type GatewayState } from '../gateway/gateway-state.js';
import type { RowChange } from '../gateway/ports.js';
import { parseRow } from '../json/parse-row.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';

const LEASE_TABLE = 'tarragonspool-leases';
const CALL_TIMEOUT_MS = 800;
const rowSchema = z.object({ holder: z.string().min(1), storeNowMs: z.number().nonnegative() });
/** Longest time from reading the row to writing it; more would make the row look older than it is. */
const MAX_READ_TO_WRITE_MS = 300;

type StoredLease = z.infer<typeof rowSchema>;
/** Time of the store's clock and its era, and the steady time at which they were read. */
type StoreTime = { readonly storeNowMs: number; readonly era: number; readonly readAt: number };

/** Stands for a holder that is not known. */
const UNKNOWN_HOLDER = '' as VmId;

/**
 * Decodes the row of a lease as read at a time of the store's clock. A row that can't be used may lie
 * where that of a holder was, who still relies on it, so it counts as just taken by somebody.
 */
export function decodeLeaseRow(row: RowChange | undefined, storeNowMs: number): LeaseRow {
  if (row?.value === undefined) return { position: STORE_START, holder: undefined, ageMs: 0 };
  const { position, value } = row;
  const parsed = parseRow(rowSchema, value);
  if (parsed.kind === 'unusable') return { position, holder: UNKNOWN_HOLDER, ageMs: 0 };
  const { holder, storeNowMs: takenAt } = parsed.value;
  return { position, holder: holder as VmId, ageMs: Math.max(0, storeNowMs - takenAt) };
}

function* readLease(
  state: GatewayState,
  service: ServiceName,
  lease: OrderLease,
): Task<StoreTime | undefined> {
  const call = { table: LEASE_TABLE, timeoutMs: CALL_TIMEOUT_MS };
  const outcome = yield* awaitPromise(state.ports.store.readRows(call));
  if (outcome.kind !== 'ok') return undefined;
  const { rows, storeNowMs, position } = outcome.value;
  const era = getEra(position);
  const row = rows.find(({ key }) => key === service);
  const readAt = getSteadyMs();
  recordStoreEra(state, era, readAt);
  applyStoreEra(lease, era, state.storeEra.seenAt, state.settings.leaseMs);
  applyLeaseRow(lease, decodeLeaseRow(row, storeNowMs), readAt);
  return { storeNowMs, era, readAt };
}

function* acquireLease(
  state: GatewayState,
  service: ServiceName,
  lease: OrderLease,
  expected: StorePosition,
  { storeNowMs, era, readAt }: StoreTime,
): Task {
  const { settings, ports, logger } = state;
  const { vmId: holder, leaseMs } = settings;
  const sentAt = getSteadyMs();
  if (sentAt - readAt > MAX_READ_TO_WRITE_MS) return;
  const stored: StoredLease = { holder, storeNowMs };
  const put = [{ key: service, value: Buffer.from(JSON.stringify(stored)) }];
  const write = { expected: [{ key: service, position: expected }], put, remove: [] };
  const call = { table: LEASE_TABLE, write, timeoutMs: CALL_TIMEOUT_MS };
  const outcome = yield* awaitPromise(ports.store.write(call));
  const times = { sentAt, readEra: era, now: getSteadyMs() };
  const isHeld =
    outcome.kind === 'ok' && applyAcquired(lease, holder, outcome.value, leaseMs, times);
  logger.info({ service, expected, outcome, isHeld }, 'stages: lease requested');
}

/** Acquires or keeps the lease; returns its fencing number, or undefined if it is not held. */
export function* awaitLease(
  state: GatewayState,
  service: ServiceName,
  lease: OrderLease,
): Task<number | undefined> {
  const { vmId, leaseMs } = state.settings;
  let step = chooseLeaseStep(lease, vmId, leaseMs, false, getSteadyMs());
  if (step.kind === 'order') return step.fence;
  const storeTime = yield* readLease(state, service, lease);
  if (storeTime === undefined) return undefined;
  step = chooseLeaseStep(lease, vmId, leaseMs, true, getSteadyMs());
  if (step.kind === 'acquire') {
    yield* acquireLease(state, service, lease, step.expected, storeTime);
    step = chooseLeaseStep(lease, vmId, leaseMs, false, getSteadyMs());
  }
  return step.kind === 'order' ? step.fence : undefined;
}
