/** Events and actions of one model request on its entry VM. */

import type {
  AttemptEnd,
  AttemptId,
  DecodeFrame,
  PrefillResult,
  Refusal,
  ReservationGrant,
  UpstreamId,
} from '@tarragonspool/protocol';

/** Location of a KV cache that a decode engine can import. */
export type KvLocation = {
  readonly upstreamId: UpstreamId;
  readonly attemptId: AttemptId;
  /** When the engine may drop it, in epoch milliseconds; infinite while a stream holds it. */
  readonly expiresAt: number;
};

/** How an order to an engine failed. */
export type OrderFailure =
  /** No byte of the order was sent. */
  | 'unsent'
  /** The engine rejected the order; it holds nothing for the attempt. */
  | 'declined'
  /** The order may have reached the engine, which may hold memory for the attempt. */
  | 'broken';

/** Events of a request. Events of a superseded attempt are ignored. */
export type RequestEvent =
  | { readonly kind: 'granted'; readonly grant: ReservationGrant; readonly now: number }
  | {
      readonly kind: 'refused';
      readonly attemptId: AttemptId;
      readonly refusal: Refusal;
      readonly now: number;
    }
  | {
      readonly kind: 'prefilled';
      readonly attemptId: AttemptId;
      readonly result: PrefillResult;
      readonly now: number;
    }
  | {
      readonly kind: 'prefill-failed';
      readonly attemptId: AttemptId;
      readonly failure: OrderFailure;
      readonly detail: string;
      readonly now: number;
    }
  | { readonly kind: 'frame'; readonly frame: DecodeFrame; readonly now: number }
  | {
      readonly kind: 'decode-failed';
      readonly attemptId: AttemptId;
      readonly failure: OrderFailure;
      readonly detail: string;
      readonly now: number;
    }
  | { readonly kind: 'caller-gone'; readonly now: number }
  | { readonly kind: 'ticked'; readonly now: number };

/** Use of prefilled tokens. `abandoned`: the prefill was ordered, but no result was received. */
export type PrefillFate = 'used' | 'wasted' | 'abandoned';

/** Actions that the host must perform for a request. */
export type RequestAction =
  | {
      readonly kind: 'ask';
      readonly attemptId: AttemptId;
      readonly excluded: readonly UpstreamId[];
      /** Engine whose KV cache is imported, so that no prefill is needed. */
      readonly resumeFrom: UpstreamId | undefined;
      /** Running attempt that the new one replaces once it is granted. */
      readonly movesFrom: AttemptId | undefined;
    }
  /** Withdraws a reservation request, or its grant if that is already on the way. */
  | { readonly kind: 'withdraw'; readonly attemptId: AttemptId }
  | { readonly kind: 'start-prefill'; readonly grant: ReservationGrant }
  | {
      readonly kind: 'start-decode';
      readonly grant: ReservationGrant;
      readonly source: KvLocation;
      readonly fromIndex: number;
    }
  /** Frees the memory that an engine may hold for an attempt. */
  | { readonly kind: 'cancel'; readonly upstreamId: UpstreamId; readonly attemptId: AttemptId }
  | { readonly kind: 'report-end'; readonly end: AttemptEnd }
  | { readonly kind: 'count-prefill'; readonly fate: PrefillFate; readonly tokens: number }
  | {
      readonly kind: 'write-token';
      readonly attemptId: AttemptId;
      readonly index: number;
      readonly text: string;
    }
  | { readonly kind: 'finish'; readonly finishReason: 'stop' | 'length'; readonly tokens: number }
  | { readonly kind: 'fail'; readonly refusal: Refusal };
