/** Runs the duplicate-request guard and exchanges its messages with other VMs. */

import { createHash } from 'node:crypto';
import {
  handleDuplicateEvent,
  HEARTBEAT_TIMEOUT_MS,
  makeDuplicateState,
  type DuplicateAction,
  type DuplicateMessage,
  type DuplicateVerdict,
  type RequestKey,
  type VmMember,
  type VmIncarnation,
} from '@tarragonspool/core';
import { assertNever, type PeerMessage, type VmId } from '@tarragonspool/protocol';
import {
  CONTINUE,
  refuse,
  runFilters,
  type Exchange,
  type Filter,
  type FilterVerdict,
} from '../callers/exchange.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';

/** Message to the guard's task. */
export type DuplicateInboxMessage =
  | {
      readonly kind: 'check';
      readonly requestKey: RequestKey;
      readonly reply: Channel<DuplicateVerdict>;
    }
  | { readonly kind: 'end'; readonly requestKey: RequestKey }
  | { readonly kind: 'peer-said'; readonly from: VmIncarnation; readonly message: DuplicateMessage }
  | {
      readonly kind: 'ticked';
      readonly liveVms: readonly VmId[];
      readonly aliveVms: readonly VmId[];
    };

/** Inbox of the guard's task. */
export type DuplicateInbox = Channel<DuplicateInboxMessage>;

/** Dependencies of the guard's task. */
export type DuplicateParts = {
  readonly self: VmIncarnation;
  readonly sendTo: (vmId: VmId, message: PeerMessage) => boolean;
  readonly metrics: Pick<Metrics, 'duplicateChecks'>;
};

const INBOX_CAPACITY = 16_384;
const RETRY_AFTER_MS = 1_000;
const REQUEST_KEY_DIGITS = 24;

/** Makes the inbox of the guard's task. */
export function makeDuplicateInbox(): DuplicateInbox {
  return makeChannel<DuplicateInboxMessage>(INBOX_CAPACITY);
}

/** Returns whether a peer's message is for the guard. */
export function isDuplicateMessage(message: PeerMessage): message is DuplicateMessage {
  const { kind } = message;
  return kind === 'request-started' || kind === 'request-ended' || kind === 'request-verdict';
}

/** Lists this VM and those whose heartbeat is recent enough that they may still run requests. */
export function listAliveVms(members: readonly VmMember[], self: VmId, now: number): VmId[] {
  const alive = [self];
  for (const { vmId, heardAt } of members) {
    if (vmId !== self && now < heardAt + HEARTBEAT_TIMEOUT_MS) alive.push(vmId);
  }
  return alive;
}

type WaitingChecks = Map<RequestKey, Channel<DuplicateVerdict>>;

function performAction(
  parts: DuplicateParts,
  waiting: WaitingChecks,
  action: DuplicateAction,
): void {
  switch (action.kind) {
    case 'send':
      parts.sendTo(action.vmId, action.message);
      return;
    case 'answer': {
      const reply = waiting.get(action.requestKey);
      waiting.delete(action.requestKey);
      parts.metrics.duplicateChecks.inc({ verdict: action.verdict });
      if (reply !== undefined) offer(reply, action.verdict);
      return;
    }
    default:
      assertNever(action);
  }
}

/** Runs the guard until its inbox closes. */
export function* runDuplicateGuard(inbox: DuplicateInbox, parts: DuplicateParts): Task {
  const state = makeDuplicateState(parts.self);
  const waiting: WaitingChecks = new Map();
  for (;;) {
    const received = yield* receive(inbox);
    if (received === undefined) return;
    const now = Date.now();
    let actions: DuplicateAction[] = [];
    switch (received.kind) {
      case 'check':
        if (state.ownRequests.has(received.requestKey)) {
          parts.metrics.duplicateChecks.inc({ verdict: 'running' });
          offer(received.reply, 'running');
          break;
        }
        waiting.set(received.requestKey, received.reply);
        actions = handleDuplicateEvent(state, { ...received, kind: 'checked', now });
        break;
      case 'end':
        actions = handleDuplicateEvent(state, { ...received, kind: 'ended', now });
        break;
      case 'peer-said':
      case 'ticked':
        actions = handleDuplicateEvent(state, { ...received, now });
        break;
      default:
        assertNever(received);
    }
    for (const action of actions) performAction(parts, waiting, action);
  }
}

/** Digests the request id that the caller chose; undefined if the router generated the id. */
function findRequestKey(exchange: Exchange): RequestKey | undefined {
  const { incoming, requestId, callerId } = exchange;
  if (incoming.headers['x-request-id'] !== requestId) return undefined;
  // Calls with an idempotency key are deduplicated by the claim ledger.
  if (incoming.headers['idempotency-key'] !== undefined) return undefined;
  const hash = createHash('sha256').update(`${callerId}/${requestId}`);
  return hash.digest('hex').slice(0, REQUEST_KEY_DIGITS);
}

function refuseDuplicate(): FilterVerdict {
  const detail = 'another submission of this request id is running; this one did no work';
  const retryAt = Date.now() + RETRY_AFTER_MS;
  return {
    kind: 'refuse',
    refusal: { name: 'duplicate-request', ran: 'unknown', detail, retryAt },
  };
}

function* checkDuplicate(inbox: DuplicateInbox, requestKey: RequestKey): Task<FilterVerdict> {
  const reply = makeChannel<DuplicateVerdict>(1);
  const isAccepted = offer(inbox, { kind: 'check', requestKey, reply });
  const verdict = isAccepted ? yield* receive(reply) : 'unchecked';
  switch (verdict) {
    case 'first':
      return CONTINUE;
    case 'running':
      return refuseDuplicate();
    default: {
      const detail = 'no VM could say whether this request id is running';
      return refuse('not-ready', detail, Date.now() + RETRY_AFTER_MS);
    }
  }
}

/** Makes a filter that runs other filters and refuses a request id that is already running. */
export function makeDuplicateFilter(inbox: DuplicateInbox, filters: readonly Filter[]): Filter {
  return function* guardDuplicates(exchange) {
    const requestKey = findRequestKey(exchange);
    if (requestKey === undefined) return yield* runFilters(filters, exchange);
    const verdict = yield* checkDuplicate(inbox, requestKey);
    if (verdict.kind !== 'continue') return verdict;
    try {
      return yield* runFilters(filters, exchange);
    } finally {
      offer(inbox, { kind: 'end', requestKey });
    }
  };
}
