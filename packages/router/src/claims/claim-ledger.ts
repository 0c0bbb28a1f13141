/** Runs the claim state machine and makes its calls to the platform table. */

import { createHash, randomUUID } from 'node:crypto';
import { setTimeout } from 'node:timers/promises';
import {
  countUnfinishedJobs,
  findNextClaimTick,
  handleClaimEvent,
  makeClaimState,
  type Claim,
  type ClaimAction,
  type ClaimEvent,
  type ClaimVerdict,
} from '@tarragonspool/core';
import type { TableClient } from '@tarragonspool/platform';
import {
  assertNever,
  type CallerId,
  type ClaimEnding,
  type Fingerprint,
  type IdempotencyKey,
} from '@tarragonspool/protocol';
import type { Invariants } from '../invariants/invariants.js';
import type { Logger } from '../logging/logger.js';
import type { Metrics } from '../metrics/metrics.js';
import { makeChannel, offer, receive, type Channel, type Task } from '../tasks/tasks.js';

/** What a call states when it claims its idempotency key. */
export type ClaimRequest = {
  readonly callerId: CallerId;
  readonly key: IdempotencyKey;
  readonly fingerprint: Fingerprint;
  /** Time after which nothing may be sent, in milliseconds since the epoch. */
  readonly dispatchDeadline: number;
  /** Time until which the answer is awaited, in milliseconds since the epoch. */
  readonly answerDeadline: number;
};

/** Message to the ledger. */
export type LedgerMessage =
  | { readonly kind: 'event'; readonly event: ClaimEvent }
  | {
      readonly kind: 'claim';
      readonly claim: Claim;
      readonly onVerdict: (verdict: ClaimVerdict) => void;
    };

/** Inbox of the ledger, with counters of its progress for other tasks. */
export type LedgerInbox = {
  readonly channel: Channel<LedgerMessage>;
  /** Number of claims that wait for a verdict. */
  waiting: number;
  /** Number of endings in the inbox that the ledger has not handled yet. */
  pendingEndings: number;
  /** Number of unfinished jobs on rows. */
  unfinishedJobs: number;
};

/** Dependencies of the ledger. */
export type LedgerParts = {
  readonly table: TableClient;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly logger: Logger;
};

const INBOX_CAPACITY = 8_192;
/** Below the capacity of the inbox, so that it has room for replies of the table and endings. */
const MAX_WAITING_CLAIMS = 2_048;
const CLAIM_TIMEOUT_MS = 2_000;
const FLUSH_POLL_INTERVAL_MS = 20;
const RETENTION_MS = 86_400_000;
const BUCKET_DIGITS = 3;

/** Number of buckets that claim rows are spread over; each sweep covers one bucket. */
export const CLAIM_BUCKET_COUNT = 16 ** BUCKET_DIGITS;

/** Returns the key prefix of the rows of one bucket. */
export function getClaimBucketPrefix(bucket: number): string {
  return `claims/${bucket.toString(16).padStart(BUCKET_DIGITS, '0')}/`;
}

/** Makes the inbox of the ledger. */
export function makeLedgerInbox(): LedgerInbox {
  const channel = makeChannel<LedgerMessage>(INBOX_CAPACITY);
  return { channel, waiting: 0, pendingEndings: 0, unfinishedJobs: 0 };
}

/** Makes a claim with a new unique token. */
export function makeClaim(request: ClaimRequest, now: number): Claim {
  const name = `${request.callerId}/${request.key}`;
  const digest = createHash('sha256').update(name).digest('hex');
  const { dispatchDeadline, answerDeadline } = request;
  return {
    token: randomUUID(),
    rowKey: `claims/${digest.slice(0, BUCKET_DIGITS)}/${name}`,
    fingerprint: request.fingerprint,
    claimDeadline: Math.min(dispatchDeadline, now + CLAIM_TIMEOUT_MS),
    dispatchDeadline,
    answerDeadline,
    expiresAt: answerDeadline + RETENTION_MS,
  };
}

/** Claims a key and waits for the verdict; `unavailable` at once if too many claims wait. */
export function* callLedger(inbox: LedgerInbox, claim: Claim): Task<ClaimVerdict> {
  const unavailable: ClaimVerdict = { kind: 'unavailable', isKeyReserved: false };
  if (inbox.waiting >= MAX_WAITING_CLAIMS) return unavailable;
  const reply = makeChannel<ClaimVerdict>(1);
  const onVerdict = (verdict: ClaimVerdict): void => {
    offer(reply, verdict);
  };
  if (!offer(inbox.channel, { kind: 'claim', claim, onVerdict })) return unavailable;
  inbox.waiting += 1;
  const verdict = yield* receive(reply);
  inbox.waiting -= 1;
  return verdict ?? unavailable;
}

/**
 * Reports how a claimed call ended, to be recorded in the background; false if the inbox is full.
 */
export function endClaim(inbox: LedgerInbox, claim: Claim, ending: ClaimEnding): boolean {
  const event = { kind: 'ended', token: claim.token, ending, now: Date.now() } as const;
  const isAccepted = offer(inbox.channel, { kind: 'event', event });
  if (isAccepted) inbox.pendingEndings += 1;
  return isAccepted;
}

/** Waits until all outcomes are recorded or the deadline (epoch milliseconds) passes. */
export async function flushClaims(inbox: LedgerInbox, deadline: number): Promise<void> {
  while (inbox.pendingEndings + inbox.unfinishedJobs > 0 && Date.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop -- sequential polling
    await setTimeout(FLUSH_POLL_INTERVAL_MS);
  }
}

type LedgerContext = {
  readonly inbox: LedgerInbox;
  readonly parts: LedgerParts;
  readonly waiting: Map<string, (verdict: ClaimVerdict) => void>;
};

function offerEvent(context: LedgerContext, event: ClaimEvent): void {
  offer(context.inbox.channel, { kind: 'event', event });
}

function startTableCall(
  context: LedgerContext,
  action: Extract<ClaimAction, { kind: 'transact' | 'read' }>,
): void {
  const { table, logger } = context.parts;
  const { batchId } = action;
  const handleError = (error: unknown): void => {
    logger.error({ err: error }, 'claims: table call failed');
  };
  if (action.kind === 'read') {
    table
      .readRows(action.keys, action.deadline)
      .then((result) => offerEvent(context, { kind: 'read', batchId, result, now: Date.now() }))
      .catch(handleError);
    return;
  }
  table
    .transact(action.writes, action.deadline)
    .then((result) => offerEvent(context, { kind: 'transacted', batchId, result, now: Date.now() }))
    .catch(handleError);
}

function performAction(context: LedgerContext, action: ClaimAction): void {
  const { parts, waiting } = context;
  switch (action.kind) {
    case 'transact':
    case 'read':
      startTableCall(context, action);
      return;
    case 'answer': {
      const onVerdict = waiting.get(action.token);
      waiting.delete(action.token);
      parts.metrics.claims.inc({ verdict: action.verdict.kind });
      onVerdict?.(action.verdict);
      return;
    }
    case 'drop-ending':
      parts.metrics.claimEndingsDropped.inc();
      parts.logger.error({ token: action.token }, 'claims: outcome of a call was not recorded');
      return;
    case 'report-violation':
      parts.invariants.assert(false, 'claim-row', {
        detail: action.invariant,
        token: action.token,
      });
      return;
    default:
      assertNever(action);
  }
}

/** Runs the ledger until its inbox closes. */
export function* runClaimLedger(inbox: LedgerInbox, parts: LedgerParts): Task {
  const state = makeClaimState();
  const context: LedgerContext = { inbox, parts, waiting: new Map() };
  let timer: NodeJS.Timeout | undefined;
  for (;;) {
    const message = yield* receive(inbox.channel);
    if (message === undefined) return;
    let event: ClaimEvent;
    if (message.kind === 'claim') {
      context.waiting.set(message.claim.token, message.onVerdict);
      event = { kind: 'claim-asked', claim: message.claim, now: Date.now() };
    } else event = message.event;
    for (const action of handleClaimEvent(state, event)) performAction(context, action);
    if (event.kind === 'ended') inbox.pendingEndings -= 1;
    inbox.unfinishedJobs = countUnfinishedJobs(state);
    clearTimeout(timer);
    const nextTickAt = findNextClaimTick(state);
    if (nextTickAt !== undefined) {
      const delayMs = Math.max(1, nextTickAt - Date.now());
      timer = globalThis.setTimeout(
        () => offerEvent(context, { kind: 'ticked', now: Date.now() }),
        delayMs,
      );
    }
  }
}
