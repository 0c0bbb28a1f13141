/**
 * Registers this VM in the store so that peers find it, and decodes the rows of other VMs. The first
 * VM also stores the secret with which the ends of a link prove that both may read the store.
 */

import { randomBytes } from 'node:crypto';
import { STORE_START, type Incarnation, type VmId } from '@tarragonspool/protocol';
import * as z from 'zod';
import { parseAddress } from '../http/parse-address.js';
import { parseRow, refuseRow, type ParsedRow } from '../json/parse-row.js';
import type { Logger } from '../logging/logger.js';
import { awaitPromise, type Task } from '../tasks/tasks.js';
import { waitMs } from '../tasks/timers.js';
import type { RowChange, RowStore, RowWrite } from './ports.js';

/** Table of the VMs that run the gateway. */
export const MEMBERS_TABLE = 'tarragonspool-members';
const LINK_SECRET_KEY = 'link-secret';
const VM_KEY_PREFIX = 'vm/';
const SECRET_BYTES = 32;
const CALL_TIMEOUT_MS = 1_500;
const RETRY_WAIT_MS = 300;

/** A VM as its row in the store describes it; `capacity` is its processor capacity, in cores. */
export type MemberRow = {
  readonly vmId: VmId;
  readonly peerAddress: string;
  readonly capacity: number;
};

/** Result of a registration. */
export type Registration = {
  /** Position of this VM's row; it increases with every start of the process. */
  readonly incarnation: Incarnation;
  readonly secret: string;
};

/** More cores than any VM has. */
const MAX_CAPACITY = 65_536;

const memberSchema = z.object({
  peerAddress: z.string().refine((text) => parseAddress(text) !== undefined, 'expected IP:PORT'),
  capacity: z.number().nonnegative().max(MAX_CAPACITY).default(0),
});

/** Decodes a row of a VM; undefined if it is a row of another kind or removed. */
export function decodeMember({ key, value }: RowChange): ParsedRow<MemberRow> | undefined {
  if (!key.startsWith(VM_KEY_PREFIX) || value === undefined) return undefined;
  const vmId = key.slice(VM_KEY_PREFIX.length) as VmId;
  if (vmId === '') return refuseRow('no name of a VM');
  const parsed = parseRow(memberSchema, value);
  if (parsed.kind === 'unusable') return parsed;
  return { kind: 'usable', value: { vmId, ...parsed.value } };
}

/** Lists the VMs that rows name; skips rows of other kinds and those that can't be used. */
export function listMembers(rows: readonly RowChange[]): MemberRow[] {
  const members: MemberRow[] = [];
  for (const row of rows) {
    const decoded = decodeMember(row);
    if (decoded?.kind === 'usable') members.push(decoded.value);
  }
  return members;
}

/** Finds the secret of the links among the rows of VMs. */
export function findSecret(rows: readonly RowChange[]): string | undefined {
  for (const { key, value } of rows) {
    if (key === LINK_SECRET_KEY && value !== undefined) return value.toString('utf8');
  }
  return undefined;
}

function buildRegistrationWrite(
  { vmId, ...row }: MemberRow,
  newSecret: string | undefined,
): RowWrite {
  const own = { key: `${VM_KEY_PREFIX}${vmId}`, value: Buffer.from(JSON.stringify(row)) };
  if (newSecret === undefined) return { expected: [], put: [own], remove: [] };
  return {
    expected: [{ key: LINK_SECRET_KEY, position: STORE_START }],
    put: [own, { key: LINK_SECRET_KEY, value: Buffer.from(newSecret) }],
    remove: [],
  };
}

/** What a registration works with. */
export type RegistrationParts = {
  readonly store: RowStore;
  readonly self: MemberRow;
  readonly takeFraction: () => number;
  readonly logger: Logger;
  /** Stored where the store has lost the secret. */
  readonly knownSecret?: string | undefined;
  /** Called with the rows of the table as they are before the registration. */
  readonly onRows?: (rows: readonly RowChange[]) => void;
};

/** Registers this VM; retries until the store accepts the write. */
export function* runRegistration(parts: RegistrationParts): Task<Registration> {
  const { store, self, takeFraction, logger, knownSecret } = parts;
  const table = MEMBERS_TABLE;
  for (;;) {
    const readOutcome = yield* awaitPromise(store.readRows({ table, timeoutMs: CALL_TIMEOUT_MS }));
    if (readOutcome.kind === 'ok') {
      parts.onRows?.(readOutcome.value.rows);
      const storedSecret = findSecret(readOutcome.value.rows);
      const secret = storedSecret ?? knownSecret ?? randomBytes(SECRET_BYTES).toString('hex');
      const newSecret = storedSecret === undefined ? secret : undefined;
      const write = buildRegistrationWrite(self, newSecret);
      const call = { table, write, timeoutMs: CALL_TIMEOUT_MS };
      const writeOutcome = yield* awaitPromise(store.write(call));
      if (writeOutcome.kind === 'ok') {
        logger.info(
          { position: writeOutcome.value },
          'registry: this VM is registered in the store',
        );
        return { incarnation: writeOutcome.value as number as Incarnation, secret };
      }
    }
    yield* waitMs(RETRY_WAIT_MS * (0.5 + takeFraction()));
  }
}
