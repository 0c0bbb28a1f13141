/**
 * What servers said of the requests that they take from all VMs together. A limit holds until the
 * server has answered, without it, a request that was sent after it had been named: answers on other
 * connections may overtake each other. Times are milliseconds on the steady clock of this VM.
 */

import type { UpstreamId } from '@tarragonspool/protocol';

/** What one answer said of the limit of its server. */
export type LimitStatement = {
  readonly upstreamId: UpstreamId;
  readonly incarnation: number;
  /** Undefined if the answer named no limit. */
  readonly requestsPerSecond: number | undefined;
  /** When the request was sent, and when the head of its answer arrived. */
  readonly sentAt: number;
  readonly heardAt: number;
};

/** The latest statement of each server that has named a limit in its present incarnation. */
export type UpstreamLimits = Map<UpstreamId, LimitStatement>;

/** Servers whose statements are remembered. */
const MAX_REMEMBERED = 1_000;

function rememberStatement(limits: UpstreamLimits, statement: LimitStatement): void {
  limits.delete(statement.upstreamId);
  limits.set(statement.upstreamId, statement);
  if (limits.size <= MAX_REMEMBERED) return;
  const [oldest] = limits.keys();
  if (oldest !== undefined) limits.delete(oldest);
}

function isSuperseded(known: LimitStatement, statement: LimitStatement): boolean {
  if (statement.incarnation !== known.incarnation) {
    return statement.incarnation > known.incarnation;
  }
  if (statement.requestsPerSecond === undefined) return statement.sentAt > known.heardAt;
  return statement.heardAt >= known.heardAt;
}

/** Records a statement; returns whether the limit that is in force changes. */
export function recordLimit(limits: UpstreamLimits, statement: LimitStatement): boolean {
  const { upstreamId, incarnation, requestsPerSecond } = statement;
  const known = limits.get(upstreamId);
  if (known === undefined) {
    if (requestsPerSecond === undefined) return false;
    rememberStatement(limits, statement);
    return true;
  }
  if (!isSuperseded(known, statement)) return false;
  rememberStatement(limits, statement);
  return incarnation !== known.incarnation || requestsPerSecond !== known.requestsPerSecond;
}

/** Finds the requests a second that an incarnation of a server takes; undefined without a limit. */
export function findLimit(
  limits: UpstreamLimits,
  upstreamId: UpstreamId,
  incarnation: number,
): number | undefined {
  const known = limits.get(upstreamId);
  if (known === undefined || known.incarnation < incarnation) return undefined;
  return known.requestsPerSecond;
}
