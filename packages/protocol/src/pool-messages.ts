/**
 * Messages between the gateways of entry VMs: about slots in a pool of engines, liveness, and copies
 * of table rows. Times are sent as milliseconds from the moment of sending, because the clocks of
 * two VMs do not agree.
 */

import * as z from 'zod';
import type { DataCentre, ServiceName, SoftwareVersion, UpstreamId, VmId } from './ids.js';
import type { StorePosition } from './store-position.js';

const id = z.string().max(256);
const milliseconds = z.number().finite();
const count = z.number().int().nonnegative();

/** Schema of a request for a slot. */
export const slotRequestSchema = z.object({
  kind: z.literal('pool-ask'),
  service: id,
  askId: id,
  contentKey: id,
  dataCentre: id.default(''),
  rank: count.default(0),
  tenant: id.optional(),
  promptTokens: z.number().nonnegative(),
  outputTokens: z.number().nonnegative(),
  maxOutputTokens: z.number().nonnegative().optional(),
  aimInMs: milliseconds,
  pauseMs: milliseconds,
  patienceInMs: milliseconds,
  deadlineInMs: milliseconds.optional(),
  needsPrefill: z.boolean(),
  isContinued: z.boolean(),
  endsInMs: milliseconds.optional(),
  excluded: z.array(id),
  softwareVersion: id.optional(),
});

/** Schema of a request for a slot that is sent again to the same owner. */
const repeatedRequestSchema = slotRequestSchema.extend({ kind: z.literal('pool-ask-again') });

const slotAssignmentSchema = z.object({
  askId: id,
  promptTokens: z.number().nonnegative(),
  outputTokens: z.number().nonnegative(),
  decode: id,
  prefill: id.optional(),
  pauseMs: milliseconds,
  grantedAgoMs: milliseconds,
  endsInMs: milliseconds,
});

const answerProgressSchema = z.object({
  events: count,
  streamedMs: milliseconds,
  longestPauseMs: milliseconds,
});

/** Schemas of all messages of a pool, and of the rows that VMs exchange. */
export const poolMessageSchemas = [
  slotRequestSchema,
  repeatedRequestSchema,
  z.object({ kind: z.literal('pool-queued'), askId: id }),
  z.object({
    kind: z.literal('pool-grant'),
    service: id,
    askId: id,
    prefill: id.optional(),
    decode: id,
    endsInMs: milliseconds,
    permits: z.array(id).default([]),
  }),
  z.object({
    kind: z.literal('pool-refuse'),
    askId: id,
    reason: z.enum(['no-engine', 'overloaded', 'waited-too-long', 'vm-stops']),
    retryAfterMs: milliseconds,
  }),
  z.object({ kind: z.literal('pool-withdraw'), service: id, askId: id }),
  z.object({ kind: z.literal('pool-prefilled'), service: id, askId: id }),
  z.object({
    kind: z.literal('pool-end'),
    service: id,
    askId: id,
    didFinish: z.boolean(),
    progress: answerProgressSchema.optional(),
  }),
  z.object({
    kind: z.literal('pool-engine-failed'),
    service: id,
    upstreamId: id,
    failure: z.enum(['full', 'broken', 'silent', 'handle-lost']),
  }),
  z.object({ kind: z.literal('pool-runs'), service: id, runs: z.array(slotAssignmentSchema) }),
  z.object({
    kind: z.literal('pool-engine-ordered'),
    service: id,
    upstreamId: id,
    stage: z.enum(['prefill', 'decode']),
    doneInMs: milliseconds,
    idleChangeMs: milliseconds.optional(),
  }),
  z.object({
    kind: z.literal('alive'),
    isStoreAway: z.boolean(),
    isReading: z.boolean().default(true),
    isLeaving: z.boolean().default(false),
    isCutOff: z.boolean().default(false),
    lostServers: z.array(id).default([]),
    storeAgeMs: milliseconds.optional(),
    positions: z
      .array(z.object({ table: id, position: count, ageMs: milliseconds.optional() }))
      .default([]),
    quotaKeeper: id.optional(),
  }),
  z.object({
    kind: z.literal('permit-request'),
    ranking: id,
    requestId: id,
    servers: z.array(
      z.object({
        upstreamId: id,
        incarnation: z.number().int(),
        requestsPerSecond: z.number().nonnegative(),
      }),
    ),
    latestInMs: milliseconds,
  }),
  z.object({
    kind: z.literal('permit-answer'),
    requestId: id,
    upstreamId: id.optional(),
    inMs: milliseconds,
  }),
  z.object({ kind: z.literal('rows-wanted'), table: id, afterVersion: count }),
  z.object({
    kind: z.literal('rows-copy'),
    table: id,
    version: count,
    isFull: z.boolean(),
    rows: z.array(
      z.object({ key: id, version: count, value: z.instanceof(Uint8Array).optional() }),
    ),
  }),
] as const;

/**
 * Failure of an engine as a VM saw it: it refused a request because it is full, broke off, sends
 * nothing, or dropped a KV cache too early.
 */
export type EngineFailure = 'full' | 'broken' | 'silent' | 'handle-lost';

/** A slot assignment as a VM reports it to the new owner of a pool. */
export type SlotAssignmentItem = {
  readonly askId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly decode: UpstreamId;
  readonly prefill?: UpstreamId | undefined;
  readonly pauseMs: number;
  readonly grantedAgoMs: number;
  /** Expected time until the slot is free again. */
  readonly endsInMs: number;
};

/** How the events of a finished answer came from its engine. */
export type AnswerProgressItem = {
  readonly events: number;
  /** Time from the first event to the last. */
  readonly streamedMs: number;
  /** Longest pause between two events. */
  readonly longestPauseMs: number;
};

/** What a request for a slot says. */
export type SlotRequestFields = {
  readonly service: ServiceName;
  readonly askId: string;
  /** Same for all attempts of a caller at one request. */
  readonly contentKey: string;
  /** Data centre of the requesting VM. */
  readonly dataCentre: DataCentre;
  /** Rank of the request's route; 0 goes first. */
  readonly rank: number;
  /** Tenant of the request; undefined if it has none, or if an earlier build sends it. */
  readonly tenant?: string | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Longest length of the answer; absent if unknown. */
  readonly maxOutputTokens?: number | undefined;
  /** Time left to meet the latency target of the first event of the answer stream. */
  readonly aimInMs: number;
  /** Longest pause between two events that meets the target. */
  readonly pauseMs: number;
  /** Time left until the caller's timeout for the first event. */
  readonly patienceInMs: number;
  /** Time left until the caller's deadline for the whole answer; absent from earlier versions. */
  readonly deadlineInMs?: number | undefined;
  readonly needsPrefill: boolean;
  /** Whether work was already done for the request; it then goes before others. */
  readonly isContinued: boolean;
  /** Time until the requesting VM stops; absent unless it is stopping. */
  readonly endsInMs?: number | undefined;
  readonly excluded: readonly UpstreamId[];
  /** Version that began the stream and must decode it; absent for a new one. */
  readonly softwareVersion?: SoftwareVersion | undefined;
};

/** Any message about the slots of a pool or about the liveness of its sender. */
export type PoolMessage =
  | ({ readonly kind: 'pool-ask' } & SlotRequestFields)
  /** The same once more: neither a grant nor a refusal came, and what was sent may be lost. */
  | ({ readonly kind: 'pool-ask-again' } & SlotRequestFields)
  /** Confirms that the owner received the request and queued it. */
  | { readonly kind: 'pool-queued'; readonly askId: string }
  | {
      readonly kind: 'pool-grant';
      readonly service: ServiceName;
      readonly askId: string;
      readonly prefill?: UpstreamId | undefined;
      readonly decode: UpstreamId;
      /** Expected time until the slot is free again. */
      readonly endsInMs: number;
      /** Engines that limit their requests and whose permits this grant includes. */
      readonly permits: readonly UpstreamId[];
    }
  | {
      readonly kind: 'pool-refuse';
      readonly askId: string;
      readonly reason: 'no-engine' | 'overloaded' | 'waited-too-long' | 'vm-stops' | 'vm-stops';
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'pool-withdraw'; readonly service: ServiceName; readonly askId: string }
  | { readonly kind: 'pool-prefilled'; readonly service: ServiceName; readonly askId: string }
  | {
      readonly kind: 'pool-end';
      readonly service: ServiceName;
      readonly askId: string;
      /** Whether the answer came to its end. */
      readonly didFinish: boolean;
      /** How the answer's events came; absent if it did not finish. */
      readonly progress?: AnswerProgressItem | undefined;
    }
  | {
      readonly kind: 'pool-engine-failed';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly failure: EngineFailure;
    }
  | {
      readonly kind: 'pool-runs';
      readonly service: ServiceName;
      readonly runs: readonly SlotAssignmentItem[];
    }
  /** Reports that an engine was ordered to change its role to `stage`. */
  | {
      readonly kind: 'pool-engine-ordered';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly stage: 'prefill' | 'decode';
      readonly doneInMs: number;
      /** How long the change takes at most once the engine has no work; absent from earlier versions. */
      readonly idleChangeMs?: number | undefined;
    }
  | AliveMessage;

/** Messages about permits to send to servers that limit their requests. */
export type PermitMessage =
  /** Asks the VM that leads a ranking for a permit to send to one of some servers. */
  | {
      readonly kind: 'permit-request';
      readonly ranking: ServiceName;
      readonly requestId: string;
      readonly servers: readonly {
        readonly upstreamId: UpstreamId;
        readonly incarnation: number;
        readonly requestsPerSecond: number;
      }[];
      /** Time until which the request can wait for its permit. */
      readonly latestInMs: number;
    }
  /** Permits a request to be sent to a server after some time; without one, refuses until then. */
  | {
      readonly kind: 'permit-answer';
      readonly requestId: string;
      readonly upstreamId?: UpstreamId | undefined;
      readonly inMs: number;
    };

/** Reports that the sender is alive and what it knows of the platform's store. */
export type AliveMessage = {
  readonly kind: 'alive';
  /** Whether the sender knows less of the store than it should. */
  readonly isStoreAway: boolean;
  /** Whether the sender reads the store itself. */
  readonly isReading: boolean;
  /** Whether the sender shuts down and should own nothing. */
  readonly isLeaving: boolean;
  /** Whether the sender reaches no server itself, and should own nothing and relay nothing. */
  readonly isCutOff: boolean;
  /** Servers to which no connection of the sender opens. */
  readonly lostServers: readonly UpstreamId[];
  /** Age of what the sender knows of the store, over all VMs that passed it on. */
  readonly storeAgeMs?: number | undefined;
  /** How far the sender knows each table. */
  readonly positions: readonly TablePosition[];
  /** Keeper of quotas whose levels the sender uses; absent if it uses none. */
  readonly quotaKeeper?: VmId | undefined;
};

/** Position up to which a VM knows a table. */
export type TablePosition = {
  readonly table: string;
  readonly position: StorePosition;
  /**
   * Age of that knowledge, over all VMs that passed it on; absent where it is not bounded, and from
   * versions that do not tell it.
   */
  readonly ageMs?: number | undefined;
};

/** Messages by which VMs copy rows of the platform's table from each other. */
export type RowsMessage =
  /** Requests rows newer than a position. */
  | { readonly kind: 'rows-wanted'; readonly table: string; readonly afterVersion: StorePosition }
  | {
      readonly kind: 'rows-copy';
      readonly table: string;
      readonly version: StorePosition;
      /** Whether `rows` is the whole table, so that keys not listed do not exist. */
      readonly isFull: boolean;
      readonly rows: readonly {
        readonly key: string;
        readonly version: StorePosition;
        /** Absent if the row was removed. */
        readonly value?: Uint8Array | undefined;
      }[];
    };
