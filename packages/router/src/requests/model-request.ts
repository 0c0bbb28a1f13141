/** What a model request is and what it works with. */

import type { AllocationObjective, RequestEvent, RetryBudget } from '@tarragonspool/core';
import type {
  AttemptId,
  CallerId,
  DataCentre,
  Incarnation,
  RequestId,
  ServiceName,
  VmId,
} from '@tarragonspool/protocol';
import type { AllocationInbox } from '../allocation/allocation-messages.js';
import type { DispatchPermit } from '../claims/run-once.js';
import type { CancelInbox } from '../engines/cancel-task.js';
import type { StopOrder } from '../engines/engine-client.js';
import type { Invariants } from '../invariants/invariants.js';
import type { RequestTrace } from '../journal/request-trace.js';
import type { Metrics } from '../metrics/metrics.js';
import type { Quarantine } from '../quarantine/quarantine-types.js';
import type { Channel } from '../tasks/tasks.js';
import type { Directory } from '../upstreams/directory.js';
import type { AnswerWriter } from './answer-writer.js';
import type { ChatDeadlines, ChatRequest } from './chat-request.js';

/** What a model request works with. */
export type ModelRequestParts = {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
  readonly directory: Directory;
  readonly allocation: AllocationInbox;
  readonly cancels: CancelInbox;
  readonly objective: AllocationObjective;
  readonly budget: RetryBudget;
  readonly quarantine: Quarantine;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
};

/** One model request, checked and approved. */
export type ModelRequest = {
  readonly requestId: RequestId;
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly priority: number;
  readonly chat: ChatRequest;
  readonly deadlines: ChatDeadlines;
  readonly arrivedAt: number;
  readonly writer: AnswerWriter;
  /** Set for a request that must run at most once; nothing is ordered without it or after it. */
  readonly permit?: DispatchPermit;
  readonly trace: RequestTrace;
  /** Calls back once if the caller goes away before the answer ended. */
  readonly onCallerGone: (handler: () => void) => void;
};

/** A model request under way. */
export type RunningRequest = {
  readonly parts: ModelRequestParts;
  readonly request: ModelRequest;
  readonly inbox: Channel<RequestEvent>;
  /** Stops the orders under way, by engine and attempt. */
  readonly stopOrders: Map<string, StopOrder>;
  /** Attempt of the last decode order; only its frames may be written. */
  decodingAttempt: AttemptId | undefined;
  /** Tokens that the caller has. */
  readonly writtenTexts: string[];
  isAnswered: boolean;
  /** Whether the whole answer was written. */
  hasFinished: boolean;
  /** Orders of which a byte may have left. */
  dispatches: number;
  nextMoveAt: number;
};

const LATE_ANSWER_MS = 30_000;
const HOLD_MARGIN_MS = 2_000;

/** Finds when an answer under way is given up: its target is no reason to cut it. */
export function findLastDeadline(request: ModelRequest): number {
  return request.deadlines.answerDeadline + LATE_ANSWER_MS;
}

/** Finds when an engine may drop what it holds for a request. */
export function findHoldDeadline(request: ModelRequest): number {
  return findLastDeadline(request) + HOLD_MARGIN_MS;
}
