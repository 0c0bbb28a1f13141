/**
 * What the gateway needs from the platform that it runs on. An adapter implements these types; the
 * gateway knows no name or format of the wire.
 */

import type { IncomingHttpHeaders } from 'node:http';
import type { EngineStage, RoutingConfiguration, UpstreamRecord } from '@tarragonspool/core';
import type { DataCentre, UpstreamId, VmId } from '@tarragonspool/protocol';

/** A TCP address. */
export type ListenAddress = { readonly host: string; readonly port: number };

/** Settings of a gateway; spans come from the operator and become deadlines in use. */
export type GatewaySettings = {
  readonly vmId: VmId;
  readonly dataCentre: DataCentre;
  readonly callerListen: ListenAddress;
  readonly readyListen: ListenAddress;
  readonly peerListen: ListenAddress;
  readonly metricsListen: ListenAddress;
  readonly storeAddress: ListenAddress;
  /** Time from the stop signal until the process is killed. */
  readonly stopWithinMs: number;
  /** Within this time a change in the store must be acted on. */
  readonly changeWithinMs: number;
  /** Least time between orders of two holders. */
  readonly leaseMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries that all VMs together may make in a window beside the ratio. */
  readonly retrySlack: number;
};

/** One row that changed; no value means that it was removed. */
export type RowChange = {
  readonly key: string;
  readonly version: number;
  readonly value: Buffer | undefined;
};

/** Rows as of one version of the store. */
export type RowPage = {
  readonly rows: readonly RowChange[];
  readonly version: number;
  readonly hasMore: boolean;
  /** The store's own steady clock, in milliseconds. */
  readonly storeNowMs: number;
};

/** A conditional write; version 0 expects that the row does not exist. */
export type RowWrite = {
  readonly expected: readonly { readonly key: string; readonly version: number }[];
  readonly put: readonly { readonly key: string; readonly value: Buffer }[];
  readonly remove: readonly string[];
};

/** How a call to the store ended. */
export type StoreOutcome<T> =
  | { readonly kind: 'ok'; readonly value: T }
  /** The versions asked for are no longer kept. */
  | { readonly kind: 'history-lost' }
  | { readonly kind: 'conflict' }
  /** Nothing was done. */
  | { readonly kind: 'refused'; readonly status: number }
  /** No answer: a write may have been done, or may be done later. */
  | { readonly kind: 'unanswered' };

/** The platform's store of rows. */
export type RowStore = {
  readonly readRows: (call: {
    readonly table: string;
    readonly from?: string;
    readonly timeoutMs: number;
  }) => Promise<StoreOutcome<RowPage>>;
  readonly readChanges: (call: {
    readonly table: string;
    readonly afterVersion: number;
    readonly waitMs: number;
    readonly timeoutMs: number;
  }) => Promise<StoreOutcome<RowPage>>;
  readonly write: (call: {
    readonly table: string;
    readonly write: RowWrite;
    readonly timeoutMs: number;
  }) => Promise<StoreOutcome<number>>;
};

/** What a caller says of its request. */
export type CallerFields = {
  readonly requestId: string;
  /** How long the caller will wait, in milliseconds. */
  readonly leftMs: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  /** The caller's estimate of the answer's length. */
  readonly expectedOutputTokens: number | undefined;
  readonly lastEventId: number | undefined;
  /** Names the prompt: the same for each attempt at one request, different for others. */
  readonly promptKey: string | undefined;
};

/** Where the KV cache of a prompt is kept. */
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
  /** Last event that the caller has; the server goes on after it. */
  readonly resumeAfterEvent?: number;
};

/** What the head of a server's answer says. */
export type UpstreamHead = {
  readonly status: number;
  readonly requestId: string | undefined;
  /** Whether the answer carries the server's signature. */
  readonly isSigned: boolean;
  /** Whether the server says that it did not run the request. */
  readonly isNotRun: boolean;
  readonly isEncoded: boolean;
};

/** What an engine says of itself. */
export type EngineReport = {
  readonly stage: EngineStage;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** Orders accepted since its start. */
  readonly orderCount: number;
};

/** How an engine took an order. */
export type OrderAnswer = 'accepted' | 'holds-already' | 'conflict' | 'fenced' | 'rejected';

/** An order that changes what an engine does. */
export type StageOrder = {
  readonly stage: EngineStage;
  readonly holder: VmId;
  readonly fence: number;
  readonly orderCount: number;
};

/** How requests, answers and engine calls are spelled. */
export type HttpDialect = {
  readonly readyPath: string;
  readonly decodeCallerFields: (headers: IncomingHttpHeaders) => CallerFields;
  readonly makeForwardHeaders: (
    rawHeaders: readonly string[],
    bodyBytes: number,
    placement: PlacementFields,
  ) => string[];
  readonly decodeUpstreamHead: (status: number, headers: IncomingHttpHeaders) => UpstreamHead;
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

/** Everything that an adapter gives. */
export type GatewayPorts = {
  readonly store: RowStore;
  readonly dialect: HttpDialect;
  readonly configuration: {
    readonly table: string;
    readonly key: string;
    readonly decode: (bytes: Buffer) => RoutingConfiguration | undefined;
  };
  readonly upstreams: {
    readonly table: string;
    readonly decode: (key: string, bytes: Buffer) => UpstreamRecord | undefined;
  };
};
