/** Runs a call at most once per idempotency key: claims the key, runs, records the ending. */

import { createHash } from 'node:crypto';
import type { Claim, ClaimVerdict } from '@tarragonspool/core';
import {
  assertNever,
  type CallerId,
  type ClaimEnding,
  type ClaimOutcome,
  type Fingerprint,
  type IdempotencyKey,
} from '@tarragonspool/protocol';
import { recordAnswered } from '../journal/request-trace.js';
import { ANSWERED, refuse, type Exchange, type FilterVerdict } from '../callers/exchange.js';
import type { Task } from '../tasks/tasks.js';
import { callLedger, endClaim, makeClaim, type LedgerInbox } from './claim-ledger.js';

/** How a claimed call ended, for the ledger and for the caller. */
export type OnceResult = { readonly ending: ClaimEnding; readonly verdict: FilterVerdict };

/** Permission to send a call; comes only from a confirmed claim. */
export type DispatchPermit = Extract<ClaimVerdict, { kind: 'claimed' }>;

/** A call that must run at most once. */
export type OnceCall = {
  readonly key: IdempotencyKey;
  /** Milliseconds since the epoch. */
  readonly dispatchDeadline: number;
  /** Milliseconds since the epoch. */
  readonly answerDeadline: number;
  readonly run: (permit: DispatchPermit) => Task<OnceResult>;
};

const RETRY_AFTER_MS = 1_000;
/** Largest answer that is recorded for later calls with the same key. */
const MAX_RECORDED_BYTES = 16_384;
/** Error text that describes a valid idempotency key. */
export const KEY_FORMAT = 'Idempotency-Key: 1 to 128 visible characters';
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Reads the Idempotency-Key header; `malformed` unless it has 1 to 128 visible characters. */
export function readIdempotencyKey(exchange: Exchange): IdempotencyKey | 'malformed' | undefined {
  const key = exchange.incoming.headers['idempotency-key'];
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || !KEY_PATTERN.test(key)) return 'malformed';
  return key as IdempotencyKey;
}

/** Makes the ending of an answered call; the text of a large answer is not recorded. */
export function makeAnsweredEnding(status: number, contentType: string, body: Buffer): ClaimEnding {
  if (body.length > MAX_RECORDED_BYTES) return { kind: 'answer-not-kept' };
  const text = body.toString('utf8');
  const isText = Buffer.from(text, 'utf8').equals(body);
  const outcome: ClaimOutcome = isText
    ? { status, contentType, body: text, encoding: 'utf8' }
    : { status, contentType, body: body.toString('base64'), encoding: 'base64' };
  return { kind: 'answered', outcome };
}

function sendRecordedAnswer({ response, trace }: Exchange, outcome: ClaimOutcome): FilterVerdict {
  const body = Buffer.from(outcome.body, outcome.encoding);
  response.writeHead(outcome.status, {
    'content-type': outcome.contentType,
    'content-length': body.length,
    'idempotent-replayed': 'true',
  });
  response.end(body);
  recordAnswered(trace, Date.now());
  return ANSWERED;
}

function digestCall(exchange: Exchange): Fingerprint {
  const hash = createHash('sha256').update(`${exchange.incoming.method} ${exchange.path}\n`);
  return hash.update(exchange.body ?? '').digest('hex') as Fingerprint;
}

function refuseUnknownOutcome(): FilterVerdict {
  const detail = 'the call was or may have been sent, and its outcome is unknown';
  return { kind: 'refuse', refusal: { name: 'outcome-unknown', ran: 'unknown', detail } };
}

function refuseRunning(retryAt: number): FilterVerdict {
  const detail = 'another call with this key has no recorded outcome yet; ask again later';
  return {
    kind: 'refuse',
    refusal: { name: 'claim-in-progress', ran: 'unknown', detail, retryAt },
  };
}

function refuseUnavailable(isKeyReserved: boolean): FilterVerdict {
  const detail = isKeyReserved
    ? 'nothing was sent; the key stays reserved until the table answers, then retry with it'
    : 'nothing was sent; the same key can be used again';
  return refuse('claim-unavailable', detail, Date.now() + RETRY_AFTER_MS);
}

/** Ends the call as not run because its dispatch deadline passed. */
export function refuseExpiredDispatch(): OnceResult {
  return { ending: { kind: 'not-run' }, verdict: refuseUnavailable(true) };
}

function* runClaimed(
  inbox: LedgerInbox,
  claim: Claim,
  call: OnceCall,
  permit: DispatchPermit,
): Task<FilterVerdict> {
  let ending: ClaimEnding = { kind: 'unknown' };
  try {
    const result = yield* call.run(permit);
    ending = result.ending;
    return result.verdict;
  } finally {
    endClaim(inbox, claim, ending);
  }
}

/**
 * Runs the call unless its key was used before; else answers with what is known of the first call.
 */
export function* runOnce(
  inbox: LedgerInbox,
  callerId: CallerId,
  exchange: Exchange,
  call: OnceCall,
): Task<FilterVerdict> {
  const fingerprint = digestCall(exchange);
  const { key, dispatchDeadline, answerDeadline } = call;
  const request = { callerId, key, fingerprint, dispatchDeadline, answerDeadline };
  const claim = makeClaim(request, Date.now());
  const verdict = yield* callLedger(inbox, claim);
  switch (verdict.kind) {
    case 'claimed':
      return yield* runClaimed(inbox, claim, call, verdict);
    case 'recorded':
      return sendRecordedAnswer(exchange, verdict.outcome);
    case 'answer-not-kept':
      return {
        kind: 'refuse',
        refusal: {
          name: 'answer-not-kept',
          ran: 'ran',
          detail: 'the call ran once; its answer is not stored',
        },
      };
    case 'running':
      return refuseRunning(verdict.retryAt);
    case 'reused':
      return refuse('key-reused', 'this key was used for a different call; choose another key');
    case 'unknown':
      return refuseUnknownOutcome();
    case 'unavailable':
      return refuseUnavailable(verdict.isKeyReserved);
    default:
      return assertNever(verdict);
  }
}
