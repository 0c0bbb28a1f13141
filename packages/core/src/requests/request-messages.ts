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

/** KV cache on an engine that a decode engine can import. */
export type KvLocation = {
  readonly upstreamId: UpstreamId;
  readonly attemptId: AttemptId;
  /** When the engine may drop it; infinite while a stream holds it. */
  readonly expiresAt: number;
};

/** How an order to an engine failed. */
export type OrderFailure =
  /** No byte of the order left. */
  | 'unsent'
  /** The engine answered that it does not take the order; it holds nothing for the attempt. */
  | 'declined'
  | 'broken';

/** What happens to a request. Events of a superseded attempt are ignored. */
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

/** What became of prefilled tokens. `abandoned`: ordered, but no result was seen. */
export type PrefillFate = 'used' | 'wasted' | 'abandoned';

/** What the host must do for a request. */
export type RequestAction =
  | {
      readonly kind: 'ask';
      readonly attemptId: AttemptId;
      readonly excluded: readonly UpstreamId[];
      /** Engine whose KV cache makes a prefill needless. */
      readonly resumeFrom: UpstreamId | undefined;
      /** Attempt that goes on until this one is granted. */
      readonly movesFrom?: AttemptId;
    }
  /** Takes back an ask, or its grant where the answer is on its way. */
  | { readonly kind: 'withdraw'; readonly attemptId: AttemptId }
  | { readonly kind: 'start-prefill'; readonly grant: ReservationGrant }
  | {
      readonly kind: 'start-decode';
      readonly grant: ReservationGrant;
      readonly source: KvLocation;
      readonly fromIndex: number;
    }
  /** Frees what an engine may hold for an attempt. */
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
