/** Types of a model request and the deadlines derived from it. */

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

/** Dependencies of a model request. */
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

/** A valid model request that a rule allows. */
export type ModelRequest = {
  readonly requestId: RequestId;
  readonly callerId: CallerId;
  readonly service: ServiceName;
  readonly priority: number;
  readonly chat: ChatRequest;
  readonly deadlines: ChatDeadlines;
  readonly arrivedAt: number;
  readonly writer: AnswerWriter;
  /**
   * Set for a request that must run at most once; nothing is sent without it or after its dispatch
   * deadline.
   */
  readonly permit?: DispatchPermit;
  readonly trace: RequestTrace;
  /** Registers a handler that is called if the caller disconnects before the answer ended. */
  readonly onCallerGone: (handler: () => void) => void;
};

/** State of a model request in progress. */
export type RunningRequest = {
  readonly parts: ModelRequestParts;
  readonly request: ModelRequest;
  readonly inbox: Channel<RequestEvent>;
  /** Functions that stop the orders in progress, by engine and attempt. */
  readonly stopOrders: Map<string, StopOrder>;
  /** Attempt of the last decode order; only its frames may be written. */
  decodingAttempt: AttemptId | undefined;
  /** Texts of the tokens written to the caller so far. */
  readonly writtenTexts: string[];
  isAnswered: boolean;
  /** Whether the whole answer was written. */
  hasFinished: boolean;
  /** Number of orders of which at least a byte may have been sent. */
  dispatches: number;
  /** When the next position may be reported, in milliseconds since the epoch. */
  nextPositionAt: number;
};

const ANSWER_OVERTIME_MS = 30_000;
const HOLD_MARGIN_MS = 2_000;

/**
 * Returns when an answer in progress is cut off; missing its latency target alone does not end it.
 */
export function findLastDeadline(request: ModelRequest): number {
  return request.deadlines.answerDeadline + ANSWER_OVERTIME_MS;
}

/** Returns when an engine may free what it holds for a request. */
export function findHoldDeadline(request: ModelRequest): number {
  return findLastDeadline(request) + HOLD_MARGIN_MS;
}
