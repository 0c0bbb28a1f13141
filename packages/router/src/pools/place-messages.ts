/** Messages between a request's task and the task that finds it a place. */

import type { SlotRequestId, SlotRequest, RefusalReason } from '@tarragonspool/core';
import type { EngineFailure, ServiceName, UpstreamId } from '@tarragonspool/protocol';

/** Answer to an ask. */
export type PlaceReply =
  | {
      readonly kind: 'granted';
      readonly askId: SlotRequestId;
      readonly prefill: UpstreamId | undefined;
      readonly decode: UpstreamId;
    }
  | {
      readonly kind: 'refused';
      readonly askId: SlotRequestId;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** Hears the answer to an ask. */
export type OnPlaceReply = (reply: PlaceReply) => void;

/** What requests say to the place task. */
export type PlaceRequestMessage =
  | {
      readonly kind: 'ask';
      readonly service: ServiceName;
      readonly ask: SlotRequest;
      /** Whether an engine has begun to run it: then it goes on even if this VM stops before its end. */
      readonly hasRun: boolean;
      readonly onReply: OnPlaceReply;
    }
  | { readonly kind: 'withdraw'; readonly askId: SlotRequestId }
  | { readonly kind: 'prefilled'; readonly askId: SlotRequestId }
  | { readonly kind: 'end'; readonly askId: SlotRequestId; readonly didFinish: boolean }
  | {
      readonly kind: 'engine-failed';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly failure: EngineFailure;
    };
