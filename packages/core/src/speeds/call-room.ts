/** Decides at one VM whether a call is sent, waits for room or is refused, from the latest summary. */

import type { ServiceSummary } from '@tarragonspool/protocol';
import { SUMMARY_INTERVAL_MS } from './service-room.js';

/** A call that has not been sent yet. */
export type PendingCall = {
  /** Name of its tenant; empty if it has none. */
  readonly tenant: string;
  /** When its answer must be complete to be on time, and when the caller gives up. */
  readonly aimAt: number;
  readonly deadlineAt: number;
  /** Expected time of its answer, in milliseconds; 0 if not known. */
  readonly answerMs: number;
  /** Random number in [0, 1). */
  readonly fraction: number;
  readonly now: number;
};

/** What a call does until the next summary. */
export type RoomVerdict =
  | { readonly kind: 'send' }
  /** Wait for the next summary, as one that can be on time or as a late one, up to a time. */
  | { readonly kind: 'wait'; readonly isLate: boolean; readonly until: number }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** A summary is used for this long: several may be lost before the VM that sums counts as silent. */
export const SUMMARY_LIFE_MS = 600;
/** A call that so many servers did not run, as they were full, is refused: the others are hardly freer. */
export const MAX_FULL_SERVERS = 2;
/** A call waits only if it is sent in time with at least this probability. */
const LEAST_CHANCE = 0.2;
/**
 * A late call is sent only if this many times the expected answer time is left until its deadline,
 * since answer times vary.
 */
const LATE_ANSWER_FACTOR = 2;
/** A late call waits only if the queue is expected to drain within this part of the time left to it. */
const LATE_WAIT_SHARE = 0.6;
/** Random part of the time after which refused callers come back, so that they do not all come at once. */
const RETRY_AFTER_SPREAD = 0.5;

/** Finds the share of calls that may be sent: that of the tenant, else that of the service. */
function findShare({ share, tenants }: ServiceSummary, tenant: string): number {
  return tenants.find((known) => known.tenant === tenant)?.share ?? share;
}

/** Computes how probable it is that a call is sent until a time, if each summary gives it `share`. */
function computeChance(share: number, leftMs: number): number {
  return 1 - (1 - share) ** (Math.max(0, leftMs) / SUMMARY_INTERVAL_MS);
}

/** Decides about a call that has arrived, or waits and has read a new summary. */
export function judgeCall(summary: ServiceSummary, call: PendingCall): RoomVerdict {
  const { aimAt, deadlineAt, answerMs, fraction, now } = call;
  const share = findShare(summary, call.tenant);
  const onTimeUntil = aimAt - answerMs;
  const lateUntil = deadlineAt - LATE_ANSWER_FACTOR * answerMs;
  const isOnTime = now <= onTimeUntil;
  const ownShare = isOnTime ? share : Math.min(share, summary.lateShare);
  if (fraction < ownShare) return { kind: 'send' };
  if (isOnTime && computeChance(share, onTimeUntil - now) >= LEAST_CHANCE) {
    return { kind: 'wait', isLate: false, until: onTimeUntil };
  }
  const { drainMs } = summary;
  const hasLateRoom = drainMs !== undefined && drainMs < LATE_WAIT_SHARE * (lateUntil - now);
  if (hasLateRoom && share > 0) return { kind: 'wait', isLate: true, until: lateUntil };
  const retryAfterMs = summary.retryAfterMs * (1 + RETRY_AFTER_SPREAD * fraction);
  return { kind: 'refuse', retryAfterMs };
}
