/** Records of the platform's services: table, object store, VM list. */

import { z } from 'zod';
import type { DataCentre, Incarnation, ModelName, ServiceName, UpstreamId, VmId } from './ids.js';
import type { EngineRole } from './engine-messages.js';

/** A row of the table service. The version grows with each write to the row. */
export type TableRow = {
  readonly key: string;
  readonly value: string;
  readonly version: number;
};

/** One write of a transaction. All writes take effect, or none does. */
export type TableWrite =
  | { readonly kind: 'insert'; readonly key: string; readonly value: string }
  | {
      readonly kind: 'update';
      readonly key: string;
      readonly value: string;
      readonly ifVersion: number;
    }
  | { readonly kind: 'delete'; readonly key: string; readonly ifVersion: number };

/** Answer to a transaction. `lost` means that it may have taken effect. */
export type TransactResult =
  | { readonly kind: 'committed' }
  | { readonly kind: 'conflict'; readonly rows: readonly TableRow[] }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'lost' };

/** Answer to a read. */
export type ReadResult =
  { readonly kind: 'rows'; readonly rows: readonly TableRow[] } | { readonly kind: 'unavailable' };

/** State of a VM in the platform's late list. */
export type VmState = 'live' | 'leaving';

/** One entry of the platform's VM list. */
export type VmRecord =
  | {
      readonly kind: 'entry';
      readonly vmId: VmId;
      readonly dataCentre: DataCentre;
      readonly state: VmState;
      /** `IP:port` of the peer interface. */
      readonly peerAddress: string;
    }
  | {
      readonly kind: 'engine';
      readonly upstreamId: UpstreamId;
      /** Grows when a new process takes the upstream's place. */
      readonly incarnation: Incarnation;
      readonly service: ServiceName;
      readonly models: readonly ModelName[];
      readonly role: EngineRole;
      readonly dataCentre: DataCentre;
      readonly state: VmState;
      readonly url: string;
      /** Whether the engine refuses orders with an old fencing number. */
      readonly isFencing: boolean;
    }
  | {
      readonly kind: 'server';
      readonly upstreamId: UpstreamId;
      /** Grows when a new process takes the upstream's place. */
      readonly incarnation: Incarnation;
      readonly service: ServiceName;
      readonly dataCentre: DataCentre;
      readonly state: VmState;
      readonly url: string;
    };

const vmStateSchema = z.enum(['live', 'leaving']);

const vmRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('entry'),
    vmId: z.string(),
    dataCentre: z.string(),
    state: vmStateSchema,
    peerAddress: z.string(),
  }),
  z.object({
    kind: z.literal('engine'),
    upstreamId: z.string(),
    incarnation: z.number().int().nonnegative().default(0),
    service: z.string(),
    models: z.array(z.string()),
    role: z.enum(['prefill', 'decode']),
    dataCentre: z.string(),
    state: vmStateSchema,
    url: z.string(),
    isFencing: z.boolean(),
  }),
  z.object({
    kind: z.literal('server'),
    upstreamId: z.string(),
    incarnation: z.number().int().nonnegative().default(0),
    service: z.string(),
    dataCentre: z.string(),
    state: vmStateSchema,
    url: z.string(),
  }),
]);

/** Parses the platform's VM list; undefined if it is malformed. */
export function parseVmList(value: unknown): VmRecord[] | undefined {
  const parsed = z.array(vmRecordSchema).safeParse(value);
  return parsed.success ? (parsed.data as unknown as VmRecord[]) : undefined;
}
