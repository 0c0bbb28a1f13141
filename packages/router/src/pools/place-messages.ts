/** Messages between the task of a request and the pool task, which gets a slot for it. */

import type {
  AnswerProgress,
  SlotRequestId,
  SlotRequest,
  RefusalReason,
} from '@tarragonspool/core';
import type { EngineFailure, ServiceName, UpstreamId } from '@tarragonspool/protocol';

/** Reply to a slot request. */
export type SlotReply =
  | {
      readonly kind: 'granted';
      readonly askId: SlotRequestId;
      readonly prefill: UpstreamId | undefined;
      readonly decode: UpstreamId;
      /** Engines that limit their requests and whose permits the grant includes. */
      readonly permits: readonly UpstreamId[];
    }
  | {
      readonly kind: 'refused';
      readonly askId: SlotRequestId;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** Receives the reply to a slot request. */
export type SlotReplyHandler = (reply: SlotReply) => void;

/** Messages that the task of a request sends to the pool task. */
export type PoolRequestMessage =
  | {
      readonly kind: 'ask';
      readonly service: ServiceName;
      readonly ask: SlotRequest;
      /** Whether an engine has started on it; it then continues even if this VM stops before its end. */
      readonly hasRun: boolean;
      readonly onReply: SlotReplyHandler;
    }
  | { readonly kind: 'withdraw'; readonly askId: SlotRequestId }
  | { readonly kind: 'prefilled'; readonly askId: SlotRequestId }
  | {
      readonly kind: 'end';
      readonly askId: SlotRequestId;
      readonly didFinish: boolean;
      readonly progress?: AnswerProgress | undefined;
    }
  | {
      readonly kind: 'engine-failed';
      readonly service: ServiceName;
      readonly upstreamId: UpstreamId;
      readonly failure: EngineFailure;
    };
