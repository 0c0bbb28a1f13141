/** Reads and writes the row that names who may give orders to the engines of a service. */

import {
  applyAcquired,
  applyLeaseRow,
  chooseLeaseStep,
  type OrderLease,
} from '@tarragonspool/core';
import type { ServiceName, VmId } from '@tarragonspool/protocol';
import { z } from 'zod';
import type { GatewayState } from '../gateway/gateway-state.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { getSteadyMs } from '../time/steady-clock.js';

const LEASE_TABLE = 'tarragonspool-leases';
const CALL_TIMEOUT_MS = 800;
const rowSchema = z.object({ holder: z.string() });

function decodeHolder(value: Buffer | undefined): VmId | undefined {
  if (value === undefined) return undefined;
  try {
    const parsed = rowSchema.safeParse(JSON.parse(value.toString('utf8')));
    return parsed.success ? (parsed.data.holder as VmId) : undefined;
  } catch {
    return undefined;
  }
}

function* readLease(state: GatewayState, service: ServiceName, lease: OrderLease): Task<boolean> {
  const call = { table: LEASE_TABLE, timeoutMs: CALL_TIMEOUT_MS };
  const outcome = yield* awaitPromise(state.ports.store.readRows(call));
  if (outcome.kind !== 'ok') return false;
  const row = outcome.value.rows.find(({ key }) => key === service);
  const version = row?.version ?? 0;
  applyLeaseRow(lease, { version, holder: decodeHolder(row?.value) }, getSteadyMs());
  return true;
}

function* acquireLease(
  state: GatewayState,
  service: ServiceName,
  lease: OrderLease,
  expectedVersion: number,
): Task {
  const { settings, ports, logger } = state;
  const { vmId: holder, leaseMs } = settings;
  const sentAt = getSteadyMs();
  const put = [{ key: service, value: Buffer.from(JSON.stringify({ holder })) }];
  const write = { expected: [{ key: service, version: expectedVersion }], put, remove: [] };
  const call = { table: LEASE_TABLE, write, timeoutMs: CALL_TIMEOUT_MS };
  const outcome = yield* awaitPromise(ports.store.write(call));
  logger.info({ service, expectedVersion, outcome }, 'stages: lease asked for');
  if (outcome.kind === 'ok') applyAcquired(lease, holder, outcome.value, leaseMs, sentAt);
}

/** Tries to hold the lease; returns the fencing token, or undefined if it is not held now. */
export function* awaitLease(
  state: GatewayState,
  service: ServiceName,
  lease: OrderLease,
): Task<number | undefined> {
  const { vmId, leaseMs } = state.settings;
  let step = chooseLeaseStep(lease, vmId, leaseMs, false, getSteadyMs());
  if (step.kind === 'read') {
    const isRead = yield* readLease(state, service, lease);
    if (!isRead) return undefined;
    step = chooseLeaseStep(lease, vmId, leaseMs, true, getSteadyMs());
  }
  if (step.kind === 'acquire') {
    yield* acquireLease(state, service, lease, step.expectedVersion);
    step = chooseLeaseStep(lease, vmId, leaseMs, false, getSteadyMs());
  }
  return step.kind === 'order' ? step.fence : undefined;
}
