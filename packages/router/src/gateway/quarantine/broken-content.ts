/** Records requests that broke off at servers, which may have crashed for them. */

import { isKnownToLeave } from '@tarragonspool/core';
import type { UpstreamId } from '@tarragonspool/protocol';
import type { GatewayState } from '../gateway-state.js';
import type { BrokenRequest } from './content-guard.js';

/**
 * Records that a request broke off at a server. One that leaves ends what it has not finished, and is gone then: that is
 * no crash for which a content could be blamed.
 */
export function recordBrokenContent(
  { contentGuard, upstreams, logger }: Pick<GatewayState, 'contentGuard' | 'upstreams' | 'logger'>,
  upstreamId: UpstreamId,
  broken: BrokenRequest,
): void {
  const listed = upstreams.records.get(upstreamId);
  if (listed !== undefined && isKnownToLeave(upstreams, listed)) {
    const { fingerprint } = broken.content;
    logger.info({ upstreamId, fingerprint }, 'quarantine: request broke off at a leaving server');
    return;
  }
  contentGuard.recordBroken(upstreamId, broken);
}
