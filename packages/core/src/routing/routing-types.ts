/** Routes and upstreams as the router decides on them, whatever the wire calls them. */

import type { DataCentre, ServiceName, UpstreamId } from '@tarragonspool/protocol';

/** What may be repeated. A stream counts as non-idempotent unless it can be resumed. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that takes a share of a route's requests. */
export type RouteTarget = { readonly service: ServiceName; readonly weight: number };

/** One route of the operator's configuration. */
export type Route = {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept waiting for its end, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is on time, in milliseconds; for streams up to the first event. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most servers that one request may run on. */
  readonly maxAttempts: number;
  /** Whether requests name prompts and need a place at an engine. */
  readonly usesEngines: boolean;
  readonly isResumable: boolean;
  readonly gapTargetMs: number | undefined;
};

/** What an engine of a service can hold. */
export type EngineLimits = {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Most tokens that one event stands for. */
  readonly tokensPerEvent: number;
  readonly handleTtlMs: number;
  readonly stageSwitchMs: number;
};

/** One service of the configuration. */
export type ServiceDefinition = {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that one server takes from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineLimits | undefined;
};

/** What callers may send, and for how long they may stay idle. */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
};

/** The operator's configuration in full. */
export type RoutingConfiguration = {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, ServiceDefinition>;
  readonly limits: CallerLimits;
};

/** What an engine does at the moment. */
export type EngineStage = 'prefill' | 'decode';

/** One listed server. */
export type UpstreamRecord = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: DataCentre;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly stage: EngineStage | undefined;
  /** Start of the server's process; a greater one under the same id is a restart. */
  readonly incarnation: number;
  /** Orders accepted since the start. */
  readonly orderCount: number;
};
