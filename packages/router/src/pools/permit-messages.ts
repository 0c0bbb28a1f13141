/** Messages between the task of a request and the pool task, which gets permits for it. */

import type { LimitedUpstream } from '@tarragonspool/core';
import type { ServiceName, UpstreamId } from '@tarragonspool/protocol';

/** Identifies a request for a permit; unique across all VMs. */
export type PermitRequestId = string & { readonly brand: 'PermitRequestId' };

/** Reply to a request for a permit. */
export type PermitReply =
  /** The request may be sent to this server now. */
  | {
      readonly kind: 'permitted';
      readonly permitRequestId: PermitRequestId;
      readonly upstreamId: UpstreamId;
    }
  /** No server takes the request in time; `retryAt` is when one may. */
  | {
      readonly kind: 'not-permitted';
      readonly permitRequestId: PermitRequestId;
      readonly retryAt: number;
    };

/** Request for a permit to send to one of some servers that limit their requests. */
export type PermitRequest = {
  readonly permitRequestId: PermitRequestId;
  /** Ranking whose first VM keeps the permits of these servers. */
  readonly ranking: ServiceName;
  readonly servers: readonly LimitedUpstream[];
  /** Latest time to send the request. */
  readonly latestAt: number;
  readonly onReply: (reply: PermitReply) => void;
};
