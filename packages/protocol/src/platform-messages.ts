/** Records of the platform's table service and of its VM list. */

import * as z from 'zod';
import type { DataCentre, Incarnation, ModelName, ServiceName, UpstreamId, VmId } from './ids.js';
import type { EngineRole } from './engine-messages.js';

/** A row of the table service. Each write to the row increases its version. */
export type TableRow = {
  readonly key: string;
  readonly value: string;
  readonly version: number;
};

/** One write of a transaction; a transaction applies all of its writes or none. */
export type TableWrite =
  | { readonly kind: 'insert'; readonly key: string; readonly value: string }
  | {
      readonly kind: 'update';
      readonly key: string;
      readonly value: string;
      readonly ifVersion: number;
    }
  | { readonly kind: 'delete'; readonly key: string; readonly ifVersion: number };

/** Result of a transaction. `lost` means that it may or may not have taken effect. */
export type TransactResult =
  | { readonly kind: 'committed' }
  | { readonly kind: 'conflict'; readonly rows: readonly TableRow[] }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'lost' };

/** Result of a table read. */
export type ReadResult =
  { readonly kind: 'rows'; readonly rows: readonly TableRow[] } | { readonly kind: 'unavailable' };

/** State of a VM in the platform's VM list, which lags behind the real state. */
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
      /** Increases when a new process replaces the upstream. */
      readonly incarnation: Incarnation;
      readonly service: ServiceName;
      readonly models: readonly ModelName[];
      readonly role: EngineRole;
      readonly dataCentre: DataCentre;
      readonly state: VmState;
      readonly url: string;
      /** Whether the engine rejects orders with an outdated fencing number. */
      readonly isFencing: boolean;
    }
  | {
      readonly kind: 'server';
      readonly upstreamId: UpstreamId;
      /** Increases when a new process replaces the upstream. */
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
