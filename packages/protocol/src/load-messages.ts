/**
 * Messages about the load of the servers of plain services. Each VM reports to the VM that leads the
 * ranking, which sums the reports and sends all VMs a summary. Durations instead of times are sent,
 * because the clocks of two VMs do not agree.
 */

import * as z from 'zod';
import type { ServiceName, UpstreamId } from './ids.js';

const id = z.string().max(256);
const count = z.number().int().nonnegative();
const measure = z.number().finite().nonnegative();
const share = z.number().min(0).max(1);

/** Schemas of the messages about load. */
export const loadMessageSchemas = [
  z.object({
    kind: z.literal('load-report'),
    ranking: id,
    services: z.array(
      z.object({
        service: id,
        waiting: count,
        waitingLate: count,
        arrivals: z.array(z.object({ tenant: id, count })),
        servers: z.array(
          z.object({
            upstreamId: id,
            inFlight: count,
            busyMs: measure,
            answers: count,
            answerMs: measure,
            refusals: count,
          }),
        ),
      }),
    ),
  }),
  z.object({
    kind: z.literal('load-summary'),
    ranking: id,
    services: z.array(
      z.object({
        service: id,
        servers: z.array(
          z.object({
            upstreamId: id,
            inFlight: measure,
            handles: measure,
            handledMs: measure,
            answerMs: measure,
          }),
        ),
        share,
        tenants: z.array(z.object({ tenant: id, share })),
        lateShare: share,
        drainMs: measure.optional(),
        retryAfterMs: measure,
      }),
    ),
  }),
] as const;

/** What one VM sent to one server since its report before. */
export type ServerLoadItem = {
  readonly upstreamId: UpstreamId;
  /** Requests in flight now. */
  readonly inFlight: number;
  /** Time that its requests spent in flight, summed over the requests, in milliseconds. */
  readonly busyMs: number;
  /** Whole answers, and the sum of their times in milliseconds. */
  readonly answers: number;
  readonly answerMs: number;
  /** Requests that it did not run because it was full. */
  readonly refusals: number;
};

/** Calls of one tenant that arrived; the name is empty for calls without a tenant. */
export type TenantArrivals = { readonly tenant: string; readonly count: number };

/** What one VM reports of one service. */
export type ServiceLoadItem = {
  readonly service: ServiceName;
  /** Calls that wait for room and can still be on time. */
  readonly waiting: number;
  /** Calls that wait for room that no call on time needs. */
  readonly waitingLate: number;
  /** Calls that arrived since the report before. */
  readonly arrivals: readonly TenantArrivals[];
  readonly servers: readonly ServerLoadItem[];
};

/** Load of one server over all VMs. */
export type ServerSummary = {
  readonly upstreamId: UpstreamId;
  readonly inFlight: number;
  /** Requests at a time that it handles well. */
  readonly handles: number;
  /** Time of an answer with as many requests at a time, in milliseconds; 0 if not known. */
  readonly handledMs: number;
  /** Expected time of an answer to one more request, in milliseconds. */
  readonly answerMs: number;
};

/** Load of one service over all VMs. */
export type ServiceSummary = {
  readonly service: ServiceName;
  readonly servers: readonly ServerSummary[];
  /** Share of the pending calls for which there is room until the next summary. */
  readonly share: number;
  /** The same for tenants whose share is another one. */
  readonly tenants: readonly { readonly tenant: string; readonly share: number }[];
  /** The same for calls that can't be on time any more. */
  readonly lateShare: number;
  /** Time until no call waits; absent if as many arrive as are answered. */
  readonly drainMs?: number | undefined;
  /** When a call that is refused should come back. */
  readonly retryAfterMs: number;
};

/** Messages about the load of servers. */
export type LoadMessage =
  /** Sent to the VM that leads the ranking, at most every 100 ms and only with traffic. */
  | {
      readonly kind: 'load-report';
      readonly ranking: ServiceName;
      readonly services: readonly ServiceLoadItem[];
    }
  /** Sent to all VMs, as often. */
  | {
      readonly kind: 'load-summary';
      readonly ranking: ServiceName;
      readonly services: readonly ServiceSummary[];
    };
