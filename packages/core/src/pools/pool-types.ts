/**
 * Types of a pool: the engines of one service and the slots on them. One VM, the pool's owner,
 * assigns each request a slot on a decode engine and an engine that prefills its prompt. All times
 * are in milliseconds on the steady clock of the owner.
 */

import type {
  DataCentre,
  EngineFailure,
  SoftwareVersion,
  UpstreamId,
  VmId,
} from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';
import type { AnswerProgress } from '../speeds/memory-margin.js';

/** Identifies a slot request; unique across all VMs. Messages and logs call it `askId`. */
export type SlotRequestId = string & { readonly brand: 'SlotRequestId' };

/** An engine as listed for the pool. */
export type PoolEngine = {
  readonly upstreamId: UpstreamId;
  readonly dataCentre: DataCentre;
  readonly stage: EngineStage;
  /** Increases when the engine's process restarts under the same id. */
  readonly incarnation: number;
  readonly isLeaving: boolean;
  /** Requests that a decode engine can serve at a time. */
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Requests that it takes from all VMs together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined;
  readonly softwareVersion: SoftwareVersion;
};

/** A request for a slot, with what the request needs of the engines. */
export type SlotRequest = {
  readonly askId: SlotRequestId;
  /** VM that sent the slot request and serves its caller. */
  readonly vmId: VmId;
  /** Data centre of that VM. */
  readonly dataCentre: DataCentre;
  /** Rank of the request's route; 0 goes first. */
  readonly rank: number;
  /** Tenant that the stream is for; undefined without tenants, or if its VM does not tell. */
  readonly tenant?: string | undefined;
  readonly promptTokens: number;
  /** Expected length of the answer; 0 or less if unknown. */
  readonly outputTokens: number;
  /** Longest length of the answer; absent if unknown. */
  readonly maxOutputTokens?: number | undefined;
  /** Latency target: when the first event is due. */
  aimAt: number;
  /** Longest pause between two events that meets the latency target, in milliseconds. */
  readonly pauseMs: number;
  /** The caller's deadline for the next event; it retries after that. */
  readonly patienceEndsAt: number;
  /** The caller's deadline for the whole answer, over all its attempts; absent from VMs of earlier versions. */
  readonly deadlineAt?: number | undefined;
  /** Identifies the content: the same for every attempt of a caller at one request. */
  readonly contentKey: string;
  /** Whether the prompt must be prefilled; false while its KV cache is still stored. */
  readonly needsPrefill: boolean;
  /** Whether engines have already worked on the request, so that it is served before others. */
  readonly isContinued: boolean;
  /** When the caller's VM stops and interrupts open answers; Infinity if no stop is planned. */
  readonly endsBy: number;
  /** Engines that have failed this request and must not get it again. */
  readonly excluded: readonly UpstreamId[];
  /** Version that began the stream and must decode it; undefined for a new one. */
  readonly softwareVersion: SoftwareVersion | undefined;
};

/** A slot that is assigned to a request. */
export type SlotAssignment = {
  readonly ask: SlotRequest;
  readonly decode: UpstreamId;
  /**
   * Engine that is prefilling the prompt; undefined once it has. Equals `decode` for a local
   * prefill.
   */
  prefill: UpstreamId | undefined;
  readonly grantedAt: number;
  /**
   * Whether the latency target is missed: granted too late, or paused too long by a local prefill.
   */
  isLate: boolean;
  /** When the slot is expected to become free. */
  expectedEndAt: number;
};

/** Why a slot request is refused. */
export type RefusalReason = 'no-engine' | 'overloaded' | 'waited-too-long' | 'vm-stops';

/** Events that the pool receives. */
export type PoolEvent =
  | { readonly kind: 'engines-listed'; readonly engines: readonly PoolEngine[] }
  | { readonly kind: 'asked'; readonly ask: SlotRequest }
  | { readonly kind: 'withdrawn'; readonly askId: SlotRequestId }
  | { readonly kind: 'prefilled'; readonly askId: SlotRequestId }
  /** The slot is free; `didFinish` if the answer was completed. */
  | {
      readonly kind: 'ended';
      readonly askId: SlotRequestId;
      readonly didFinish: boolean;
      /** How the answer's events came; absent from versions that do not report it. */
      readonly progress?: AnswerProgress | undefined;
    }
  /** An engine refused or failed a request that this pool had assigned to it. */
  | {
      readonly kind: 'engine-failed';
      readonly upstreamId: UpstreamId;
      readonly failure: EngineFailure;
    }
  /** An engine was ordered to change its stage and takes no work until it has. */
  | {
      readonly kind: 'engine-ordered';
      readonly upstreamId: UpstreamId;
      readonly stage: EngineStage;
      /** When the change is certainly complete. */
      readonly doneBy: number;
      /** How long it takes at most once the engine has no work; absent from earlier versions. */
      readonly idleChangeMs?: number | undefined;
    }
  /**
   * All slot assignments of a VM. When the owner of the pool changes, each VM sends its complete
   * list to the new owner and an empty list to the previous one.
   */
  | {
      readonly kind: 'runs-announced';
      readonly vmId: VmId;
      readonly runs: readonly SlotAssignment[];
    }
  /** A VM has restarted, which ended its earlier assignments. */
  | { readonly kind: 'vm-restarted'; readonly vmId: VmId }
  | { readonly kind: 'ticked' };

/** Actions that the host must perform. */
export type PoolAction =
  | {
      readonly kind: 'grant';
      readonly ask: SlotRequest;
      /** Undefined if no prefill is needed or if the decode engine prefills locally. */
      readonly prefill: UpstreamId | undefined;
      readonly decode: UpstreamId;
      /** Engines that limit their requests and whose permits were taken. */
      readonly permits: readonly UpstreamId[];
    }
  | {
      readonly kind: 'refuse';
      readonly ask: SlotRequest;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      /** Free slots and waiting requests that the refusal is based on. */
      readonly freePlaces: number;
      readonly waiting: number;
      /** Arrivals that could meet their target, and answers that the pool can start, per second. */
      readonly freshRate: number;
      readonly serviceRate: number;
    };
