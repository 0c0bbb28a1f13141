/**
 * Routes, services and upstreams in the router's own terms, independent of the names on the wire.
 */

import type { DataCentre, ServiceName, SoftwareVersion, UpstreamId } from '@tarragonspool/protocol';
import type { TenantDirectory } from '../tenants/index.js';

/** Whether requests may be repeated; a stream counts as non-idempotent unless it can be resumed. */
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
  /** Longest time that a request may take, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency target in milliseconds: for the whole answer, or for the first event of a stream. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most servers that one request may run on. */
  readonly maxAttempts: number;
  /** Whether requests have prompts and need a slot on an engine. */
  readonly usesEngines: boolean;
  readonly isResumable: boolean;
  /** Whether requests without a tenant's key are served, where the configuration has tenants. */
  readonly isPublic: boolean;
  /**
   * Longest pause between two events that meets the target, in milliseconds; undefined if not set.
   */
  readonly gapTargetMs: number | undefined;
};

/** Capacity and limits of a service's engines. */
export type EngineLimits = {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  readonly handleTtlMs: number;
  readonly stageSwitchMs: number;
};

/** One service of the configuration. */
export type ServiceDefinition = {
  readonly name: ServiceName;
  readonly engine: EngineLimits | undefined;
};

/** Limits on what callers may send, and timeouts for slow and idle callers. */
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
  /** Undefined if the configuration has no tenants; then requests carry no key. */
  readonly tenants: TenantDirectory | undefined;
};

/** Stage of inference that an engine currently serves. */
export type EngineStage = 'prefill' | 'decode';

/** Incarnation of a server whose entry does not say when it started. */
export const UNKNOWN_INCARNATION = 0;

/** An upstream, which comments also call a server, as listed in the store. */
export type UpstreamRecord = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: DataCentre;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly stage: EngineStage | undefined;
  /**
   * Identifies the start of the server's process; a greater value under the same id means a
   * restart.
   */
  readonly incarnation: number;
  /** Orders accepted since the process started. */
  readonly orderCount: number;
  /** Version of its software, not of the weights; versions have no order. */
  readonly softwareVersion: SoftwareVersion;
};
