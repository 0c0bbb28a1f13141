/**
 * Events that an allocator receives and actions that its host carries out. Times are milliseconds
 * since the epoch.
 */

import type {
  AttemptEnd,
  AttemptId,
  AttemptProgress,
  CacheEvent,
  EngineHold,
  EngineRole,
  HeldReservation,
  Incarnation,
  LoadReport,
  ModelName,
  Refusal,
  RequestId,
  ReservationRequest,
  ReservationGrant,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';

/** An engine as the platform lists it. */
export type ListedEngine = {
  readonly upstreamId: UpstreamId;
  readonly role: EngineRole;
  readonly models: readonly ModelName[];
  readonly isLeaving: boolean;
};

/** An event that an allocator receives. */
export type AllocatorEvent =
  | {
      readonly kind: 'engines-listed';
      readonly engines: readonly ListedEngine[];
      readonly now: number;
    }
  | {
      readonly kind: 'load-reported';
      readonly upstreamId: UpstreamId;
      readonly report: LoadReport;
      readonly now: number;
    }
  | {
      readonly kind: 'cache-changed';
      readonly upstreamId: UpstreamId;
      readonly events: readonly CacheEvent[];
      readonly now: number;
    }
  | {
      readonly kind: 'holds-listed';
      readonly upstreamId: UpstreamId;
      readonly holds: readonly EngineHold[];
      readonly now: number;
    }
  | { readonly kind: 'asked'; readonly ask: ReservationRequest; readonly now: number }
  | { readonly kind: 'withdrawn'; readonly attemptId: AttemptId; readonly now: number }
  | {
      readonly kind: 'progressed';
      readonly items: readonly AttemptProgress[];
      readonly now: number;
    }
  | { readonly kind: 'attempt-ended'; readonly items: readonly AttemptEnd[]; readonly now: number }
  | {
      readonly kind: 'held-announced';
      readonly items: readonly HeldReservation[];
      readonly now: number;
    }
  | {
      readonly kind: 'vm-gone';
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly now: number;
    }
  | { readonly kind: 'ticked'; readonly now: number };

/** An action that the host carries out for an allocator. */
export type AllocatorAction =
  | { readonly kind: 'grant'; readonly ask: ReservationRequest; readonly grant: ReservationGrant }
  | {
      readonly kind: 'refuse';
      readonly vmId: VmId;
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
    }
  | {
      readonly kind: 'cancel-hold';
      readonly upstreamId: UpstreamId;
      readonly attemptId: AttemptId;
    }
  | {
      /** An invariant is violated. */
      readonly kind: 'report-violation';
      readonly invariant: AllocatorInvariant;
      readonly detail: string;
    };

/** Invariants that the allocator checks on its own state and grants. */
export type AllocatorInvariant =
  | 'places-within-known'
  | 'grant-before-deadline'
  | 'no-grant-to-leaving'
  | 'ended-not-live'
  | 'queue-within-bounds';

/**
 * How engines are chosen. All policies but `ours` are baselines that decide on each VM separately.
 */
export type AllocationPolicy = 'ours' | BaselinePolicy;
/** Common load-balancing policies, without a queue or admission by deadline. */
export type BaselinePolicy = 'round-robin' | 'least-outstanding' | 'two-choices';
/**
 * What the operator optimises for: tail latency under stragglers, or goodput at peak load
 * (`crest`).
 */
export type AllocationObjective = 'tail' | 'crest';

/** Options of an allocator. */
export type AllocatorOptions = {
  readonly vmId: VmId;
  readonly policy: AllocationPolicy;
  readonly objective: AllocationObjective;
  /** Seed of the allocator's random numbers. */
  readonly seed: number;
};
