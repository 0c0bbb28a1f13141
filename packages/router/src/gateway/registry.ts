/**
 * Lists this VM in the store so that peers find it, and reads who else is there. The first VM also
 * stores the secret by which links prove that both ends may read the store.
 */

import { randomBytes } from 'node:crypto';
import type { Incarnation, VmId } from '@tarragonspool/protocol';
import { z } from 'zod';
import type { Logger } from '../logging/logger.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import type { RowChange, RowStore, RowWrite } from './ports.js';

/** Table of the VMs that run the gateway. */
export const MEMBERS_TABLE = 'tarragonspool-members';
const SECRET_KEY = 'link-secret';
const VM_PREFIX = 'vm/';
const SECRET_BYTES = 32;
const CALL_TIMEOUT_MS = 1_500;
const RETRY_WAIT_MS = 300;

/** A VM as its row names it. */
export type MemberRow = { readonly vmId: VmId; readonly peerAddress: string };

/** What registration gives. */
export type Registration = {
  /** Version of this VM's row; a later start has a greater one. */
  readonly incarnation: Incarnation;
  readonly secret: string;
};

const memberSchema = z.object({ peerAddress: z.string().min(1) });

/** Decodes the rows of VMs; others are passed over. */
export function decodeMembers(rows: readonly RowChange[]): MemberRow[] {
  const members: MemberRow[] = [];
  for (const { key, value } of rows) {
    if (!key.startsWith(VM_PREFIX) || value === undefined) continue;
    const parsed = memberSchema.safeParse(JSON.parse(value.toString('utf8')));
    if (!parsed.success) continue;
    members.push({ vmId: key.slice(VM_PREFIX.length) as VmId, ...parsed.data });
  }
  return members;
}

function findSecret(rows: readonly RowChange[]): string | undefined {
  for (const { key, value } of rows) {
    if (key === SECRET_KEY && value !== undefined) return value.toString('utf8');
  }
  return undefined;
}

function buildWrite(vmId: VmId, peerAddress: string, newSecret: string | undefined): RowWrite {
  const own = { key: `${VM_PREFIX}${vmId}`, value: Buffer.from(JSON.stringify({ peerAddress })) };
  if (newSecret === undefined) return { expected: [], put: [own], remove: [] };
  return {
    expected: [{ key: SECRET_KEY, version: 0 }],
    put: [own, { key: SECRET_KEY, value: Buffer.from(newSecret) }],
    remove: [],
  };
}

/** Registers this VM; tries until the store takes it. */
export function* runRegistration(
  store: RowStore,
  self: MemberRow,
  takeFraction: () => number,
  logger: Logger,
): Task<Registration> {
  const table = MEMBERS_TABLE;
  for (;;) {
    const read = yield* awaitPromise(store.readRows({ table, timeoutMs: CALL_TIMEOUT_MS }));
    if (read.kind === 'ok') {
      const known = findSecret(read.value.rows);
      const secret = known ?? randomBytes(SECRET_BYTES).toString('hex');
      const newSecret = known === undefined ? secret : undefined;
      const write = buildWrite(self.vmId, self.peerAddress, newSecret);
      const call = { table, write, timeoutMs: CALL_TIMEOUT_MS };
      const written = yield* awaitPromise(store.write(call));
      if (written.kind === 'ok') {
        logger.info({ version: written.value }, 'registry: this VM is listed');
        return { incarnation: written.value as Incarnation, secret };
      }
    }
    yield* waitMs(RETRY_WAIT_MS * (0.5 + takeFraction()));
  }
}
