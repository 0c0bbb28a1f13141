/**
 * Interfaces that a platform's adapter implements. The gateway itself knows no names or formats of
 * the platform's wire protocol.
 */

import type { IncomingHttpHeaders } from 'node:http';
import type {
  EngineStage,
  QuotaBounds,
  RoutingConfiguration,
  TenantName,
  UpstreamRecord,
} from '@tarragonspool/core';
import type {
  DataCentre,
  PromptPartId,
  StorePosition,
  StreamId,
  UpstreamId,
  VmId,
  WeightVersion,
} from '@tarragonspool/protocol';
import type { ParsedRow } from '../json/parse-row.js';

/** A TCP address. */
export type ListenAddress = { readonly host: string; readonly port: number };

/**
 * Settings of a gateway; durations come from the operator and become deadlines where they are used.
 */
export type GatewaySettings = {
  readonly vmId: VmId;
  readonly dataCentre: DataCentre;
  readonly callerListen: ListenAddress;
  readonly readyListen: ListenAddress;
  readonly peerListen: ListenAddress;
  readonly metricsListen: ListenAddress;
  readonly storeAddress: ListenAddress;
  /** Processor capacity of this VM, in cores. */
  readonly capacity: number;
  /** Memory of this VM, in megabytes. */
  readonly memoryMb: number;
  /** Descriptors that this VM may have open; undefined if no number is named. */
  readonly maxFds?: number | undefined;
  /** Time from the stop signal until the platform kills the process, in milliseconds. */
  readonly stopWithinMs: number;
  /** Time within which a change in the store must take effect, in milliseconds. */
  readonly changeWithinMs: number;
  /** Least time between orders of two lease holders, in milliseconds. */
  readonly leaseMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries per window that all VMs together may make on top of the ratio. */
  readonly retrySlack: number;
  /** How much more than its limit a tenant may use in a window. */
  readonly quotaBounds: QuotaBounds;
  /** Names of contracts that the deployment asks for; unknown ones are ignored. */
  readonly contracts: readonly string[];
};

/** One row that changed; its value is undefined if it was removed. */
export type RowChange = {
  readonly key: string;
  readonly position: StorePosition;
  readonly value: Buffer | undefined;
};

/** Rows as of one position of the store. */
export type RowPage = {
  readonly rows: readonly RowChange[];
  readonly position: StorePosition;
  readonly hasMore: boolean;
  /** The store's own steady clock, in milliseconds. */
  readonly storeNowMs: number;
};

/** A conditional write; expecting `STORE_START` means that the row does not exist. */
export type RowWrite = {
  readonly expected: readonly { readonly key: string; readonly position: StorePosition }[];
  readonly put: readonly { readonly key: string; readonly value: Buffer }[];
  readonly remove: readonly string[];
};

/** Result of a call to the store. */
export type StoreOutcome<T> =
  | { readonly kind: 'ok'; readonly value: T }
  /** The store no longer retains the requested versions. */
  | { readonly kind: 'history-lost' }
  | { readonly kind: 'conflict' }
  /** The store refused the call and changed nothing. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No answer: a write may have been applied, or may still be applied later. */
  | {
      readonly kind: 'unanswered';
      /** Whether the call was sent on a connection that an earlier one had opened. */
      readonly connection?: 'new' | 'kept';
    };

/** The platform's store of rows. */
export type RowStore = {
  readonly readRows: (call: {
    readonly table: string;
    readonly from?: string;
    readonly timeoutMs: number;
  }) => Promise<StoreOutcome<RowPage>>;
  readonly readChanges: (call: {
    readonly table: string;
    readonly after: StorePosition;
    readonly waitMs: number;
    readonly timeoutMs: number;
  }) => Promise<StoreOutcome<RowPage>>;
  readonly write: (call: {
    readonly table: string;
    readonly write: RowWrite;
    readonly timeoutMs: number;
  }) => Promise<StoreOutcome<StorePosition>>;
};

/** Fields that a caller sends with its request. */
export type CallerFields = {
  readonly requestId: string;
  /** Time until the caller's deadline, in milliseconds. */
  readonly leftMs: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  /** The caller's estimate of the answer's length. */
  readonly expectedOutputTokens: number | undefined;
  readonly lastEventId: number | undefined;
  /** The attempt that brought the first event of a stream which the caller resumes. */
  readonly resumedStream: StreamId | undefined;
  /**
   * Identifies the prompt: the same for every attempt at one request, different for other requests.
   */
  readonly promptKey: string | undefined;
  /** Ids of the prompt's parts in order; the last one belongs to this request alone. */
  readonly promptParts: readonly PromptPartId[];
};

/** Engine and handle from which the KV cache of a prompt can be fetched. */
export type KvSource = {
  readonly upstreamId: UpstreamId;
  readonly address: string;
  readonly handle: string;
};

/** What the gateway adds to a request that it sends to a server. */
export type PlacementFields = {
  readonly upstreamId: UpstreamId;
  readonly leftMs: number;
  readonly isPrefillOnly?: boolean;
  readonly kvSource?: KvSource;
  /** Last event that the caller has received; the server continues after it. */
  readonly resumeAfterEvent?: number;
  /** Engines with weights of another version refuse the request. */
  readonly weightVersion?: WeightVersion;
  /** Present where the configuration has tenants: the server gets their name instead of the key. */
  readonly sender?: RequestSender;
};

/** What is sent to servers about the caller of a request. */
export type RequestSender = {
  /** Undefined for a request without a known key. */
  readonly tenant: TenantName | undefined;
};

/** What an answer says of the requests that its server takes from all VMs together. */
export type LimitNotice =
  | { readonly kind: 'named'; readonly requestsPerSecond: number }
  /** The answer names no limit, so an earlier one has ended. */
  | { readonly kind: 'none' }
  /** Nothing can be concluded: the value is not valid, or another server answered. */
  | { readonly kind: 'unreadable' };

/** What a server says of itself in an answer. */
export type UpstreamNotice = {
  readonly isLeaving: boolean;
  /** How long it wants no requests of this VM, in milliseconds; undefined if it says nothing. */
  readonly pauseMs: number | undefined;
  readonly limit: LimitNotice;
  /** Names of fields whose values are not valid; they were left out or bounded. */
  readonly invalid: readonly string[];
};

/** Head of a server's answer, decoded. */
export type UpstreamHead = {
  readonly status: number;
  readonly requestId: string | undefined;
  /** Whether the answer carries the server's signature. */
  readonly isSigned: boolean;
  /** Whether the server reports that it did not execute the request. */
  readonly isNotRun: boolean;
  /** Whether the server refuses the request as it is not the one, or not at the version, that was expected. */
  readonly isUnexpected: boolean;
  /** Version of the weights that it names; undefined if it names none that can be read. */
  readonly weightVersion: WeightVersion | undefined;
  readonly isEncoded: boolean;
  readonly notice: UpstreamNotice;
};

/** An engine's report of its own state. */
export type EngineReport = {
  readonly stage: EngineStage;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** Orders accepted since its start. */
  readonly orderCount: number;
  /** Which start of the engine this is; undefined if it does not say. */
  readonly incarnation: number | undefined;
};

/** An engine's answer to an order. */
export type OrderAnswer = 'accepted' | 'holds-already' | 'conflict' | 'fenced' | 'rejected';

/** An order that changes the stage of an engine. */
export type StageOrder = {
  readonly stage: EngineStage;
  readonly holder: VmId;
  readonly fence: number;
  readonly orderCount: number;
};

/** Encodes and decodes requests, answers and engine calls in the platform's HTTP format. */
export type HttpDialect = {
  readonly readyPath: string;
  readonly decodeCallerFields: (headers: IncomingHttpHeaders) => CallerFields;
  readonly makeForwardHeaders: (
    rawHeaders: readonly string[],
    bodyBytes: number,
    placement: PlacementFields,
  ) => string[];
  /** Finds the id of the request that an answer names. */
  readonly decodeRequestId: (headers: IncomingHttpHeaders) => string | undefined;
  readonly decodeUpstreamHead: (status: number, headers: IncomingHttpHeaders) => UpstreamHead;
  /** Finds the version of the weights that the first line of an event names. */
  readonly decodeWeightVersion: (line: string) => WeightVersion | undefined;
  readonly makeAnswerHeaders: (rawHeaders: readonly string[]) => string[];
  readonly decodePrefill: (body: Buffer) => { handle: string; tokens: number } | undefined;
  readonly makeHandlePath: (handle: string) => string;
  readonly orderPath: string;
  readonly encodeStageOrder: (order: StageOrder) => string;
  readonly decodeOrderAnswer: (status: number) => OrderAnswer;
  readonly reportPath: string;
  readonly decodeReport: (body: Buffer) => EngineReport | undefined;
  readonly makeInstanceHeaders: (upstreamId: UpstreamId) => Record<string, string>;
};

/** Everything that an adapter provides to the gateway. */
export type GatewayPorts = {
  readonly store: RowStore;
  readonly dialect: HttpDialect;
  readonly configuration: {
    readonly table: string;
    readonly key: string;
    readonly decode: (bytes: Buffer) => ParsedRow<RoutingConfiguration>;
  };
  readonly upstreams: {
    readonly table: string;
    readonly decode: (key: string, bytes: Buffer) => ParsedRow<UpstreamRecord>;
  };
};
