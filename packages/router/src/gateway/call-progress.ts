/** What has been done for a call of a plain service. */

import type { UpstreamId } from '@tarragonspool/protocol';

/** Progress of one call. */
export type CallProgress = {
  readonly tried: Set<UpstreamId>;
  /** Sends that a server may have executed. */
  runs: number;
  /** Servers that did not run it because they were full. */
  fullServers: number;
};
