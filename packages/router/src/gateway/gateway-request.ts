/** One request of a caller while it is being served. */

import type { Route, StreamOrigin, Tenant } from '@tarragonspool/core';
import type { ContentKey, PromptPartId, ServiceName } from '@tarragonspool/protocol';
import type { PermitReply } from '../pools/permit-messages.js';
import type { SlotReply } from '../pools/place-messages.js';
import type { Channel } from '../tasks/tasks.js';
import type { UpstreamEvent } from '../upstreams/upstream-client.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerFields, RequestSender } from './ports.js';
import type { RequestContent } from './quarantine/quarantine-scope.js';

/** Message in the inbox of a request's task. */
export type RequestMessage =
  /** An event of the send with this number; data goes to the send's `onData` instead. */
  | {
      readonly kind: 'upstream';
      readonly send: number;
      readonly event: Exclude<UpstreamEvent, { kind: 'data' }>;
    }
  | { readonly kind: 'place'; readonly reply: SlotReply }
  | { readonly kind: 'permit'; readonly reply: PermitReply }
  /** There may be room for a call that waits. */
  | { readonly kind: 'room' }
  /** Where the stream that the caller resumes began; undefined if no VM knows. */
  | { readonly kind: 'origin'; readonly origin: StreamOrigin | undefined }
  /** Another run has taken the place of the one that is under way. */
  | { readonly kind: 'displaced' }
  /** The run that took a silent one's place has ended. */
  | { readonly kind: 'handover-ended' }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'timed-out' }
  /** A send got no bytes by its deadline; `alarm` is the number of the send. */
  | { readonly kind: 'alarm'; readonly alarm: number };

/** Capacity of a request's inbox, in messages; the task receives them as they arrive. */
export const REQUEST_INBOX_CAPACITY = 64;

/** A caller's request with its route, service and deadlines. */
export type GatewayRequest = {
  readonly fields: CallerFields;
  readonly route: Route;
  readonly service: ServiceName;
  /** Tenant of the caller's key; undefined without a key, or if the configuration has no tenants. */
  readonly tenant: Tenant | undefined;
  /** What is sent to servers about the caller; undefined if the configuration has no tenants. */
  readonly sender: RequestSender | undefined;
  /** Rank among waiting requests: the tenant's priority, else the route's; 0 goes first. */
  readonly rank: number;
  readonly configurationVersion: number;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** What stays the same when the caller retries, and where it is sent. */
  readonly content: RequestContent;
  /** Digest of what stays the same when the caller retries or goes on with a stream. */
  readonly contentKey: ContentKey;
  /** Parts of the prompt, in their scope, that other requests may have too: all but the last. */
  readonly sharedParts: readonly PromptPartId[];
  readonly arrivedAt: number;
  /** When the whole answer is due: the caller's deadline or the route's timeout, if earlier. */
  readonly deadlineAt: number;
  /** Latency target: when the first event or the answer is due. */
  readonly aimAt: number;
  readonly reply: CallerReply;
  readonly inbox: Channel<RequestMessage>;
};
