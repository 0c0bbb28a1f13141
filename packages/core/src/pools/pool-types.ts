/**
 * A pool is the engines of one service. One VM hands out the pool's places: which prefill engine
 * reads a prompt and which decode engine has a place for it. All times are on the steady clock of
 * the VM that decides, in milliseconds.
 */

import type { EngineFailure, UpstreamId, VmId } from '@tarragonspool/protocol';
import type { EngineStage } from '../routing/routing-types.js';

/** Names one ask for a place; unique over all VMs. */
export type AskId = string & { readonly brand: 'AskId' };

/** An engine as the pool counts it. */
export type PoolEngine = {
  readonly upstreamId: UpstreamId;
  readonly stage: EngineStage;
  readonly incarnation: number;
  readonly isLeaving: boolean;
  readonly slots: number;
  readonly kvCapacityTokens: number;
};

/** What one request needs. */
export type PlaceAsk = {
  readonly askId: AskId;
  readonly vmId: VmId;
  readonly promptTokens: number;
  /** Tokens that the answer probably has. */
  readonly outputTokens: number;
  /** Until when the first event is on time. */
  aimAt: number;
  /** Longest pause between events that is on time, in milliseconds. */
  readonly pauseMs: number;
  /** Until when the caller waits for the first event. */
  readonly patienceEndsAt: number;
  /** Same for each attempt of a caller at one request. */
  readonly contentKey: string;
  /** Whether the prompt must be read; false while its KV cache is still kept. */
  readonly needsPrefill: boolean;
  /** Whether work for it has been done already, so that it goes before others. */
  readonly isContinued: boolean;
  /** When the caller's VM stops and cuts what still runs; endless while it is not told to stop. */
  readonly endsBy: number;
  /** Engines that failed this request. */
  readonly excluded: readonly UpstreamId[];
};

/** A request that has its place. */
export type PlaceRun = {
  readonly ask: PlaceAsk;
  readonly decode: UpstreamId;
  /** Engine that still reads the prompt; undefined once it has. */
  prefill: UpstreamId | undefined;
  readonly grantedAt: number;
  /** Whether it can no longer be on time: granted late, or paused while its engine read a prompt. */
  isLate: boolean;
  /** When the place is probably free again. */
  expectedEndAt: number;
};

/** Why an ask is refused. */
export type RefusalReason = 'no-engine' | 'overloaded' | 'waited-too-long' | 'vm-stops';

/** What the pool hears. */
export type PoolEvent =
  | { readonly kind: 'engines-listed'; readonly engines: readonly PoolEngine[] }
  | { readonly kind: 'asked'; readonly ask: PlaceAsk }
  | { readonly kind: 'withdrawn'; readonly askId: AskId }
  | { readonly kind: 'prefilled'; readonly askId: AskId }
  /** The place is free; `didFinish` if the answer came to its end. */
  | { readonly kind: 'ended'; readonly askId: AskId; readonly didFinish: boolean }
  /** An engine refused or failed a request that this pool had placed. */
  | {
      readonly kind: 'engine-failed';
      readonly upstreamId: UpstreamId;
      readonly failure: EngineFailure;
    }
  /** An engine was told to change its stage and takes no work until it has. */
  | {
      readonly kind: 'engine-ordered';
      readonly upstreamId: UpstreamId;
      readonly stage: EngineStage;
      readonly doneBy: number;
    }
  /** All runs that a VM has, told to a VM that decides anew or no longer. */
  | {
      readonly kind: 'runs-announced';
      readonly vmId: VmId;
      readonly runs: readonly PlaceRun[];
    }
  /** A VM has restarted; its earlier runs are over. */
  | { readonly kind: 'vm-restarted'; readonly vmId: VmId }
  | { readonly kind: 'ticked' };

/** What the host must do. */
export type PoolAction =
  | {
      readonly kind: 'grant';
      readonly ask: PlaceAsk;
      /** No engine where the decode engine reads the prompt itself. */
      readonly prefill: UpstreamId | undefined;
      readonly decode: UpstreamId;
    }
  | {
      readonly kind: 'refuse';
      readonly ask: PlaceAsk;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      /** What the refusal rests on. */
      readonly freePlaces: number;
      readonly waiting: number;
      /** Arrivals, and answers that can start, each second. */
      readonly freshRate: number;
      readonly serviceRate: number;
    };
