/** Checks the keys of callers against the configuration in force. */

import type { IncomingMessage } from 'node:http';
import { checkKey, type KeyCheck, type Route, type Tenant } from '@tarragonspool/core';
import { digestSentKey } from '../tenants/key-digest.js';
import type { GatewayState } from './gateway-state.js';
import type { RequestSender } from './ports.js';

/** Checks the key of a request for a route; logs and counts a refusal, which never names the key. */
export function checkCallerKey(
  { configuration, ports, logger, metrics }: GatewayState,
  { name, isPublic }: Route,
  { headers }: IncomingMessage,
): KeyCheck {
  const { authorization } = headers;
  const check = checkKey(configuration?.tenants, { authorization, isPublic }, digestSentKey);
  if (check.kind === 'refused') {
    const { reason } = check;
    metrics.refusedKeys.inc({ reason });
    logger.info(
      {
        requestId: ports.dialect.decodeRequestId(headers),
        route: name,
        reason,
        version: configuration?.version,
      },
      'requests: refused by its key',
    );
  }
  return check;
}

/** Returns what is sent to servers about a request's caller; undefined to pass its headers on as they are. */
export function findSender(
  { configuration }: GatewayState,
  tenant: Tenant | undefined,
): RequestSender | undefined {
  return configuration?.tenants === undefined ? undefined : { tenant: tenant?.name };
}
