/** Owns the claim machine and carries its calls of the table. */

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

/** What a call brings to its claim. */
export type ClaimAsk = {
  readonly callerId: CallerId;
  readonly key: IdempotencyKey;
  readonly fingerprint: Fingerprint;
  /** Nothing is sent after this, in milliseconds since the epoch. */
  readonly dispatchDeadline: number;
  /** The answer is waited for no longer than this, in milliseconds since the epoch. */
  readonly answerDeadline: number;
};

/** What the ledger receives. */
export type LedgerMessage =
  | { readonly kind: 'event'; readonly event: ClaimEvent }
  | {
      readonly kind: 'claim';
      readonly claim: Claim;
      readonly onVerdict: (verdict: ClaimVerdict) => void;
    };

/** Inbox of the ledger, with what other parts may read of its progress. */
export type LedgerInbox = {
  readonly channel: Channel<LedgerMessage>;
  /** Claims that wait for a verdict. */
  waiting: number;
  /** Endings that the ledger has not seen yet. */
  unseenEndings: number;
  /** Work on rows that is not done yet. */
  unfinishedJobs: number;
};

/** What the ledger works with. */
export type LedgerParts = {
  readonly table: TableClient;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly logger: Logger;
};

const INBOX_CAPACITY = 8_192;
/** Leaves room in the inbox for answers of the table and endings. */
const MAX_WAITING = 2_048;
const CLAIM_TIMEOUT_MS = 2_000;
const FLUSH_POLL_MS = 20;
const RETENTION_MS = 86_400_000;
const BUCKET_DIGITS = 3;

/** Number of buckets that rows are spread over, so that they can be swept a bucket at a time. */
export const CLAIM_BUCKETS = 16 ** BUCKET_DIGITS;

/** Prefix of the rows of one bucket. */
export function getClaimBucketPrefix(bucket: number): string {
  return `claims/${bucket.toString(16).padStart(BUCKET_DIGITS, '0')}/`;
}

/** Makes the inbox of the ledger. */
export function makeLedgerInbox(): LedgerInbox {
  const channel = makeChannel<LedgerMessage>(INBOX_CAPACITY);
  return { channel, waiting: 0, unseenEndings: 0, unfinishedJobs: 0 };
}

/** Makes a claim with a token of its own. */
export function makeClaim(ask: ClaimAsk, now: number): Claim {
  const name = `${ask.callerId}/${ask.key}`;
  const digest = createHash('sha256').update(name).digest('hex');
  const { dispatchDeadline, answerDeadline } = ask;
  return {
    token: randomUUID(),
    rowKey: `claims/${digest.slice(0, BUCKET_DIGITS)}/${name}`,
    fingerprint: ask.fingerprint,
    claimDeadline: Math.min(dispatchDeadline, now + CLAIM_TIMEOUT_MS),
    dispatchDeadline,
    answerDeadline,
    expiresAt: answerDeadline + RETENTION_MS,
  };
}

/** Claims a key and waits for the verdict. */
export function* callLedger(inbox: LedgerInbox, claim: Claim): Task<ClaimVerdict> {
  const refused: ClaimVerdict = { kind: 'unavailable', isKeyReserved: false };
  if (inbox.waiting >= MAX_WAITING) return refused;
  const reply = makeChannel<ClaimVerdict>(1);
  const onVerdict = (verdict: ClaimVerdict): void => {
    offer(reply, verdict);
  };
  if (!offer(inbox.channel, { kind: 'claim', claim, onVerdict })) return refused;
  inbox.waiting += 1;
  const verdict = yield* receive(reply);
  inbox.waiting -= 1;
  return verdict ?? refused;
}

/** Tells the ledger how a claimed call ended; it is recorded in the background. */
export function endClaim(inbox: LedgerInbox, claim: Claim, ending: ClaimEnding): boolean {
  const event = { kind: 'ended', token: claim.token, ending, now: Date.now() } as const;
  const isTaken = offer(inbox.channel, { kind: 'event', event });
  if (isTaken) inbox.unseenEndings += 1;
  return isTaken;
}

/** Waits until every outcome is recorded, or until the deadline (epoch milliseconds). */
export async function flushClaims(inbox: LedgerInbox, deadline: number): Promise<void> {
  while (inbox.unseenEndings + inbox.unfinishedJobs > 0 && Date.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop -- polls one after another
    await setTimeout(FLUSH_POLL_MS);
  }
}

type Running = {
  readonly inbox: LedgerInbox;
  readonly parts: LedgerParts;
  readonly waiting: Map<string, (verdict: ClaimVerdict) => void>;
};

function offerEvent(running: Running, event: ClaimEvent): void {
  offer(running.inbox.channel, { kind: 'event', event });
}

function startCall(
  running: Running,
  action: Extract<ClaimAction, { kind: 'transact' | 'read' }>,
): void {
  const { table, logger } = running.parts;
  const { batchId } = action;
  const handleError = (error: unknown): void => {
    logger.error({ err: error }, 'claims: call of the table failed');
  };
  if (action.kind === 'read') {
    table
      .readRows(action.keys, action.deadline)
      .then((result) => offerEvent(running, { kind: 'read', batchId, result, now: Date.now() }))
      .catch(handleError);
    return;
  }
  table
    .transact(action.writes, action.deadline)
    .then((result) => offerEvent(running, { kind: 'transacted', batchId, result, now: Date.now() }))
    .catch(handleError);
}

function performAction(running: Running, action: ClaimAction): void {
  const { parts, waiting } = running;
  switch (action.kind) {
    case 'transact':
    case 'read':
      startCall(running, action);
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
      parts.logger.error({ token: action.token }, 'claims: outcome was not recorded');
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

/** Runs until the inbox closes. */
export function* runClaimLedger(inbox: LedgerInbox, parts: LedgerParts): Task {
  const state = makeClaimState();
  const running: Running = { inbox, parts, waiting: new Map() };
  let timer: NodeJS.Timeout | undefined;
  for (;;) {
    const message = yield* receive(inbox.channel);
    if (message === undefined) return;
    let event: ClaimEvent;
    if (message.kind === 'claim') {
      running.waiting.set(message.claim.token, message.onVerdict);
      event = { kind: 'claim-asked', claim: message.claim, now: Date.now() };
    } else event = message.event;
    for (const action of handleClaimEvent(state, event)) performAction(running, action);
    if (event.kind === 'ended') inbox.unseenEndings -= 1;
    inbox.unfinishedJobs = countUnfinishedJobs(state);
    clearTimeout(timer);
    const next = findNextClaimTick(state);
    if (next !== undefined) {
      const delay = Math.max(1, next - Date.now());
      timer = globalThis.setTimeout(
        () => offerEvent(running, { kind: 'ticked', now: Date.now() }),
        delay,
      );
    }
  }
}
