/** A request to a server, as it is handed to the clients that send it. */

import type { ClearedUpstream } from '@tarragonspool/core';
import type { UpstreamCall } from '../upstreams/upstream-client.js';

/** One request to a server. */
export type ServerCall = Pick<UpstreamCall, 'method' | 'path' | 'headers' | 'body'> & {
  readonly server: ClearedUpstream;
  /** The caller's id of the request, which its answer bears; undefined if it has none. */
  readonly requestId: string | undefined;
  /** Called when the request leaves, or a peer is asked to send it. */
  readonly onSent: () => void;
};
