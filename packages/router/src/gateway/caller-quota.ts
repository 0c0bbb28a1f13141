/** Takes the cost of requests from the quotas of their tenants. */

import type { IncomingHttpHeaders } from 'node:http';
import { isLimited, type QuotaAdmission, type Tenant } from '@tarragonspool/core';
import { getResultCode } from '@tarragonspool/protocol';
import { getSteadyMs } from '../time/steady-clock.js';
import type { CallerReply } from './caller-reply.js';
import type { GatewayState } from './gateway-state.js';

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Gives the cost back if the request is refused without having run. */
function returnCostOnRefusal(
  { quotas }: GatewayState,
  admission: QuotaAdmission,
  reply: CallerReply,
): CallerReply {
  return {
    ...reply,
    refuse: (name, retryAfterMs) => {
      const isRefused = reply.getState() === 'open';
      reply.refuse(name, retryAfterMs);
      if (isRefused && NOT_RUN_STATUSES.has(getResultCode(name).status)) {
        quotas.giveBack(admission, getSteadyMs());
      }
    },
  };
}

/**
 * Admits a request by the quota of its tenant. Returns the reply to go on with, or undefined if the
 * request was refused.
 */
export function admitByQuota(
  state: GatewayState,
  tenant: Tenant | undefined,
  headers: IncomingHttpHeaders,
  reply: CallerReply,
): CallerReply | undefined {
  if (tenant === undefined || !isLimited(tenant)) return reply;
  const now = getSteadyMs();
  const verdict = state.quotas.admit(tenant, state.ports.dialect.decodeCallerFields(headers), now);
  if (verdict.kind === 'admitted') return returnCostOnRefusal(state, verdict, reply);
  reply.refuse('quota-exceeded', verdict.retryAt - now);
  return undefined;
}
