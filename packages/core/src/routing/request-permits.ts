/**
 * Permits to send requests to servers that limit what they take from all VMs together. One VM keeps
 * the permits of a server and paces them; it states when each request may be sent. Times are
 * milliseconds on the steady clock of that VM.
 */

import type { UpstreamId } from '@tarragonspool/protocol';

/** A server that limits its requests. */
export type LimitedUpstream = {
  readonly upstreamId: UpstreamId;
  readonly incarnation: number;
  readonly requestsPerSecond: number;
};

/** When the next permit of a server can be used. */
type PermitSchedule = { readonly incarnation: number; readonly nextAt: number };

/** Schedules of the servers whose permits were given out. */
export type PermitSchedules = Map<UpstreamId, PermitSchedule>;

const MS_PER_S = 1_000;
/** Even a server that takes nothing gets a request now and then: only an answer ends its limit. */
const MIN_REQUESTS_PER_SECOND = 0.25;

/** Makes the schedules of a VM that has given out no permits. */
export function makePermitSchedules(): PermitSchedules {
  return new Map();
}

/** Finds when the next request may be sent to a limited server: `now` if at once. */
export function findPermitTime(
  schedules: PermitSchedules,
  { upstreamId, incarnation }: Pick<LimitedUpstream, 'upstreamId' | 'incarnation'>,
  now: number,
): number {
  const known = schedules.get(upstreamId);
  if (known === undefined || known.incarnation < incarnation) return now;
  return Math.max(now, known.nextAt);
}

/**
 * Takes the next permit of a server if it can be used by `latestAt`; returns when to send the
 * request, or undefined.
 */
export function takePermit(
  schedules: PermitSchedules,
  server: LimitedUpstream,
  latestAt: number,
  now: number,
): number | undefined {
  const { upstreamId, incarnation, requestsPerSecond } = server;
  const sendAt = findPermitTime(schedules, server, now);
  if (sendAt > latestAt) return undefined;
  const pace = MS_PER_S / Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  schedules.set(upstreamId, { incarnation, nextAt: sendAt + pace });
  return sendAt;
}

/** Finds the server whose next permit can be used first. */
export function findFirstPermitted(
  schedules: PermitSchedules,
  servers: readonly LimitedUpstream[],
  now: number,
): LimitedUpstream | undefined {
  let first: LimitedUpstream | undefined;
  let firstAt = Infinity;
  for (const server of servers) {
    const at = findPermitTime(schedules, server, now);
    if (at >= firstAt) continue;
    first = server;
    firstAt = at;
  }
  return first;
}
