/** One request of a caller while it is worked on. */

import type { Route } from '@tarragonspool/core';
import type { Fingerprint, ServiceName } from '@tarragonspool/protocol';
import type { PlaceReply } from '../pools/place-messages.js';
import type { Channel } from '../tasks/tasks.js';
import type { UpstreamEvent } from '../upstreams/upstream-client.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerFields } from './ports.js';

/** What a request's task receives. */
export type RequestMessage =
  /** An event of the send with this number; data goes to the send's sink instead. */
  | {
      readonly kind: 'upstream';
      readonly send: number;
      readonly event: Exclude<UpstreamEvent, { kind: 'data' }>;
    }
  | { readonly kind: 'place'; readonly reply: PlaceReply }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'timed-out' }
  /** The alarm that the task set for a step of its own. */
  | { readonly kind: 'alarm'; readonly alarm: number };

/** Messages that a request may have waiting; the task takes them as they come. */
export const REQUEST_INBOX_CAPACITY = 64;

/** A request with its route. */
export type GatewayRequest = {
  readonly fields: CallerFields;
  readonly route: Route;
  readonly service: ServiceName;
  readonly configurationVersion: number;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Digest of what the caller sends again when it tries again. */
  readonly fingerprint: Fingerprint;
  readonly arrivedAt: number;
  /** When the final answer is due: the caller's deadline or the route's timeout. */
  readonly deadlineAt: number;
  /** When the first event or the answer is still on time. */
  readonly aimAt: number;
  readonly reply: CallerReply;
  readonly inbox: Channel<RequestMessage>;
};
