/** Runs a call at most once for its key: claims, runs, records how it ended. */

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

/** Lets a call be sent; made only from a confirmed claim. */
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
/** Largest answer that is kept for whoever asks again, in bytes. */
const MAX_KEPT_BYTES = 16_384;
/** What an idempotency key must look like. */
export const KEY_FORMAT = 'Idempotency-Key: 1 to 128 visible characters';
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Reads the Idempotency-Key header; `malformed` if it is not 1 to 128 visible characters. */
export function readIdempotencyKey(exchange: Exchange): IdempotencyKey | 'malformed' | undefined {
  const key = exchange.incoming.headers['idempotency-key'];
  if (key === undefined) return undefined;
  if (typeof key !== 'string' || !KEY_PATTERN.test(key)) return 'malformed';
  return key as IdempotencyKey;
}

/** Makes the ending of an answered call; large answers are not kept. */
export function makeAnsweredEnding(status: number, contentType: string, body: Buffer): ClaimEnding {
  if (body.length > MAX_KEPT_BYTES) return { kind: 'answer-not-kept' };
  const text = body.toString('utf8');
  const isText = Buffer.from(text, 'utf8').equals(body);
  const outcome: ClaimOutcome = isText
    ? { status, contentType, body: text, encoding: 'utf8' }
    : { status, contentType, body: body.toString('base64'), encoding: 'base64' };
  return { kind: 'answered', outcome };
}

function sendRecorded({ response, trace }: Exchange, outcome: ClaimOutcome): FilterVerdict {
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

function refuseUnknown(): FilterVerdict {
  const detail = 'the call was sent, or may have been, and its outcome was never learnt';
  return { kind: 'refuse', refusal: { name: 'outcome-unknown', ran: 'unknown', detail } };
}

function refuseRunning(retryAt: number): FilterVerdict {
  const detail = 'another call with this key is not settled yet; ask again for its outcome';
  return {
    kind: 'refuse',
    refusal: { name: 'claim-in-progress', ran: 'unknown', detail, retryAt },
  };
}

function refuseUnavailable(isKeyReserved: boolean): FilterVerdict {
  const detail = isKeyReserved
    ? 'nothing was sent; the key stays reserved until the table answers, then use it again'
    : 'nothing was sent; the same key can be used again';
  return refuse('claim-unavailable', detail, Date.now() + RETRY_AFTER_MS);
}

/** Ends the call as not run because its dispatch deadline has passed. */
export function refuseLateDispatch(): OnceResult {
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

/** Runs the call unless its key was used before; else answers what is known of the first call. */
export function* runOnce(
  inbox: LedgerInbox,
  callerId: CallerId,
  exchange: Exchange,
  call: OnceCall,
): Task<FilterVerdict> {
  const fingerprint = digestCall(exchange);
  const { key, dispatchDeadline, answerDeadline } = call;
  const ask = { callerId, key, fingerprint, dispatchDeadline, answerDeadline };
  const claim = makeClaim(ask, Date.now());
  const verdict = yield* callLedger(inbox, claim);
  switch (verdict.kind) {
    case 'claimed':
      return yield* runClaimed(inbox, claim, call, verdict);
    case 'recorded':
      return sendRecorded(exchange, verdict.outcome);
    case 'answer-not-kept':
      return {
        kind: 'refuse',
        refusal: { name: 'answer-not-kept', ran: 'ran', detail: 'the call ran once' },
      };
    case 'running':
      return refuseRunning(verdict.retryAt);
    case 'reused':
      return refuse('key-reused', 'choose another key');
    case 'unknown':
      return refuseUnknown();
    case 'unavailable':
      return refuseUnavailable(verdict.isKeyReserved);
    default:
      return assertNever(verdict);
  }
}
