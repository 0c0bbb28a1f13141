/**
 * What one VM believes of each server beyond its entry in the list, each part tagged with the
 * incarnation that it is about: that it leaves, that it wants no requests of this VM for a while, the
 * requests that it takes from all VMs together, and when the VM that keeps that limit has a permit
 * again. Times are milliseconds on the steady clock of this VM.
 */

import type { UpstreamId } from '@tarragonspool/protocol';

/** One incarnation of a server. */
export type UpstreamIncarnation = {
  readonly upstreamId: UpstreamId;
  readonly incarnation: number;
};

/** A time until which one incarnation of a server is left alone. */
export type UpstreamWait = { readonly incarnation: number; readonly until: number };

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

/** What this VM believes of one server. */
export type UpstreamBelief = {
  /** Latest incarnation that is known to leave, or to have left. */
  readonly leavingIncarnation?: number;
  /** It asked this VM for a pause. */
  readonly pause?: UpstreamWait;
  /** Its latest statement, which holds until the server answers a later request without it. */
  readonly limit?: LimitStatement;
  /** The keeper of its limit had no permit. */
  readonly permitWait?: UpstreamWait;
};

/** Beliefs by server; those that changed last come last. */
export type UpstreamBeliefs = Map<UpstreamId, UpstreamBelief>;

/** Servers that are remembered. */
const MAX_REMEMBERED = 1_000;

function remember(beliefs: UpstreamBeliefs, upstreamId: UpstreamId, news: UpstreamBelief): void {
  const known = beliefs.get(upstreamId);
  beliefs.delete(upstreamId);
  beliefs.set(upstreamId, { ...known, ...news });
  if (beliefs.size <= MAX_REMEMBERED) return;
  const [oldest] = beliefs.keys();
  if (oldest !== undefined) beliefs.delete(oldest);
}

/** Finds the latest incarnation of a server that is known to leave; before all others if none is. */
export function findLeavingIncarnation(beliefs: UpstreamBeliefs, upstreamId: UpstreamId): number {
  return beliefs.get(upstreamId)?.leavingIncarnation ?? -Infinity;
}

/** Remembers that an incarnation leaves. */
export function rememberLeaving(
  beliefs: UpstreamBeliefs,
  { upstreamId, incarnation }: UpstreamIncarnation,
): void {
  const known = findLeavingIncarnation(beliefs, upstreamId);
  remember(beliefs, upstreamId, { leavingIncarnation: Math.max(known, incarnation) });
}

/** Records that an incarnation of a server wants no requests of this VM before a time. */
export function recordPause(
  beliefs: UpstreamBeliefs,
  upstreamId: UpstreamId,
  pause: UpstreamWait,
): void {
  const known = beliefs.get(upstreamId)?.pause;
  const isNewer = known === undefined || known.incarnation <= pause.incarnation;
  if (isNewer) remember(beliefs, upstreamId, { pause });
}

/** Records until when the keeper of a server's limit has no permit. */
export function recordPermitWait(
  beliefs: UpstreamBeliefs,
  upstreamId: UpstreamId,
  permitWait: UpstreamWait,
): void {
  remember(beliefs, upstreamId, { permitWait });
}

function findWaitEnd(
  wait: UpstreamWait | undefined,
  incarnation: number,
  now: number,
): number | undefined {
  if (wait === undefined || wait.incarnation < incarnation || wait.until <= now) return undefined;
  return wait.until;
}

/** Finds until when a server wants no requests of this VM; undefined if it takes them. */
export function findPauseEnd(
  beliefs: UpstreamBeliefs,
  { upstreamId, incarnation }: UpstreamIncarnation,
  now: number,
): number | undefined {
  return findWaitEnd(beliefs.get(upstreamId)?.pause, incarnation, now);
}

/** Finds until when a server's limit has no permit, as far as its keeper said; undefined if it may. */
export function findPermitWaitEnd(
  beliefs: UpstreamBeliefs,
  { upstreamId, incarnation }: UpstreamIncarnation,
  now: number,
): number | undefined {
  return findWaitEnd(beliefs.get(upstreamId)?.permitWait, incarnation, now);
}

/** Answers on other connections may overtake each other, so the later statement is not the last read. */
function isSuperseded(known: LimitStatement, statement: LimitStatement): boolean {
  if (statement.incarnation !== known.incarnation) {
    return statement.incarnation > known.incarnation;
  }
  if (statement.requestsPerSecond === undefined) return statement.sentAt > known.heardAt;
  return statement.heardAt >= known.heardAt;
}

/** Records a statement; returns whether the limit that is in force changes. */
export function recordLimit(beliefs: UpstreamBeliefs, statement: LimitStatement): boolean {
  const { upstreamId, incarnation, requestsPerSecond } = statement;
  const known = beliefs.get(upstreamId)?.limit;
  if (known === undefined) {
    if (requestsPerSecond === undefined) return false;
    remember(beliefs, upstreamId, { limit: statement });
    return true;
  }
  if (!isSuperseded(known, statement)) return false;
  remember(beliefs, upstreamId, { limit: statement });
  return incarnation !== known.incarnation || requestsPerSecond !== known.requestsPerSecond;
}

/** Finds the requests a second that an incarnation of a server takes; undefined without a limit. */
export function findLimit(
  beliefs: UpstreamBeliefs,
  { upstreamId, incarnation }: UpstreamIncarnation,
): number | undefined {
  const known = beliefs.get(upstreamId)?.limit;
  if (known === undefined || known.incarnation < incarnation) return undefined;
  return known.requestsPerSecond;
}

/** Lists the latest statement of each server that has named a limit. */
export function listLimitStatements(beliefs: UpstreamBeliefs): LimitStatement[] {
  return [...beliefs.values()].map(({ limit }) => limit).filter((limit) => limit !== undefined);
}
